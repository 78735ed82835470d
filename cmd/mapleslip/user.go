package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/big"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fastjson"
	"golang.org/x/term"

	"mapleslip/internal/client"
	"mapleslip/internal/protocol"
)

const serverVariable = "MAPLESLIP_SERVER"

// users are the commands of those who have work done.
type users struct {
	server string
	json   bool
	wait   bool
}

func (u *users) commands() []*cobra.Command {
	submit := &cobra.Command{Use: "submit FILE", Short: "Submit a job", Args: cobra.ExactArgs(1), RunE: u.submit}
	submit.Flags().BoolVar(&u.wait, "wait", false, "wait until the job is done or cancelled")
	status := &cobra.Command{Use: "status REF", Short: "Say how a job stands", Args: cobra.ExactArgs(1), RunE: u.status}
	cancel := &cobra.Command{Use: "cancel REF", Short: "Cancel a job", Args: cobra.ExactArgs(1), RunE: u.cancel}
	roll := &cobra.Command{Use: "rollout", Short: "Roll out a new version of a service"}
	start := &cobra.Command{Use: "start FILE", Short: "Begin a roll-out", Args: cobra.ExactArgs(1), RunE: u.startRollout}
	start.Flags().BoolVar(&u.wait, "wait", false, "wait until it ends or pauses; exit 1 unless it is done")
	show := &cobra.Command{Use: "status [SERVICE]", Short: "Say how one roll-out stands, or all", Args: cobra.MaximumNArgs(1), RunE: u.showRollout}
	roll.AddCommand(start, show)
	for _, what := range []string{"pause", "resume", "revert"} {
		roll.AddCommand(&cobra.Command{Use: what + " SERVICE", Short: strings.ToUpper(what[:1]) + what[1:] + " a roll-out", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return u.rollout(cmd, "POST", args[0], "/"+what)
			}})
	}
	list := []*cobra.Command{submit, status, cancel, roll}
	for _, c := range list {
		c.PersistentFlags().StringVar(&u.server, "server", os.Getenv(serverVariable), "controllers, `IP:port[,IP:port]`; "+serverVariable+" sets it too")
		c.PersistentFlags().BoolVar(&u.json, "json", false, "print the service's own answer")
	}
	return list
}

