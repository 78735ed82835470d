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

// userCommands contains the flags of the commands with which users submit and follow jobs and
// roll-outs.
type userCommands struct {
	server string
	json   bool
	wait   bool
	awaits []string
}

func (u *userCommands) commands() []*cobra.Command {
	submit := &cobra.Command{Use: "submit FILE", Short: "Submit a job", Args: cobra.ExactArgs(1), RunE: u.submit}
	submit.Flags().BoolVar(&u.wait, "wait", false, "wait until the job is done or cancelled")
	submit.Flags().StringSliceVar(&u.awaits, "awaits", nil, "jobs that have to be done before, `REF[,REF]`, besides those in the file")
	status := &cobra.Command{Use: "status REF", Short: "Say how a job stands", Args: cobra.ExactArgs(1), RunE: u.status}
	cancel := &cobra.Command{Use: "cancel REF", Short: "Cancel a job", Args: cobra.ExactArgs(1), RunE: u.cancel}
	rollout := &cobra.Command{Use: "rollout", Short: "Roll out a new version of a service"}
	start := &cobra.Command{Use: "start FILE", Short: "Begin a roll-out", Args: cobra.ExactArgs(1), RunE: u.startRollout}
	start.Flags().BoolVar(&u.wait, "wait", false, "wait until it ends or pauses; exit 1 unless it is done")
	show := &cobra.Command{Use: "status [SERVICE]", Short: "Say how one roll-out stands, or all", Args: cobra.MaximumNArgs(1), RunE: u.showRollout}
	rollout.AddCommand(start, show)
	for _, action := range []string{"pause", "resume", "revert"} {
		rollout.AddCommand(&cobra.Command{
			Use: action + " SERVICE", Short: strings.ToUpper(action[:1]) + action[1:] + " a roll-out", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return u.rolloutRequest(cmd, "POST", args[0], "/"+action)
			},
		})
	}
	list := []*cobra.Command{submit, status, cancel, rollout, u.configCommand()}
	for _, c := range list {
		c.PersistentFlags().StringVar(&u.server, "server", os.Getenv(serverVariable), "controllers, `IP:port[,IP:port]`; "+serverVariable+" sets it too")
		c.PersistentFlags().BoolVar(&u.json, "json", false, "print the service's own answer")
	}
	return list
}

// session is a client of the controllers for one command. Its context ends at SIGINT or SIGTERM.
type session struct {
	*client.Client
	ctx  context.Context
	stop func()
}

