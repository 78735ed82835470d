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

func command() *cobra.Command {
	var config, operator, shown, rolls, changes string
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
			if config == "" {
				return fmt.Errorf("--config: missing")
			}
			platform, err := protocol.LoadPlatform(config)
			if err != nil {
				return err
			}
			own := protocol.DefaultOperatorSettings()
			if operator != "" {
				if own, err = protocol.LoadOperatorSettings(operator); err != nil {
					return err
				}
			}
			var tele *telemetry.Settings
			if shown != "" {
				t, err := telemetry.Load(shown)
				if err != nil {
					return err
				}
				tele = &t
			}
			var changing *configuration.Options
			if changes != "" {
				o, err := configuration.LoadOptions(changes)
				if err != nil {
					return err
				}
				changing = &o
			}
			var rollouts *rollout.Settings
			if rolls != "" {
				r, err := rollout.LoadSettings(rolls)
				if err != nil {
					return err
				}
				rollouts = &r
			}
			if check {
				fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return nil
			}
			log, level := logger(os.Getenv("LOG_LEVEL"))
			slog.SetDefault(log)
			// One goroutine owns the state and the share is part of one core:
			// more threads would only take turns.
			runtime.GOMAXPROCS(1)
			debug.SetMemoryLimit(platform.MemoryBytes * 6 / 10)
			return serve(platform, own, features{tele, rollouts, changing}, log, level)
		},
	}
	cmd.Flags().StringVar(&config, "config", "", "the platform's settings `FILE`")
	cmd.Flags().StringVar(&operator, "operator", "", "the operators' own settings `FILE`")
	cmd.Flags().StringVar(&shown, "telemetry", "", "serve metrics and send spans as the settings `FILE` says")
	cmd.Flags().StringVar(&rolls, "rollout", "", "serve roll-outs, as the settings `FILE` says")
	cmd.Flags().StringVar(&changes, "configuration", "", "let the configuration change while it runs, as the settings `FILE` says")
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
