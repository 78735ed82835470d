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
	awaits []string
}

func (u *users) commands() []*cobra.Command {
	submit := &cobra.Command{Use: "submit FILE", Short: "Submit a job", Args: cobra.ExactArgs(1), RunE: u.submit}
	submit.Flags().BoolVar(&u.wait, "wait", false, "wait until the job is done or cancelled")
	submit.Flags().StringSliceVar(&u.awaits, "awaits", nil, "jobs that have to be done before, `REF[,REF]`, besides those in the file")
	status := &cobra.Command{Use: "status REF", Short: "Say how a job stands", Args: cobra.ExactArgs(1), RunE: u.status}
	cancel := &cobra.Command{Use: "cancel REF", Short: "Cancel a job", Args: cobra.ExactArgs(1), RunE: u.cancel}
	roll := &cobra.Command{Use: "rollout", Short: "Roll out a new version of a service"}
	start := &cobra.Command{Use: "start FILE", Short: "Begin a roll-out", Args: cobra.ExactArgs(1), RunE: u.startRollout}
	start.Flags().BoolVar(&u.wait, "wait", false, "wait until it ends or pauses; exit 1 unless it is done")
	show := &cobra.Command{Use: "status [SERVICE]", Short: "Say how one roll-out stands, or all", Args: cobra.MaximumNArgs(1), RunE: u.showRollout}
	roll.AddCommand(start, show)
	for _, what := range []string{"pause", "resume", "revert"} {
		roll.AddCommand(&cobra.Command{
			Use: what + " SERVICE", Short: strings.ToUpper(what[:1]) + what[1:] + " a roll-out", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return u.rollout(cmd, "POST", args[0], "/"+what)
			},
		})
	}
	list := []*cobra.Command{submit, status, cancel, roll, u.configCommand()}
	for _, c := range list {
		c.PersistentFlags().StringVar(&u.server, "server", os.Getenv(serverVariable), "controllers, `IP:port[,IP:port]`; "+serverVariable+" sets it too")
		c.PersistentFlags().BoolVar(&u.json, "json", false, "print the service's own answer")
	}
	return list
}

// session is one command's talk with the controllers.
type session struct {
	*client.Client
	ctx  context.Context
	stop func()
}

func (u *users) session(cmd *cobra.Command) (*session, error) {
	if u.server == "" {
		return nil, fmt.Errorf("--server: missing, and %s is not set", serverVariable)
	}
	c, err := client.New(u.server)
	if err != nil {
		return nil, err
	}
	c.OnRetry = func(why string, wait time.Duration) {
		fmt.Fprintf(cmd.ErrOrStderr(), "%s; again in %.1f s\n", why, wait.Seconds())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return &session{c, ctx, stop}, nil
}

// ask makes one request.
func (s *session) ask(method, path string, body []byte) ([]byte, error) {
	_, answer, err := s.Do(s.ctx, method, path, body)
	return answer, err
}

// follow asks how something stands, again and again, until look says that it is over.
func (s *session) follow(out io.Writer, path, what string, every time.Duration, answer []byte, look func([]byte) (line string, over bool, err error)) ([]byte, error) {
	progress := newProgress(out)
	for {
		line, over, err := look(answer)
		if err != nil {
			return nil, err
		}
		if over {
			progress.end()
			return answer, nil
		}
		progress.show(line)
		select {
		case <-s.ctx.Done():
			progress.end()
			return nil, fmt.Errorf("interrupted; the %s goes on", what)
		case <-time.After(every):
		}
		if answer, err = s.ask("GET", path, nil); err != nil {
			return nil, err
		}
	}
}

// once makes the one request of a command.
func (u *users) once(cmd *cobra.Command, method, path string) ([]byte, error) {
	s, err := u.session(cmd)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	return s.ask(method, path, nil)
}

// sent is what a file asks for: the request's body, and what it says.
type sent[T any] struct {
	body []byte
	spec T
}

// load reads a file that people wrote; draw is what it gets where it has no name.
func load[T any](path string, parse func(text []byte, draw string) ([]byte, T, error), draw string) (sent[T], error) {
	return protocol.LoadFile(path, func(text []byte) (sent[T], error) {
		body, spec, err := parse(text, draw)
		return sent[T]{body, spec}, err
	})
}

// drawnRef is a job's name that nobody else draws.
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
	parse := func(text []byte, ref string) ([]byte, *protocol.JobSpec, error) {
		return protocol.ParseJobFile(text, ref, u.awaits...)
	}
	job, err := load(args[0], parse, drawnRef())
	if err != nil {
		return err
	}
	s, err := u.session(cmd)
	if err != nil {
		return err
	}
	defer s.stop()
	answer, err := s.ask("POST", "/api/jobs", job.body)
	if err != nil {
		return err
	}
	if !u.wait {
		return u.printJob(cmd.OutOrStdout(), answer)
	}
	// Whoever stops waiting has to know the job's name.
	fmt.Fprintf(cmd.ErrOrStderr(), "%s is accepted\n", job.spec.Ref)
	phase := ""
	answer, err = s.follow(cmd.ErrOrStderr(), "/api/jobs/"+job.spec.Ref, "job", 2*time.Second, answer, func(answer []byte) (string, bool, error) {
		phase = fastjson.GetString(answer, "phase")
		line := fmt.Sprintf("%s, %d of %d done, %d running", phase, fastjson.GetInt(answer, "done"), job.spec.Tasks, fastjson.GetInt(answer, "running"))
		return line, phase == "done" || phase == "cancelled", nil
	})
	if err != nil {
		return err
	}
	if err := u.printJob(cmd.OutOrStdout(), answer); err != nil || phase == "done" {
		return err
	}
	return errors.New("the job was cancelled")
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
	answer, err := u.once(cmd, method, "/api/jobs/"+ref+what)
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
	v, err := fastjson.ParseBytes(answer)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s, %d done, %d running%s\n", v.GetStringBytes("ref"), v.GetStringBytes("phase"), v.GetInt("done"), v.GetInt("running"), awaiting(v))
	return nil
}