func (u *users) client(cmd *cobra.Command) (*client.Client, context.Context, func(), error) {
	if u.server == "" {
		return nil, nil, nil, fmt.Errorf("--server: missing, and %s is not set", serverVariable)
	}
	c, err := client.New(u.server)
	if err != nil {
		return nil, nil, nil, err
	}
	c.Retried = func(why string, wait time.Duration) {
		fmt.Fprintf(cmd.ErrOrStderr(), "%s; again in %.1f s\n", why, wait.Seconds())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return c, ctx, stop, nil
}

// drawn is a name that nobody else draws.
func drawnRef() string {
	most := new(big.Int).Exp(big.NewInt(10), big.NewInt(18), nil)
	n, err := rand.Int(rand.Reader, most)
	if err != nil {
		panic(err) // the system has no randomness
	}
	return fmt.Sprintf("req-%018d", n)
}

func drawnID() string {
	b := make([]byte, 6)
	if _, err := rand.Read(b); err != nil {
		panic(err)
	}
	return "r-" + hex.EncodeToString(b)
}

func (u *users) submit(cmd *cobra.Command, args []string) error {
	ref := drawnRef()
	type parsed struct {
		body []byte
		spec *protocol.JobSpec
	}
	job, err := protocol.LoadFile(args[0], func(text []byte) (parsed, error) {
		body, spec, err := protocol.ParseJobFile(text, ref)
		return parsed{body, spec}, err
	})
	if err != nil {
		return err
	}
	c, ctx, stop, err := u.client(cmd)
	if err != nil {
		return err
	}
	defer stop()
	_, answer, err := c.Do(ctx, "POST", "/api/jobs", job.body)
	if err != nil {
		return err
	}
	if !u.wait {
		return u.printJob(cmd.OutOrStdout(), answer)
	}
	// Whoever stops waiting has to know the job's name.
	fmt.Fprintf(cmd.ErrOrStderr(), "%s is accepted\n", job.spec.Ref)
	progress := newProgress(cmd.ErrOrStderr())
	for {
		phase := fastjson.GetString(answer, "phase")
		if phase == "done" || phase == "cancelled" {
			progress.end()
			if err := u.printJob(cmd.OutOrStdout(), answer); err != nil || phase == "done" {
				return err
			}
			return errors.New("the job was cancelled")
		}
		progress.show(fmt.Sprintf("%s, %d of %d done, %d running", phase, fastjson.GetInt(answer, "done"), job.spec.Tasks, fastjson.GetInt(answer, "running")))
		select {
		case <-ctx.Done():
			progress.end()
			return errors.New("interrupted; the job goes on")
		case <-time.After(2 * time.Second):
		}
		if _, answer, err = c.Do(ctx, "GET", "/api/jobs/"+job.spec.Ref, nil); err != nil {
			return err
		}
	}
}

func (u *users) status(cmd *cobra.Command, args []string) error {
	return u.aboutJob(cmd, "GET", args[0], "")
}

func (u *users) cancel(cmd *cobra.Command, args []string) error {
	return u.aboutJob(cmd, "POST", args[0], "/cancel")
}

func (u *users) aboutJob(cmd *cobra.Command, method, ref, what string) error {
	if !protocol.ValidRef(ref) {
		return fmt.Errorf("%q is no job: it has the form req-000412", ref)
	}
	c, ctx, stop, err := u.client(cmd)
	if err != nil {
		return err
	}
	defer stop()
	_, answer, err := c.Do(ctx, method, "/api/jobs/"+ref+what, nil)
	if err != nil {
		return err
	}
	return u.printJob(cmd.OutOrStdout(), answer)
}

func (u *users) printJob(out io.Writer, answer []byte) error {
	if u.json {
		fmt.Fprintln(out, string(answer))
		return nil
	}
	fmt.Fprintf(out, "%s %s, %d done, %d running\n", fastjson.GetString(answer, "ref"), fastjson.GetString(answer, "phase"), fastjson.GetInt(answer, "done"), fastjson.GetInt(answer, "running"))
	return nil
}

func (u *users) startRollout(cmd *cobra.Command, args []string) error {
	type parsed struct {
		body []byte
		spec *protocol.RolloutSpec
	}
	r, err := protocol.LoadFile(args[0], func(text []byte) (parsed, error) {
		body, spec, err := protocol.ParseRolloutFile(text, drawnID())
		return parsed{body, spec}, err
	})
	if err != nil {
		return err
	}
	c, ctx, stop, err := u.client(cmd)
	if err != nil {
		return err
	}
	defer stop()
	_, answer, err := c.Do(ctx, "POST", "/api/rollouts", r.body)
	if err != nil {
		return err
	}
	if !u.wait {
		return u.printRollout(cmd.OutOrStdout(), answer)
	}
	progress := newProgress(cmd.ErrOrStderr())
	for {
		s, err := protocol.ParseRolloutStatus(answer)
		if err != nil {
			return err
		}
		switch s.State {
		case "done", "paused", "reverted", "failed":
			progress.end()
			if err := u.printRollout(cmd.OutOrStdout(), answer); err != nil || s.State == "done" {
				return err
			}
			return fmt.Errorf("the roll-out is %s: %s", s.State, s.Reason)
		}
		progress.show(rolloutLine(s))
		select {
		case <-ctx.Done():
			progress.end()
			return errors.New("interrupted; the roll-out goes on")
		case <-time.After(time.Second):
		}
		if _, answer, err = c.Do(ctx, "GET", "/api/rollouts/"+r.spec.Service, nil); err != nil {
			return err
		}
	}
}

func (u *users) showRollout(cmd *cobra.Command, args []string) error {
	if len(args) == 1 {
		return u.rollout(cmd, "GET", args[0], "")
	}
	c, ctx, stop, err := u.client(cmd)
	if err != nil {
		return err
	}
	defer stop()
	_, answer, err := c.Do(ctx, "GET", "/api/rollouts", nil)
	if err != nil {
		return err
	}
	if u.json {
		fmt.Fprintln(cmd.OutOrStdout(), string(answer))
		return nil
	}
	v, err := fastjson.ParseBytes(answer)
	if err != nil {
		return err
	}
	for _, o := range v.GetArray("rollouts") {
		if err := u.printRollout(cmd.OutOrStdout(), o.MarshalTo(nil)); err != nil {
			return err
		}
	}
	return nil
}

func (u *users) rollout(cmd *cobra.Command, method, service, what string) error {
	if !protocol.ValidService(service) {
		return fmt.Errorf("%q is no service's name", service)
	}
	c, ctx, stop, err := u.client(cmd)
	if err != nil {
		return err
	}
	defer stop()
	_, answer, err := c.Do(ctx, method, "/api/rollouts/"+service+what, nil)
	if err != nil {
		return err
	}
	return u.printRollout(cmd.OutOrStdout(), answer)
}

func rolloutLine(s *protocol.RolloutStatus) string {
	line := fmt.Sprintf("%s %s: %s, stage %d of %d, new %d of %d healthy, old %d of %d healthy, floor %d", s.Service, s.ID, s.State, s.Stage, len(s.Stages),
		s.New.Healthy, s.New.Instances, s.Old.Healthy, s.Old.Instances, s.Floor)
	if s.State == "done" || s.State == "reverted" || s.State == "failed" {
		line = fmt.Sprintf("%s %s: %s, %d new instances, %d old ones", s.Service, s.ID, s.State, s.New.Instances, s.Old.Instances)
	}
	if s.Reason != "" {
		line += "; " + s.Reason
	}
	return line
}

func (u *users) printRollout(out io.Writer, answer []byte) error {
	if u.json {
		fmt.Fprintln(out, string(answer))
		return nil
	}
	s, err := protocol.ParseRolloutStatus(answer)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, rolloutLine(s))
	return nil
}

// progress shows how something goes on: in one line of a terminal, or a line for each
// change elsewhere.
type progress struct {
	out      io.Writer
	terminal bool
	last     string
}

func newProgress(out io.Writer) *progress {
	f, ok := out.(*os.File)
	return &progress{out: out, terminal: ok && term.IsTerminal(int(f.Fd()))}
}

func (p *progress) show(line string) {
	switch {
	case line == p.last:
	case p.terminal:
		fmt.Fprintf(p.out, "\r\x1b[K%s", line)
	default:
		fmt.Fprintln(p.out, line)
	}
	p.last = line
}

func (p *progress) end() {
	if p.terminal && p.last != "" {
		fmt.Fprintln(p.out)
	}
}
