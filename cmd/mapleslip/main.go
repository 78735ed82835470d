// Command mapleslip is one controller of the cluster scheduler.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/telemetry"
)

// version is set by releases with -ldflags "-X main.version=...".
var version = "0.1.0-dev"

func main() {
	if err := command().Execute(); err != nil {
		var exit *exitError
		if errors.As(err, &exit) {
			os.Exit(exit.code)
		}
		fmt.Fprintln(os.Stderr, "mapleslip: "+err.Error())
		os.Exit(1)
	}
}

// settingsFiles are the files that a controller is started with.
type settingsFiles struct {
	platform, operator, telemetry, rollouts, configuration string
}

// settings are what the files say.
type settings struct {
	platform *protocol.Platform
	operator protocol.OperatorSettings
	features features
}

// load reads the files. Those that are not named leave what they are for off, or as it is.
func (f *settingsFiles) load() (s settings, err error) {
	if f.platform == "" {
		return s, errors.New("--config: missing")
	}
	if s.platform, err = protocol.LoadPlatform(f.platform); err != nil {
		return s, err
	}
	s.operator = protocol.DefaultOperatorSettings()
	if f.operator != "" {
		if s.operator, err = protocol.LoadOperatorSettings(f.operator); err != nil {
			return s, err
		}
	}
	if s.features.telemetry, err = loadOptional(f.telemetry, telemetry.Load); err != nil {
		return s, err
	}
	if s.features.configuration, err = loadOptional(f.configuration, configuration.LoadOptions); err != nil {
		return s, err
	}
	s.features.rollouts, err = loadOptional(f.rollouts, rollout.LoadSettings)
	return s, err
}

// loadOptional loads a file, nil if none is named.
func loadOptional[T any](file string, load func(string) (T, error)) (*T, error) {
	if file == "" {
		return nil, nil
	}
	loaded, err := load(file)
	if err != nil {
		return nil, err
	}
	return &loaded, nil
}

// memoryLimitPercent is the part of its memory quota above which the process collects garbage
// all the time.
const memoryLimitPercent = 60

func command() *cobra.Command {
	var files settingsFiles
	var check bool
	cmd := &cobra.Command{
		Use:   "mapleslip --config FILE",
		Short: "One controller of the mapleslip cluster scheduler",
		Long: "mapleslip runs one controller. FILE is the platform's settings file (TOML).\n" +
			"LOG_LEVEL (error, info, debug) sets how much is logged to standard error.",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := files.load()
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return nil
			}
			log, level := logger(os.Getenv("LOG_LEVEL"))
			slog.SetDefault(log)
			// One goroutine owns the state and the share is part of one core: more threads would
			// only take turns.
			runtime.GOMAXPROCS(1)
			debug.SetMemoryLimit(s.platform.MemoryBytes * memoryLimitPercent / 100)
			return serve(s.platform, s.operator, s.features, log, level)
		},
	}
	cmd.Flags().StringVar(&files.platform, "config", "", "the platform's settings `FILE`")
	cmd.Flags().StringVar(&files.operator, "operator", "", "the operators' own settings `FILE`")
	cmd.Flags().StringVar(&files.telemetry, "telemetry", "", "serve metrics and send spans as the settings `FILE` says")
	cmd.Flags().StringVar(&files.rollouts, "rollout", "", "serve roll-outs, as the settings `FILE` says")
	cmd.Flags().StringVar(&files.configuration, "configuration", "", "let the configuration change while it runs, as the settings `FILE` says")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	cmd.AddCommand((&users{}).commands()...)
	cmd.AddCommand(devCommand(), scaleCommand())
	cmd.CompletionOptions.DisableDefaultCmd = true
	return cmd
}

// levelNamed is a level of the log, info where the name is not one of error, info, debug.
func levelNamed(name string) (l slog.Level, known bool) {
	switch name {
	case "error":
		return slog.LevelError, true
	case "debug":
		return slog.LevelDebug, true
	}
	return slog.LevelInfo, name == "info"
}

// logger makes the log, whose level may be changed.
func logger(level string) (*slog.Logger, *slog.LevelVar) {
	l, known := levelNamed(level)
	lever := new(slog.LevelVar)
	lever.Set(l)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: lever}))
	if !known && level != "" {
		log.Info("LOG_LEVEL is not one of error, info, debug: info is used", "LOG_LEVEL", level)
	}
	return log, lever
}
