package ipc

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"mapleslip/internal/scale/wire"
)

func line(t *testing.T, m *wire.Message) string {
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(b) + "\n"
}

func TestOpen(t *testing.T) {
	setup := line(t, &wire.Message{Kind: wire.Setup, Setup: &wire.Config{Part: "p"}})
	other, stop := line(t, &wire.Message{Kind: wire.Go}), line(t, &wire.Message{Kind: wire.Stop})
	for name, c := range map[string]struct {
		in       string
		messages int
	}{
		"end of the input":         {setup + other + other, 2},
		"stop":                     {setup + other + stop + other, 1},
		"a line that's no message": {setup + other + "{}\n" + other, 1},
	} {
		p, err := Open(strings.NewReader(c.in), io.Discard)
		if err != nil {
			t.Fatal(name, err)
		}
		n := 0
		for range p.In {
			n++
		}
		if n != c.messages || p.Config.Part != "p" {
			t.Errorf("%s: %d messages", name, n)
		}
	}
	for _, in := range []string{"", other, "x\n"} {
		if _, err := Open(strings.NewReader(in), io.Discard); !errors.Is(err, ErrSetup) {
			t.Errorf("%q: %v", in, err)
		}
	}
	bad := line(t, &wire.Message{Kind: wire.Setup, Setup: &wire.Config{Platform: "area = 3\n"}})
	if _, err := Open(strings.NewReader(bad), io.Discard); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("%v", err)
	}
}

// A part ends at EndsUS even if the supervisor sends nothing after the setup.
func TestOpenEndsAtEndsUS(t *testing.T) {
	in, supervisor := io.Pipe()
	defer supervisor.Close()
	go func() {
		_, _ = supervisor.Write([]byte(line(t, &wire.Message{Kind: wire.Setup, Setup: &wire.Config{EndsUS: wire.Now() + 20_000}})))
	}()
	p, err := Open(in, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for range p.In {
		t.Error("unexpected message before the end")
	}
	if now := wire.Now(); now < p.Config.EndsUS {
		t.Errorf("ended %d us early", p.Config.EndsUS-now)
	}
}

func TestReady(t *testing.T) {
	var out bytes.Buffer
	p := &Pipe{Config: &wire.Config{Part: "p"}, Out: wire.NewWriter(&out)}
	problem := errors.New("address already in use")
	if err := p.Ready(problem); !errors.Is(err, problem) {
		t.Error(err)
	}
	var m wire.Message
	if err := json.Unmarshal(out.Bytes(), &m); err != nil || m.Kind != wire.Ready || m.Text != problem.Error() || m.Name != "p" {
		t.Errorf("%+v %v", m, err)
	}
}
