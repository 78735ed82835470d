// Package hollow has workers without machines: they speak the workers' protocol over real
// sockets, and their tasks run by a clock and do no work.
package hollow

import (
	"io"
	"log/slog"

	"mapleslip/internal/scale/pipe"
)

// Run is the role of many workers in a process.
func Run(in io.Reader, out io.Writer, log *slog.Logger) error {
	p, err := pipe.Open(in, out)
	if err != nil {
		return err
	}
	return run(p, log)
}

// RunOne is the role of a process that is one worker.
func RunOne(in io.Reader, out io.Writer, log *slog.Logger) error { return Run(in, out, log) }

func run(p *pipe.Pipe, log *slog.Logger) error {
	if err := p.Ready(nil); err != nil {
		return err
	}
	for range p.In {
	}
	return nil
}
