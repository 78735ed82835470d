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

// exitError makes main exit with a code. main prints no message for it, because the command has
// already printed its result or error.
type exitError struct{ code int }

func (e *exitError) Error() string { return fmt.Sprintf("exit %d", e.code) }

// scaleFlags contains the flags of the commands that make scale runs.
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
	cmd.AddCommand(scaleRunCommand(), scaleSlopesCommand(), scaleCompareCommand(), scalePartCommand())
	return cmd
}

func (s *scaleFlags) addFlags(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&s.seed, "seed", 0, "`NUMBER` that draws jobs and faults, instead of the file's")
	cmd.Flags().StringVar(&s.controller, "controller", "", "another `PROGRAM` for the controllers than this one")
	cmd.Flags().StringArrayVar(&s.faults, "fault", nil, "one more `FAULT`, as in at_s=95,kind=controller_end,controller=leader")
}

// load reads the settings file of a run and adds the faults from the command line.
func (s *scaleFlags) load(path string) (*scale.File, error) {
	f, err := scale.Load(path)
	if err != nil {
		return nil, err
	}
	for _, text := range s.faults {
		fault, err := scale.ParseFault(f, text)
		if err != nil {
			return nil, err
		}
		f.Faults = append(f.Faults, fault)
	}
	return f, nil
}

// run makes a scale run and writes its report.
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
		absolute, err := filepath.Abs(controller)
		if err != nil {
			return nil, err
		}
		controller = absolute
	}
	// Remove the logs of an earlier run in this folder: they must not be mistaken for this run's.
	if oldLogs, err := filepath.Glob(filepath.Join(out, "*.log")); err == nil {
		for _, name := range oldLogs {
			_ = os.Remove(name)
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
	s.addFlags(cmd)
	cmd.Flags().Float64Var(&s.part, "part", 1, "`SHARE` of the file's machines, tasks and rates")
	cmd.Flags().StringVar(&s.out, "out", "", "`FOLDER` of the report, plots and logs (target/scale/NAME-PART-SEED)")
	cmd.Flags().BoolVar(&s.json, "json", false, "print the report as JSON")
	return cmd
}

// slopesFlags contains the flags of the command that makes runs of several sizes.
type slopesFlags struct {
	scaleFlags
	parts   []float64
	repeats int
	by      string
	from    []string
}

const maxRepeats = 100

// reports reads the reports of earlier runs if --from names any. Otherwise it makes the runs.
func (s *slopesFlags) reports(ctx context.Context, cmd *cobra.Command, args []string) (reports []*scale.Report, err error) {
	for _, path := range s.from {
		r, err := scale.ReadReport(path)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	if len(s.from) > 0 {
		return reports, nil
	}
	if len(args) != 1 {
		return nil, errors.New("FILE is missing")
	}
	if s.repeats < 1 || s.repeats > maxRepeats {
		return nil, fmt.Errorf("--repeats: must be from 1 to %d", maxRepeats)
	}
	f, err := s.load(args[0])
	if err != nil {
		return nil, err
	}
	firstSeed := f.Seed
	if s.seed != 0 {
		firstSeed = s.seed
	}
	for n := range s.repeats {
		for _, part := range s.parts {
			r, err := s.runPart(ctx, cmd, f, part, firstSeed+uint64(n))
			if err != nil {
				return nil, err
			}
			reports = append(reports, r)
		}
	}
	return reports, nil
}

// runPart makes a run with a part of the file's size.
func (s *slopesFlags) runPart(ctx context.Context, cmd *cobra.Command, f *scale.File, part float64, seed uint64) (*scale.Report, error) {
	if ctx.Err() != nil {
		return nil, errors.New("interrupted")
	}
	out := ""
	if s.out != "" {
		out = filepath.Join(s.out, fmt.Sprintf("%s-%g-%d", f.Name, part, seed))
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "%s, part %g, seed %d\n", f.Name, part, seed)
	return s.run(ctx, cmd, f, part, seed, out)
}

func scaleSlopesCommand() *cobra.Command {
	s := slopesFlags{}
	cmd := &cobra.Command{
		Use:   "slopes FILE --parts 0.1,0.25,0.5",
		Short: "Runs of several sizes, and how each figure grows, as a table in Markdown",
		Long: "slopes runs FILE at each of the parts, with a seed of its own for each repeat, and fits a line\n" +
			"to each figure. Runs that are not good are left out and said. With --from it takes the\n" +
			"reports of runs that were made before, and makes none.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			reports, err := s.reports(ctx, cmd, args)
			if err != nil {
				return err
			}
			slopes, err := scale.Slopes(reports, s.by)
			if s.json {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", " ")
				if err == nil {
					err = enc.Encode(slopes)
				}
				return err
			}
			scale.PrintSlopes(cmd.OutOrStdout(), reports, slopes, s.by)
			return err
		},
	}
	s.addFlags(cmd)
	cmd.Flags().Float64SliceVar(&s.parts, "parts", []float64{0.1, 0.25, 0.5}, "`SHARES` of the file's size")
	cmd.Flags().IntVar(&s.repeats, "repeats", 1, "`NUMBER` of runs of each size")
	cmd.Flags().StringVar(&s.by, "by", "", "`ROW` that is the size, instead of the number of workers")
	cmd.Flags().StringSliceVar(&s.from, "from", nil, "`FOLDERS` of earlier runs' reports: none is made")
	cmd.Flags().StringVar(&s.out, "out", "", "`FOLDER` under which each run has one (target/scale)")
	cmd.Flags().BoolVar(&s.json, "json", false, "print the slopes as JSON")
	return cmd
}

func scaleCompareCommand() *cobra.Command {
	var minDifference float64
	cmd := &cobra.Command{
		Use:   "compare A B",
		Short: "Two runs' reports side by side",
		Long:  "A and B are folders of runs, or report.json files.",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := scale.ReadReport(args[0])
			if err != nil {
				return err
			}
			b, err := scale.ReadReport(args[1])
			if err != nil {
				return err
			}
			scale.Compare(cmd.OutOrStdout(), a, b, minDifference)
			return nil
		},
	}
	cmd.Flags().Float64Var(&minDifference, "least", 0.05, "leave out figures that differ by less than this `SHARE`")
	return cmd
}
