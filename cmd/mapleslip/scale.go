package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"mapleslip/internal/scale"
)

// exitError ends the program with a code of its own; what there is to say is said.
type exitError struct{ code int }

func (e *exitError) Error() string { return fmt.Sprintf("exit %d", e.code) }

// scaleFlags are those of the commands that make runs.
type scaleFlags struct {
	part       float64
	seed       uint64
	out        string
	controller string
	faults     []string
	json       bool
}

func scaleCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "scale",
		Short: "A deployment of full size on this machine, to measure and to break",
		Long: "scale runs real controllers with stand-ins of the state service and the cloud, thousands\n" +
			"of hollow workers, a few real ones and a load of users, all on loopback, plays faults, and\n" +
			"watches the protocol's rules. See docs/scale.md.",
	}
	cmd.AddCommand(scaleRunCommand(), scalePartCommand())
	return cmd
}

func (s *scaleFlags) add(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&s.seed, "seed", 0, "`NUMBER` that draws jobs and faults, instead of the file's")
	cmd.Flags().StringVar(&s.controller, "controller", "", "another `PROGRAM` for the controllers than this one")
	cmd.Flags().StringArrayVar(&s.faults, "fault", nil, "one more `FAULT`, as in at_s=95,kind=controller_end,controller=leader")
}

// load reads a file and the faults of the command line.
func (s *scaleFlags) load(path string) (*scale.File, error) {
	f, err := scale.Load(path)
	if err != nil {
		return nil, err
	}
	for _, text := range s.faults {
		t, err := scale.ParseFault(f, text)
		if err != nil {
			return nil, err
		}
		f.Faults = append(f.Faults, t)
	}
	return f, nil
}

// run makes a run and writes its report.
func (s *scaleFlags) run(ctx context.Context, cmd *cobra.Command, f *scale.File, part float64, seed uint64, out string) (*scale.Report, error) {
	if part <= 0 || part > 10 {
		return nil, errors.New("--part: must be above 0 and at most 10")
	}
	if seed == 0 {
		seed = f.Seed
	}
	if out == "" {
		out = filepath.Join("target", "scale", fmt.Sprintf("%s-%g-%d", f.Name, part, seed))
	}
	controller := s.controller
	if controller != "" {
		full, err := filepath.Abs(controller)
		if err != nil {
			return nil, err
		}
		controller = full
	}
	// What an earlier run left there must not be taken for this one's.
	if old, err := filepath.Glob(filepath.Join(out, "*.log")); err == nil {
		for _, name := range old {
			os.Remove(name)
		}
	}
	r, err := scale.Run(ctx, scale.Options{File: f, Part: part, Seed: seed, Out: out, Controller: controller, Progress: cmd.ErrOrStderr()})
	if r == nil {
		return nil, err
	}
	if err := r.Write(out); err != nil {
		return nil, err
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "report, plots and logs: %s\n", out)
	return r, nil
}

func scaleRunCommand() *cobra.Command {
	s := scaleFlags{}
	cmd := &cobra.Command{
		Use:   "run FILE",
		Short: "One run; exits with 1 if a rule was broken, 2 if it failed, 3 if it is void",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := s.load(args[0])
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			r, err := s.run(ctx, cmd, f, s.part, s.seed, s.out)
			if err != nil {
				fmt.Fprintln(cmd.ErrOrStderr(), "mapleslip: "+err.Error())
				return &exitError{scale.ExitFailed}
			}
			if s.json {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", " ")
				if err := enc.Encode(r); err != nil {
					return err
				}
			} else {
				r.Print(cmd.OutOrStdout())
			}
			if r.Exit != scale.ExitGood {
				return &exitError{r.Exit}
			}
			return nil
		},
	}
	s.add(cmd)
	cmd.Flags().Float64Var(&s.part, "part", 1, "`SHARE` of the file's machines, tasks and rates")
	cmd.Flags().StringVar(&s.out, "out", "", "`FOLDER` of the report, plots and logs (target/scale/NAME-PART-SEED)")
	cmd.Flags().BoolVar(&s.json, "json", false, "print the report as JSON")
	return cmd
}
