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

// hollowCommand is how run starts this program again.
const hollowCommand = "hollow"

func newHollow() *cobra.Command {
	var most time.Duration
	cmd := &cobra.Command{
		Use:    hollowCommand,
		Short:  "Carry hollow front ends, as run asks for on standard input",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: cli.Does(func(*cobra.Command, []string) error {
			// Links that end with a front end are what faults are about, and not worth a line each.
			slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
			runtime.GOMAXPROCS(1) // as the program does
			return sockets.Work(os.Stdin, os.Stdout, most)
		}),
	}
	cmd.Flags().DurationVar(&most, "most", time.Minute, "after which it ends in any case")
	return cmd
}