// awaiting says what a queued job waits for.
func awaiting(v *fastjson.Value) string {
	var refs []string
	for _, ref := range v.GetArray("awaiting") {
		refs = append(refs, string(ref.GetStringBytes()))
	}
	if len(refs) == 0 {
		return ""
	}
	return ", waits for " + strings.Join(refs, ", ")
}

func (u *users) startRollout(cmd *cobra.Command, args []string) error {
	r, err := load(args[0], protocol.ParseRolloutFile, drawnID())
	if err != nil {
		return err
	}
	s, err := u.session(cmd)
	if err != nil {
		return err
	}
	defer s.stop()
	answer, err := s.ask("POST", "/api/rollouts", r.body)
	if err != nil {
		return err
	}
	if !u.wait {
		return u.printRollout(cmd.OutOrStdout(), answer)
	}
	var last *protocol.RolloutStatus
	answer, err = s.follow(cmd.ErrOrStderr(), "/api/rollouts/"+r.spec.Service, "roll-out", time.Second, answer, func(answer []byte) (string, bool, error) {
		var err error
		if last, err = protocol.ParseRolloutStatus(answer); err != nil {
			return "", false, err
		}
		return rolloutLine(last), last.Stopped(), nil
	})
	if err != nil {
		return err
	}
	if err := u.printRollout(cmd.OutOrStdout(), answer); err != nil || last.State == "done" {
		return err
	}
	return fmt.Errorf("the roll-out is %s: %s", last.State, last.Reason)
}

func (u *users) showRollout(cmd *cobra.Command, args []string) error {
	if len(args) == 1 {
		return u.rollout(cmd, "GET", args[0], "")
	}
	answer, err := u.once(cmd, "GET", "/api/rollouts")
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
	answer, err := u.once(cmd, method, "/api/rollouts/"+service+what)
	if err != nil {
		return err
	}
	return u.printRollout(cmd.OutOrStdout(), answer)
}

func rolloutLine(s *protocol.RolloutStatus) string {
	line := fmt.Sprintf("%s %s: %s, stage %d of %d, new %d of %d healthy, old %d of %d healthy, floor %d", s.Service, s.ID, s.State, s.Stage, len(s.Stages),
		s.New.Healthy, s.New.Instances, s.Old.Healthy, s.Old.Instances, s.MinHealthy)
	if s.Ended() {
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
