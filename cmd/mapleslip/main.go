// Command mapleslip runs one controller of the cluster scheduler. Its subcommands send requests to
// running controllers and run deployments on one machine for trials and measurements.
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

// version is set in release builds with -ldflags "-X main.version=...".
var version = "0.1.0-dev"

func main() {
	if err := rootCommand().Execute(); err != nil {
		var exit *exitError
		if errors.As(err, &exit) {
			os.Exit(exit.code)
		}
		fmt.Fprintln(os.Stderr, "mapleslip: "+err.Error())
		os.Exit(1)
	}
}

// settingsFiles contains the paths of a controller's settings files, as named on the command line.
type settingsFiles struct {
	platform, operator, telemetry, rollouts, configuration string
}

// settings contains the loaded settings of a controller.
type settings struct {
	platform *protocol.Platform
	operator protocol.OperatorSettings
	features features
}

// load reads the settings files. Only the platform's file is required. Without a file for the
// operator settings their defaults are used; without a file for a feature it stays disabled.
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

// loadOptional loads the file at a path. It returns nil if the path is empty.
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

// memoryLimitPercent is the Go runtime's soft memory limit as a percentage of the memory quota.
// Above this limit the garbage collector runs continuously.
const memoryLimitPercent = 60

func rootCommand() *cobra.Command {
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
			// A single goroutine handles all state, and the CPU share of the process is a part of
			// one core, so more threads would only compete with each other.
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
	cmd.AddCommand((&userCommands{}).commands()...)
	cmd.AddCommand(devCommand(), scaleCommand())
	cmd.CompletionOptions.DisableDefaultCmd = true
	return cmd
}

// parseLevel returns the log level with a name. If the name is not error, info or debug, it returns
// info, and known is false.
func parseLevel(name string) (l slog.Level, known bool) {
	switch name {
	case "error":
		return slog.LevelError, true
	case "debug":
		return slog.LevelDebug, true
	}
	return slog.LevelInfo, name == "info"
}

// logger creates a logger that writes to standard error, and the variable that sets its level at
// run time. An unknown level is logged, and info is used.
func logger(level string) (*slog.Logger, *slog.LevelVar) {
	l, known := parseLevel(level)
	levelVar := new(slog.LevelVar)
	levelVar.Set(l)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: levelVar}))
	if !known && level != "" {
		log.Info("LOG_LEVEL is not one of error, info, debug: info is used", "LOG_LEVEL", level)
	}
	return log, levelVar
}
