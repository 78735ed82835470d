package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/valyala/fastjson"

	"mapleslip/internal/client"
	"mapleslip/internal/protocol"
	"mapleslip/internal/simulation"
)

// demo plays a demonstration on a deployment of one machine.
type demo struct {
	d     *dev
	c     *client.Client
	out   io.Writer
	began time.Time
	rows  []demoRow
}

// demoRow is something that was checked.
type demoRow struct {
	what, seen string
	held       bool
}

func (m *demo) say(format string, args ...any) {
	fmt.Fprintf(m.out, "%5.1f s  %s\n", time.Since(m.began).Seconds(), fmt.Sprintf(format, args...))
}

func (m *demo) check(what string, held bool, format string, args ...any) {
	m.rows = append(m.rows, demoRow{what, fmt.Sprintf(format, args...), held})
}

const demoJob = `
ref = %q
class = "demo"
team = "red"
kind = %q
tasks = %d
cpus = 2.0
gpus = 1.0
memory_gb = 4.0
image = %q
image_gb = 0.5
estimate_s = %g
`

const demoRollout = `
id = %q
service = "picker"
count = 4
floor = 4
surge = 4
stages = ["25%%", "100%%"]
soak_s = 4.0
start_s = 30.0
healthy_s = 15.0
%s
[job]
class = "demo"
team = "red"
rank = "high"
cpus = 2.0
gpus = 1.0
memory_gb = 4.0
image = %q
image_gb = 0.5
[check]
at = %q
every_s = 0.5
timeout_s = 0.3
`

// step is a part of what is played on a deployment.
type step struct {
	what string
	do   func(context.Context) error
}

func newDemo(d *dev, out io.Writer) (*demo, error) {
	c, err := client.New(strings.Join(d.clients, ","))
	if err != nil {
		return nil, err
	}
	return &demo{d: d, c: c, out: out, began: time.Now()}, nil
}

// runDemo plays it; the error says what did not hold. It is over within limit.
func runDemo(ctx context.Context, d *dev, limit time.Duration, out io.Writer) error {
	m, err := newDemo(d, out)
	if err != nil {
		return err
	}
	err = m.play(ctx, limit, []step{
		{"a leader is elected", m.election},
		{"an array, a gang and a service run", m.jobs},
		{"the leader is killed and the work goes on", m.killLeader},
		{"a healthy roll-out completes", m.goodRollout},
		{"a faulty roll-out is reverted", m.badRollout},
	})
	if err == nil {
		m.say("all held; a deployment to try things on: mapleslip dev")
	}
	return err
}

