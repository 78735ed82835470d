package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fastjson"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// configCommands contains the flags of the commands with which operators show and change the
// configuration of running controllers.
type configCommands struct {
	*userCommands
	who, why string
	expected int64
	wait     bool
	repair   bool
	all      bool
}

func (u *userCommands) configCommand() *cobra.Command {
	o := &configCommands{userCommands: u}
	cmd := &cobra.Command{Use: "config", Short: "Show and change the configuration while the service runs"}
	get := &cobra.Command{Use: "get [KEY]", Short: "Show the last revision, or the value of a key", Args: cobra.MaximumNArgs(1), RunE: o.get}
	set := &cobra.Command{Use: "set KEY=VALUE...", Short: "Change keys, all in one revision; KEY=- takes one out", Args: cobra.MinimumNArgs(1), RunE: o.set}
	apply := &cobra.Command{Use: "apply FILE", Short: "Change what a file says (TOML or JSON), all in one revision", Args: cobra.ExactArgs(1), RunE: o.apply}
	diff := &cobra.Command{Use: "diff FILE", Short: "Show what apply would change", Args: cobra.ExactArgs(1), RunE: o.diff}
	history := &cobra.Command{Use: "history", Short: "Show who changed what, when and why, the last change first", Args: cobra.NoArgs, RunE: o.history}
	history.Flags().BoolVar(&o.all, "all", false, "the whole history that is kept")
	rollback := &cobra.Command{Use: "rollback REVISION", Short: "Go back to an earlier revision's document, as a new revision", Args: cobra.ExactArgs(1), RunE: o.rollback}
	status := &cobra.Command{Use: "status", Short: "Say which revision each controller goes by", Args: cobra.NoArgs, RunE: o.status}
	wait := &cobra.Command{Use: "wait [REVISION]", Short: "Wait until a revision, the last one if none is named, is in force everywhere", Args: cobra.MaximumNArgs(1), RunE: o.waitForRevision}
	for _, c := range []*cobra.Command{set, apply, rollback} {
		c.Flags().StringVar(&o.who, "who", "", "who makes the change, yourself if left out")
		c.Flags().StringVar(&o.why, "why", "", "the reason, for the history")
		c.Flags().Int64Var(&o.expected, "expect", -1, "refuse the change unless this is the last `REVISION`; the one there now if left out")
		c.Flags().BoolVar(&o.wait, "wait", false, "wait until it is in force everywhere")
	}
	for _, c := range []*cobra.Command{set, apply} {
		c.Flags().BoolVar(&o.repair, "mend", false, "put a new record in the place of one that can't be read")
	}
	cmd.AddCommand(get, set, apply, diff, history, rollback, status, wait)
	return cmd
}

// currentConfig requests the latest revision of the configuration.
func (s *session) currentConfig() (revision uint64, document configuration.Document, answer []byte, err error) {
	if answer, err = s.request("GET", "/api/config", nil); err != nil {
		return 0, nil, nil, err
	}
	v, err := fastjson.ParseBytes(answer)
	if err != nil {
		return 0, nil, nil, err
	}
	document, err = configuration.DecodeDocument(protocol.Member(v, "document").MarshalTo(nil))
	return v.GetUint64("revision"), document, answer, err
}

func (o *configCommands) get(cmd *cobra.Command, args []string) error {
	s, err := o.newSession(cmd)
	if err != nil {
		return err
	}
	defer s.stop()
	revision, document, answer, err := s.currentConfig()
	out := cmd.OutOrStdout()
	switch {
	case err != nil:
		return err
	case len(args) == 1 && document[args[0]] == "":
		return fmt.Errorf("%s is not set in revision %d", args[0], revision)
	case len(args) == 1:
		fmt.Fprintln(out, document[args[0]])
	case o.json:
		fmt.Fprintln(out, string(answer))
	default:
		fmt.Fprintf(out, "revision %d\n", revision)
		for _, c := range configuration.Diff(nil, document) {
			fmt.Fprintf(out, "%s = %s\n", c.Key, c.New)
		}
	}
	return nil
}

func (o *configCommands) set(cmd *cobra.Command, args []string) error {
	set := make(map[string]string)
	for _, arg := range args {
		key, value, err := configuration.ParseSet(arg)
		if err != nil {
			return err
		}
		if _, twice := set[key]; twice {
			return fmt.Errorf("%s: is there twice", key)
		}
		set[key] = value
	}
	return o.requestChange(cmd, "/api/config", &configuration.Request{Set: set, Repair: o.repair}, nil)
}

// readChanges reads configuration changes from a file. locate adds the path of the file to an
// error, and also the line if the error begins with a key that the file sets.
func readChanges(path string) (set map[string]string, locate func(error) error, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	locate = func(err error) error {
		if key, _, ok := strings.Cut(err.Error(), ": "); ok {
			if n := configuration.Line(text, key); n > 0 {
				return fmt.Errorf("%s: line %d: %w", path, n, err)
			}
		}
		return fmt.Errorf("%s: %w", path, protocol.OneLine(err))
	}
	if set, err = configuration.ParseFile(text); err != nil {
		return nil, nil, locate(err)
	}
	return set, locate, nil
}

func (o *configCommands) apply(cmd *cobra.Command, args []string) error {
	set, locate, err := readChanges(args[0])
	if err != nil {
		return err
	}
	return o.requestChange(cmd, "/api/config", &configuration.Request{Set: set, Repair: o.repair}, locate)
}

func (o *configCommands) rollback(cmd *cobra.Command, args []string) error {
	to, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return fmt.Errorf("%q is no revision", args[0])
	}
	return o.requestChange(cmd, "/api/config/rollback", &configuration.Request{Rollback: true, To: to}, nil)
}

