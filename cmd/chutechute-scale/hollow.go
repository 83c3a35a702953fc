package main

import (
	"log/slog"
	"os"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
	"chutechute/internal/scale/sockets"
)

// hollowCommand is the hidden subcommand by which run starts this program again, as a worker.
const hollowCommand = "hollow"

func newHollow() *cobra.Command {
	var maxDuration time.Duration
	cmd := &cobra.Command{
		Use:    hollowCommand,
		Short:  "Run hollow front ends, as requested by run over standard input",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: cli.RunE(func(*cobra.Command, []string) error {
			// Errors only: faults break links on purpose, so that those are not worth a log line each.
			slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
			runtime.GOMAXPROCS(1) // as in the real front end
			return sockets.RunWorker(os.Stdin, os.Stdout, maxDuration)
		}),
	}
	cmd.Flags().DurationVar(&maxDuration, "most", time.Minute, "how long the process runs at most")
	return cmd
}
