// Package ipc connects a part of a scale run to the supervisor, over the part's standard input
// and output.
package ipc

import (
	"errors"
	"fmt"
	"io"
	"time"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

// Pipe is a connection to the supervisor whose setup message has been read.
type Pipe struct {
	Config   *wire.Config
	Platform *protocol.Platform   // parsed from Config.Platform, nil if that is empty
	In       <-chan *wire.Message // messages of the supervisor; closed when the part has to end
	Out      *wire.Writer
}

// ErrSetup is returned by Open if the first line isn't a valid setup message.
var ErrSetup = errors.New("the first line is no setup")

// Open reads the setup message from the first line. In then delivers the messages that follow,
// until a Stop message, the end of the input or the time Config.EndsUS.
func Open(in io.Reader, out io.Writer) (*Pipe, error) {
	lines := make(chan *wire.Message, 256)
	go func() {
		defer close(lines)
		// A malformed line ends the part like the end of the input, because the supervisor
		// doesn't write such lines.
		_ = wire.Read(in, func(m *wire.Message) bool {
			if m.Kind == wire.Stop {
				return false
			}
			lines <- m
			return true
		})
	}()
	first := <-lines
	if first == nil || first.Kind != wire.Setup || first.Setup == nil {
		return nil, ErrSetup
	}
	p := &Pipe{Config: first.Setup, Out: wire.NewWriter(out), In: lines}
	if p.Config.Platform != "" {
		platform, err := protocol.ParsePlatform([]byte(p.Config.Platform))
		if err != nil {
			return nil, fmt.Errorf("settings of the platform: %w", protocol.OneLine(err))
		}
		p.Platform = platform
	}
	if p.Config.EndsUS > 0 {
		bounded := make(chan *wire.Message)
		go func() {
			defer close(bounded)
			end := time.NewTimer(time.Duration(p.Config.EndsUS-wire.Now()) * time.Microsecond)
			defer end.Stop()
			for {
				select {
				case m := <-lines:
					if m == nil {
						return
					}
					bounded <- m
				case <-end.C:
					return
				}
			}
		}()
		p.In = bounded
	}
	return p, nil
}

// Ready reports to the supervisor that the part is listening, or the problem that prevents it,
// which it also returns.
func (p *Pipe) Ready(problem error) error {
	m := &wire.Message{Kind: wire.Ready, Name: p.Config.Part, At: wire.Now()}
	if problem != nil {
		m.Text = problem.Error()
	}
	if err := p.Out.Send(m); err != nil {
		return err
	}
	return problem
}

// Malformed tells the supervisor of a message that a controller sent and that does not follow the
// protocol.
func (p *Pipe) Malformed(format string, args ...any) {
	_ = p.Out.Send(&wire.Message{Kind: wire.Broken, Name: wire.RuleMalformed, At: wire.Now(), Text: p.Config.Part + ": " + fmt.Sprintf(format, args...)})
}

// Note sends the supervisor a text for the report.
func (p *Pipe) Note(format string, args ...any) {
	_ = p.Out.Send(&wire.Message{Kind: wire.Note, Name: p.Config.Part, At: wire.Now(), Text: fmt.Sprintf(format, args...)})
}