func (u *userCommands) newSession(cmd *cobra.Command) (*session, error) {
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

// request makes one request and returns the body of the response.
func (s *session) request(method, path string, body []byte) ([]byte, error) {
	_, answer, err := s.Do(s.ctx, method, path, body)
	return answer, err
}

// poll requests a status at each interval and prints it as a line of progress, until inspect
// reports that the subject, a job or roll-out, has ended. answer is the first status.
func (s *session) poll(out io.Writer, path, subject string, interval time.Duration, answer []byte, inspect func([]byte) (line string, ended bool, err error)) ([]byte, error) {
	progress := newProgress(out)
	for {
		line, ended, err := inspect(answer)
		if err != nil {
			return nil, err
		}
		if ended {
			progress.end()
			return answer, nil
		}
		progress.show(line)
		select {
		case <-s.ctx.Done():
			progress.end()
			return nil, fmt.Errorf("interrupted; the %s goes on", subject)
		case <-time.After(interval):
		}
		if answer, err = s.request("GET", path, nil); err != nil {
			return nil, err
		}
	}
}

// request makes a request in a session of its own, for commands that make only one request.
func (u *userCommands) request(cmd *cobra.Command, method, path string) ([]byte, error) {
	s, err := u.newSession(cmd)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	return s.request(method, path, nil)
}

// requestFile is a request that was read from a file: its body on the wire and its parsed content.
type requestFile[T any] struct {
	body []byte
	spec T
}

// loadRequestFile reads a request from a file. If the file gives no name, it gets defaultName.
func loadRequestFile[T any](path string, parse func(text []byte, defaultName string) ([]byte, T, error), defaultName string) (requestFile[T], error) {
	return protocol.LoadFile(path, func(text []byte) (requestFile[T], error) {
		body, spec, err := parse(text, defaultName)
		return requestFile[T]{body, spec}, err
	})
}

// randomJobRef returns a job reference with 18 random digits, to avoid references of other jobs.
func randomJobRef() string {
	limit := new(big.Int).Exp(big.NewInt(10), big.NewInt(18), nil)
	n, err := rand.Int(rand.Reader, limit)
	if err != nil {
		panic(err) // the system's random source failed
	}
	return fmt.Sprintf("req-%018d", n)
}

func randomID() string {
	b := make([]byte, 6)
	if _, err := rand.Read(b); err != nil {
		panic(err)
	}
	return "r-" + hex.EncodeToString(b)
}

func (u *userCommands) submit(cmd *cobra.Command, args []string) error {
	parse := func(text []byte, ref string) ([]byte, *protocol.JobSpec, error) {
		return protocol.ParseJobFile(text, ref, u.awaits...)
	}
	job, err := loadRequestFile(args[0], parse, randomJobRef())
	if err != nil {
		return err
	}
	s, err := u.newSession(cmd)
	if err != nil {
		return err
	}
	defer s.stop()
	answer, err := s.request("POST", "/api/jobs", job.body)
	if err != nil {
		return err
	}
	if !u.wait {
		return u.printJob(cmd.OutOrStdout(), answer)
	}
	// A user who interrupts the wait needs the reference to query the job.
	fmt.Fprintf(cmd.ErrOrStderr(), "%s is accepted\n", job.spec.Ref)
	phase := ""
	answer, err = s.poll(cmd.ErrOrStderr(), "/api/jobs/"+job.spec.Ref, "job", 2*time.Second, answer, func(answer []byte) (string, bool, error) {
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

func (u *userCommands) status(cmd *cobra.Command, args []string) error {
	return u.jobRequest(cmd, "GET", args[0], "")
}

func (u *userCommands) cancel(cmd *cobra.Command, args []string) error {
	return u.jobRequest(cmd, "POST", args[0], "/cancel")
}

func (u *userCommands) jobRequest(cmd *cobra.Command, method, ref, action string) error {
	if !protocol.ValidRef(ref) {
		return fmt.Errorf("%q is no job: it has the form req-000412", ref)
	}
	answer, err := u.request(cmd, method, "/api/jobs/"+ref+action)
	if err != nil {
		return err
	}
	return u.printJob(cmd.OutOrStdout(), answer)
}

func (u *userCommands) printJob(out io.Writer, answer []byte) error {
	if u.json {
		fmt.Fprintln(out, string(answer))
		return nil
	}
	v, err := fastjson.ParseBytes(answer)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s, %d done, %d running%s\n", v.GetStringBytes("ref"), v.GetStringBytes("phase"), v.GetInt("done"), v.GetInt("running"), awaitedJobs(v))
	return nil
}

// awaitedJobs describes the jobs that a queued job waits for, "" if there are none.
func awaitedJobs(v *fastjson.Value) string {
	var refs []string
	for _, ref := range v.GetArray("awaiting") {
		refs = append(refs, string(ref.GetStringBytes()))
	}
	if len(refs) == 0 {
		return ""
	}
	return ", waits for " + strings.Join(refs, ", ")
}

func (u *userCommands) startRollout(cmd *cobra.Command, args []string) error {
	r, err := loadRequestFile(args[0], protocol.ParseRolloutFile, randomID())
	if err != nil {
		return err
	}
	s, err := u.newSession(cmd)
	if err != nil {
		return err
	}
	defer s.stop()
	answer, err := s.request("POST", "/api/rollouts", r.body)
	if err != nil {
		return err
	}
	if !u.wait {
		return u.printRollout(cmd.OutOrStdout(), answer)
	}
	var last *protocol.RolloutStatus
	answer, err = s.poll(cmd.ErrOrStderr(), "/api/rollouts/"+r.spec.Service, "roll-out", time.Second, answer, func(answer []byte) (string, bool, error) {
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

func (u *userCommands) showRollout(cmd *cobra.Command, args []string) error {
	if len(args) == 1 {
		return u.rolloutRequest(cmd, "GET", args[0], "")
	}
	answer, err := u.request(cmd, "GET", "/api/rollouts")
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

func (u *userCommands) rolloutRequest(cmd *cobra.Command, method, service, action string) error {
	if !protocol.ValidService(service) {
		return fmt.Errorf("%q is no service's name", service)
	}
	answer, err := u.request(cmd, method, "/api/rollouts/"+service+action)
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

func (u *userCommands) printRollout(out io.Writer, answer []byte) error {
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

// progress prints status lines: on a terminal it overwrites a single line, elsewhere it prints one
// line for each change.
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