// play takes the steps one after the other, and prints what was checked; the error says
// what did not hold. It is over within limit.
func (m *demo) play(ctx context.Context, limit time.Duration, steps []step) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var failed error
	for _, s := range steps {
		m.say("== %s", s.what)
		if err := s.do(ctx); err != nil {
			switch ctx.Err() {
			case context.DeadlineExceeded:
				err = fmt.Errorf("not over after %s, outstanding: %w", limit, err)
			case context.Canceled:
				err = fmt.Errorf("interrupted, outstanding: %w", err)
			}
			failed = fmt.Errorf("%s: %w", s.what, err)
			m.check(s.what, false, "%s", err)
			break
		}
	}
	if err := m.d.live.Err(); err != nil {
		m.check("the protocol's rules hold", false, "%s", err)
	} else {
		m.check("the protocol's rules hold", true, "no task ran twice, in a wrong place or beyond a limit")
	}
	fmt.Fprintln(m.out)
	w := tabwriter.NewWriter(m.out, 0, 0, 2, ' ', 0)
	for _, r := range m.rows {
		verdict := "held"
		if !r.held {
			verdict = "FAILED"
			if failed == nil {
				failed = fmt.Errorf("%s: %s", r.what, r.seen)
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", verdict, r.what, r.seen)
	}
	w.Flush()
	return failed
}

// until asks again and again until done says that it is enough.
func (m *demo) until(ctx context.Context, what string, done func() (string, bool, error)) error {
	last := ""
	for {
		line, ok, err := done()
		if line != "" && line != last {
			m.say("%s", line)
			last = line
		}
		if ok || err != nil && ctx.Err() == nil {
			return err
		}
		if err := m.d.live.Err(); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%s (last seen: %s)", what, last)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s (last seen: %s)", what, last)
		case name := <-m.d.ended:
			return fmt.Errorf("%s ended by itself: %s", name, m.d.lastLine(name))
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (m *demo) election(ctx context.Context) error {
	return m.until(ctx, "no leader", func() (string, bool, error) {
		if l := m.d.live.Leader(); l != "" {
			return l + " leads", true, nil
		}
		return "", false, nil
	})
}

// demoImage is the image of all jobs of the demo.
const demoImage = "img-1"

func (m *demo) submit(ctx context.Context, ref, kind string, tasks int, run float64, awaits ...string) error {
	body, _, err := protocol.ParseJobFile(fmt.Appendf(nil, demoJob, ref, kind, tasks, demoImage, run), "", awaits...)
	if err != nil {
		return err
	}
	if _, _, err := m.c.Do(ctx, "POST", "/api/jobs", body); err != nil {
		return err
	}
	m.say("submitted %s: %s of %d, image %s", ref, kind, tasks, demoImage)
	return nil
}

// job waits until a job is in a phase.
func (m *demo) job(ctx context.Context, ref, what, phase string, running int) error {
	return m.until(ctx, fmt.Sprintf("%s is not %s", what, phase), func() (string, bool, error) {
		_, a, err := m.c.Do(ctx, "GET", "/api/jobs/"+ref, nil)
		if err != nil {
			return "", false, err
		}
		p, n := fastjson.GetString(a, "phase"), fastjson.GetInt(a, "running")
		return fmt.Sprintf("%s is %s, %d done, %d running", what, p, fastjson.GetInt(a, "done"), n), p == phase && n >= running, nil
	})
}

func (m *demo) jobs(ctx context.Context) error {
	began := time.Now()
	for _, j := range []struct {
		ref, kind string
		tasks     int
		run       float64
	}{{"req-000001", "array", 6, 3}, {"req-000002", "gang", 3, 4}, {"req-000003", "service", 4, 0}} {
		if err := m.submit(ctx, j.ref, j.kind, j.tasks, j.run); err != nil {
			return err
		}
	}
	for _, j := range []struct {
		ref, what, phase string
		running          int
	}{{"req-000001", "the array", "done", 0}, {"req-000002", "the gang", "done", 0}, {"req-000003", "the service", "running", 4}} {
		if err := m.job(ctx, j.ref, j.what, j.phase, j.running); err != nil {
			return err
		}
	}
	m.check("an array, a gang and a service run", true, "after %.1f s, on %d machines rented for them", time.Since(began).Seconds(), m.d.live.Machines())
	return nil
}

func (m *demo) killLeader(ctx context.Context) error {
	old := m.d.live.Leader()
	if err := m.submit(ctx, "req-000004", "array", 8, 6); err != nil {
		return err
	}
	if err := m.job(ctx, "req-000004", "the second array", "running", 1); err != nil {
		return err
	}
	began := time.Now()
	if err := m.d.kill(old); err != nil {
		return err
	}
	m.say("killed %s", old)
	if err := m.until(ctx, "no new leader", func() (string, bool, error) {
		if l := m.d.live.Leader(); l != "" && l != old {
			return l + " leads", true, nil
		}
		return "", false, nil
	}); err != nil {
		return err
	}
	took := time.Since(began)
	if err := m.job(ctx, "req-000004", "the second array", "done", 0); err != nil {
		return err
	}
	if err := m.job(ctx, "req-000003", "the service", "running", 4); err != nil {
		return err
	}
	m.check("the leader is killed and the work goes on", true, "%s led after %.1f s, the array is done", m.d.live.Leader(), took.Seconds())
	m.say("starting %s again", old)
	return m.d.start(slices.Index(m.d.names, old))
}

// roll plays a roll-out, and watches how many instances are healthy meanwhile.
func (m *demo) roll(ctx context.Context, id, image, adopt string) (s *protocol.RolloutStatus, lowest int, err error) {
	body, _, err := protocol.ParseRolloutFile(fmt.Appendf(nil, demoRollout, id, adopt, image, simulation.InstanceAt), "")
	if err != nil {
		return nil, 0, err
	}
	lowest = 1 << 30
	var watching sync.WaitGroup
	over := make(chan struct{})
	watching.Go(func() {
		for {
			lowest = min(lowest, m.d.live.Healthy("img-1", "img-2", "img-3"))
			select {
			case <-over:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	_, answer, err := m.c.Do(ctx, "POST", "/api/rollouts", body)
	if err == nil {
		err = m.until(ctx, "roll-out "+id+" has not ended", func() (string, bool, error) {
			if s, err = protocol.ParseRolloutStatus(answer); err != nil {
				return "", false, err
			}
			if !s.Stopped() {
				_, answer, err = m.c.Do(ctx, "GET", "/api/rollouts/picker", nil)
			}
			return rolloutLine(s), s.Stopped(), err
		})
	}
	close(over)
	watching.Wait()
	return s, lowest, err
}

func (m *demo) goodRollout(ctx context.Context) error {
	s, lowest, err := m.roll(ctx, "demo-good", "img-2", `adopt = ["req-000003"]`)
	if err != nil {
		return err
	}
	m.check("a healthy roll-out completes", s.State == "done", "%s, at least %d healthy at any time, asked for 4", s.State, lowest)
	m.check("its floor holds", lowest >= 4, "%d", lowest)
	return nil
}

func (m *demo) badRollout(ctx context.Context) error {
	m.d.live.Behave("img-3", "fails", 5*protocol.Second)
	m.say("instances of img-3 will pass their checks for 5 s, and fail from then on")
	s, lowest, err := m.roll(ctx, "demo-bad", "img-3", "")
	if err != nil {
		return err
	}
	m.check("a faulty roll-out is reverted", s.State == "reverted", "%s: %s", s.State, s.Reason)
	m.check("its floor holds", lowest >= 4, "%d", lowest)
	return nil
}
