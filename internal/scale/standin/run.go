// Package standin serves the stand-ins of the state service and of the cloud over HTTP.
package standin

import (
	"io"
	"log/slog"

	"mapleslip/internal/scale/pipe"
)

// Run is the role of the stand-ins.
func Run(in io.Reader, out io.Writer, log *slog.Logger) error {
	p, err := pipe.Open(in, out)
	if err != nil {
		return err
	}
	if err := p.Ready(nil); err != nil {
		return err
	}
	for range p.In {
	}
	return nil
}