// requestChange requests a new revision. If locate is not nil, it adds the position in a file to
// the error of a rejected request.
func (o *configCommands) requestChange(cmd *cobra.Command, path string, r *configuration.Request, locate func(error) error) error {
	s, err := o.newSession(cmd)
	if err != nil {
		return err
	}
	defer s.stop()
	if r.Who = o.who; r.Who == "" {
		r.Who = os.Getenv("USER")
		if me, err := user.Current(); err == nil {
			r.Who = me.Username
		}
	}
	r.Why, r.ID, r.Expected = o.why, randomID(), uint64(o.expected)
	if o.expected < 0 {
		if r.Expected, _, _, err = s.currentConfig(); err != nil {
			return err
		}
	}
	answer, err := s.request("POST", path, configuration.AppendRequest(nil, r))
	if err != nil {
		if locate != nil {
			return locate(err)
		}
		return err
	}
	revision, changed := fastjson.GetInt(answer, "revision"), fastjson.GetBool(answer, "changed")
	if o.wait {
		began := time.Now()
		if _, err := s.request("GET", fmt.Sprintf("/api/config/wait?revision=%d", revision), nil); err != nil {
			return fmt.Errorf("revision %d is made, but: %w", revision, err)
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "in force everywhere after %.1f s\n", time.Since(began).Seconds())
	}
	switch out := cmd.OutOrStdout(); {
	case o.json:
		fmt.Fprintln(out, string(answer))
	case changed:
		fmt.Fprintf(out, "revision %d\n", revision)
	default:
		fmt.Fprintf(out, "revision %d has it so already\n", revision)
	}
	return nil
}

func (o *configCommands) diff(cmd *cobra.Command, args []string) error {
	set, _, err := readChanges(args[0])
	if err != nil {
		return err
	}
	s, err := o.newSession(cmd)
	if err != nil {
		return err
	}
	defer s.stop()
	revision, document, _, err := s.currentConfig()
	if err != nil {
		return err
	}
	changes := (&configuration.Request{Set: set}).Changes(document)
	if o.json {
		fmt.Fprintf(cmd.OutOrStdout(), "{\"revision\":%d,\"changes\":%s}\n", revision, configuration.AppendChanges(nil, changes))
		return nil
	}
	printChanges(cmd.OutOrStdout(), changes)
	return nil
}

func printChanges(out io.Writer, changes []configuration.Change) {
	orUnset := func(v string) string {
		if v == "" {
			return "unset"
		}
		return v
	}
	for _, c := range changes {
		fmt.Fprintf(out, "  %s: %s -> %s\n", c.Key, orUnset(c.Old), orUnset(c.New))
	}
}

func (o *configCommands) history(cmd *cobra.Command, _ []string) error {
	s, err := o.newSession(cmd)
	if err != nil {
		return err
	}
	defer s.stop()
	out := cmd.OutOrStdout()
	path := "/api/config/history"
	for {
		answer, err := s.request("GET", path, nil)
		if err != nil {
			return err
		}
		v, err := fastjson.ParseBytes(answer)
		if err != nil {
			return err
		}
		var last uint64
		for _, item := range v.GetArray("history") {
			last = item.GetUint64("revision")
			if o.json { // one line per entry
				fmt.Fprintln(out, string(item.MarshalTo(nil)))
				continue
			}
			e, err := configuration.DecodeEntry(item)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "revision %d, %s, %s: %s\n", e.Revision, time.UnixMicro(int64(e.At)).UTC().Format(time.RFC3339), e.Who, e.Why)
			printChanges(out, e.Changes)
		}
		if !v.GetBool("more") || last == 0 {
			return nil
		}
		if !o.all {
			fmt.Fprintln(cmd.ErrOrStderr(), "there are older ones: --all")
			return nil
		}
		path = fmt.Sprintf("/api/config/history?before=%d", last)
	}
}

func (o *configCommands) status(cmd *cobra.Command, _ []string) error {
	answer, err := o.request(cmd, "GET", "/api/config/status")
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if o.json {
		fmt.Fprintln(out, string(answer))
		return nil
	}
	v, err := fastjson.ParseBytes(answer)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "revision %d, in force everywhere: %d\n", v.GetUint64("revision"), v.GetUint64("in_force"))
	if v.GetBool("damaged") {
		fmt.Fprintln(out, "the record can't be read: the last good revision is gone by")
	}
	for _, n := range v.GetArray("controllers") {
		line := string(n.GetStringBytes("name"))
		switch {
		case n.GetBool("leads"):
			line += fmt.Sprintf(": revision %d, leads", n.GetUint64("revision"))
		case n.Exists("revision"):
			line += fmt.Sprintf(": revision %d, heard %.1f s ago", n.GetUint64("revision"), n.GetFloat64("heard_s_ago"))
		default:
			line += ": not heard by this leader"
		}
		fmt.Fprintln(out, line)
	}
	return nil
}

func (o *configCommands) waitForRevision(cmd *cobra.Command, args []string) error {
	s, err := o.newSession(cmd)
	if err != nil {
		return err
	}
	defer s.stop()
	var revision uint64
	if len(args) == 0 {
		revision, _, _, err = s.currentConfig()
	} else if revision, err = strconv.ParseUint(args[0], 10, 64); err != nil {
		err = errors.New(args[0] + " is no revision")
	}
	if err != nil {
		return err
	}
	answer, err := s.request("GET", fmt.Sprintf("/api/config/wait?revision=%d", revision), nil)
	if err != nil {
		return err
	}
	if o.json {
		fmt.Fprintln(cmd.OutOrStdout(), string(answer))
		return nil
	}
	fmt.Fprintf(cmd.OutOrStdout(), "revision %d is in force everywhere\n", revision)
	return nil
}
