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

// demo runs a demonstration on a deployment on one machine and records its results.
type demo struct {
	dev       *devDeployment
	client    *client.Client
	out       io.Writer
	startTime time.Time
	results   []checkResult
}

// checkResult is the result of one check.
type checkResult struct {
	name, observed string
	passed         bool
}

func (m *demo) printf(format string, args ...any) {
	fmt.Fprintf(m.out, "%5.1f s  %s\n", time.Since(m.startTime).Seconds(), fmt.Sprintf(format, args...))
}

func (m *demo) recordResult(name string, passed bool, format string, args ...any) {
	m.results = append(m.results, checkResult{name, fmt.Sprintf(format, args...), passed})
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

// demoStep is one step of a demonstration.
type demoStep struct {
	name string
	run  func(context.Context) error
}

func newDemo(d *devDeployment, out io.Writer) (*demo, error) {
	c, err := client.New(strings.Join(d.clients, ","))
	if err != nil {
		return nil, err
	}
	return &demo{dev: d, client: c, out: out, startTime: time.Now()}, nil
}

// runDemo runs the demonstration, for at most limit. The error names the step or the first check
// that failed.
func runDemo(ctx context.Context, d *devDeployment, limit time.Duration, out io.Writer) error {
	m, err := newDemo(d, out)
	if err != nil {
		return err
	}
	err = m.runSteps(ctx, limit, []demoStep{
		{"a leader is elected", m.waitForLeader},
		{"an array, a gang and a service run", m.runJobs},
		{"costly bodies hold up nobody", m.sendCostlyBodies},
		{"the leader is killed and the work goes on", m.killLeader},
		{"a healthy roll-out completes", m.healthyRollout},
		{"a faulty roll-out is reverted", m.faultyRollout},
	})
	if err == nil {
		m.printf("all held; a deployment to try things on: mapleslip dev")
	}
	return err
}

// runSteps runs the steps in order until one fails, for at most limit in all, and prints the
// results of the checks. The error names the step or the first check that failed.
func (m *demo) runSteps(ctx context.Context, limit time.Duration, steps []demoStep) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var failed error
	for _, s := range steps {
		m.printf("== %s", s.name)
		if err := s.run(ctx); err != nil {
			switch ctx.Err() {
			case context.DeadlineExceeded:
				err = fmt.Errorf("not over after %s, outstanding: %w", limit, err)
			case context.Canceled:
				err = fmt.Errorf("interrupted, outstanding: %w", err)
			}
			failed = fmt.Errorf("%s: %w", s.name, err)
			m.recordResult(s.name, false, "%s", err)
			break
		}
	}
	if err := m.dev.live.Err(); err != nil {
		m.recordResult("the protocol's rules hold", false, "%s", err)
	} else {
		m.recordResult("the protocol's rules hold", true, "no task ran twice, in a wrong place or beyond a limit")
	}
	fmt.Fprintln(m.out)
	w := tabwriter.NewWriter(m.out, 0, 0, 2, ' ', 0)
	for _, r := range m.results {
		verdict := "held"
		if !r.passed {
			verdict = "FAILED"
			if failed == nil {
				failed = fmt.Errorf("%s: %s", r.name, r.observed)
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", verdict, r.name, r.observed)
	}
	w.Flush()
	return failed
}

// poll calls done repeatedly until it reports success or an error, and prints each new line that
// done returns. It fails with the text unmet if the context ends first. It also fails if a rule of
// the protocol is broken or a controller exits by itself.
func (m *demo) poll(ctx context.Context, unmet string, done func() (string, bool, error)) error {
	last := ""
	for {
		line, ok, err := done()
		if line != "" && line != last {
			m.printf("%s", line)
			last = line
		}
		if ok || err != nil && ctx.Err() == nil {
			return err
		}
		if err := m.dev.live.Err(); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%s (last seen: %s)", unmet, last)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s (last seen: %s)", unmet, last)
		case name := <-m.dev.exited:
			return fmt.Errorf("%s ended by itself: %s", name, m.dev.lastLine(name))
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (m *demo) waitForLeader(ctx context.Context) error {
	return m.poll(ctx, "no leader", func() (string, bool, error) {
		if l := m.dev.live.Leader(); l != "" {
			return l + " leads", true, nil
		}
		return "", false, nil
	})
}

// demoImage is the image of all jobs that the demonstration submits.
const demoImage = "img-1"

func (m *demo) submit(ctx context.Context, ref, kind string, tasks int, runSeconds float64, awaits ...string) error {
	body, _, err := protocol.ParseJobFile(fmt.Appendf(nil, demoJob, ref, kind, tasks, demoImage, runSeconds), "", awaits...)
	if err != nil {
		return err
	}
	if _, _, err := m.client.Do(ctx, "POST", "/api/jobs", body); err != nil {
		return err
	}
	m.printf("submitted %s: %s of %d, image %s", ref, kind, tasks, demoImage)
	return nil
}

// waitForJob waits until a job is in a phase and has at least a number of running tasks. name is
// what the output calls the job.
func (m *demo) waitForJob(ctx context.Context, ref, name, phase string, running int) error {
	return m.poll(ctx, fmt.Sprintf("%s is not %s", name, phase), func() (string, bool, error) {
		_, a, err := m.client.Do(ctx, "GET", "/api/jobs/"+ref, nil)
		if err != nil {
			return "", false, err
		}
		p, n := fastjson.GetString(a, "phase"), fastjson.GetInt(a, "running")
		return fmt.Sprintf("%s is %s, %d done, %d running", name, p, fastjson.GetInt(a, "done"), n), p == phase && n >= running, nil
	})
}

func (m *demo) runJobs(ctx context.Context) error {
	began := time.Now()
	for _, j := range []struct {
		ref, kind  string
		tasks      int
		runSeconds float64
	}{{"req-000001", "array", 6, 3}, {"req-000002", "gang", 3, 4}, {"req-000003", "service", 4, 0}} {
		if err := m.submit(ctx, j.ref, j.kind, j.tasks, j.runSeconds); err != nil {
			return err
		}
	}
	for _, j := range []struct {
		ref, name, phase string
		running          int
	}{{"req-000001", "the array", "done", 0}, {"req-000002", "the gang", "done", 0}, {"req-000003", "the service", "running", 4}} {
		if err := m.waitForJob(ctx, j.ref, j.name, j.phase, j.running); err != nil {
			return err
		}
	}
	m.recordResult("an array, a gang and a service run", true, "after %.1f s, on %d machines rented for them", time.Since(began).Seconds(), m.dev.live.Machines())
	return nil
}

func (m *demo) killLeader(ctx context.Context) error {
	old := m.dev.live.Leader()
	if err := m.submit(ctx, "req-000004", "array", 8, 6); err != nil {
		return err
	}
	if err := m.waitForJob(ctx, "req-000004", "the second array", "running", 1); err != nil {
		return err
	}
	began := time.Now()
	if err := m.dev.kill(old); err != nil {
		return err
	}
	m.printf("killed %s", old)
	if err := m.poll(ctx, "no new leader", func() (string, bool, error) {
		if l := m.dev.live.Leader(); l != "" && l != old {
			return l + " leads", true, nil
		}
		return "", false, nil
	}); err != nil {
		return err
	}
	took := time.Since(began)
	if err := m.waitForJob(ctx, "req-000004", "the second array", "done", 0); err != nil {
		return err
	}
	if err := m.waitForJob(ctx, "req-000003", "the service", "running", 4); err != nil {
		return err
	}
	m.recordResult("the leader is killed and the work goes on", true, "%s led after %.1f s, the array is done", m.dev.live.Leader(), took.Seconds())
	m.printf("starting %s again", old)
	return m.dev.start(slices.Index(m.dev.names, old))
}

// runRollout starts a roll-out and polls its status until it stops. It also returns the lowest
// number of healthy instances of the service during this time.
func (m *demo) runRollout(ctx context.Context, id, image, adopt string) (s *protocol.RolloutStatus, lowest int, err error) {
	body, _, err := protocol.ParseRolloutFile(fmt.Appendf(nil, demoRollout, id, adopt, image, simulation.InstanceAt), "")
	if err != nil {
		return nil, 0, err
	}
	lowest = 1 << 30
	var watcher sync.WaitGroup
	finished := make(chan struct{})
	watcher.Go(func() {
		for {
			lowest = min(lowest, m.dev.live.Healthy("img-1", "img-2", "img-3"))
			select {
			case <-finished:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	_, answer, err := m.client.Do(ctx, "POST", "/api/rollouts", body)
	if err == nil {
		err = m.poll(ctx, "roll-out "+id+" has not ended", func() (string, bool, error) {
			if s, err = protocol.ParseRolloutStatus(answer); err != nil {
				return "", false, err
			}
			if !s.Stopped() {
				_, answer, err = m.client.Do(ctx, "GET", "/api/rollouts/picker", nil)
			}
			return rolloutLine(s), s.Stopped(), err
		})
	}
	close(finished)
	watcher.Wait()
	return s, lowest, err
}

func (m *demo) healthyRollout(ctx context.Context) error {
	s, lowest, err := m.runRollout(ctx, "demo-good", "img-2", `adopt = ["req-000003"]`)
	if err != nil {
		return err
	}
	m.recordResult("a healthy roll-out completes", s.State == "done", "%s, at least %d healthy at any time, asked for 4", s.State, lowest)
	m.recordResult("its floor holds", lowest >= 4, "%d", lowest)
	return nil
}

func (m *demo) faultyRollout(ctx context.Context) error {
	m.dev.live.Behave("img-3", "fails", 5*protocol.Second)
	m.printf("instances of img-3 will pass their checks for 5 s, and fail from then on")
	s, lowest, err := m.runRollout(ctx, "demo-bad", "img-3", "")
	if err != nil {
		return err
	}
	m.recordResult("a faulty roll-out is reverted", s.State == "reverted", "%s: %s", s.State, s.Reason)
	m.recordResult("its floor holds", lowest >= 4, "%d", lowest)
	return nil
}
