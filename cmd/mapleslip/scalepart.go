package main

import (
	"os"

	"github.com/spf13/cobra"

	"mapleslip/internal/scale/process"
)

// scalePartCommand returns the hidden command that the supervisor of a scale run starts for each of
// the run's processes.
func scalePartCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "part ROLE",
		Short:  "A process of a scale run; the supervisor starts it",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log, _ := logger(os.Getenv("LOG_LEVEL"))
			return process.Part(args[0], cmd.InOrStdin(), cmd.OutOrStdout(), log)
		},
	}
}
