package main

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
	"chutechute/internal/config"
	"chutechute/internal/server"
)

func newServe(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run the front end until a signal ends it",
		Long: `Serve runs the front end in the foreground. NODE_CONFIG names its configuration file. SIGTERM or SIGINT starts
a graceful shutdown, SIGHUP reloads the configuration and the installation file, SIGUSR1 prints the counters.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log, err := o.logger()
			if err != nil {
				return err
			}
			if err := serve(o.installation, log); err != nil {
				return cli.AsFailure(err)
			}
			return nil
		},
	}
}

// serve runs a front end and handles the signals of the process.
func serve(installation string, log *slog.Logger) error {
	signals := make(chan os.Signal, 16) // first of all: a signal without a handler would end the process
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	// Writes to a closed pipe, and to a file that has reached the size limit, return an error instead.
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
	cfg, err := config.Load(os.Getenv, installation)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(cfg.HeapLimit())
	slog.SetDefault(log)
	server, err := server.New(cfg, os.Stderr)
	if err != nil {
		return err
	}
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				server.PrintCounters()
			case syscall.SIGHUP:
				go server.Reload() // it may take long, and SIGTERM must not wait for it
			default:
				server.Drain()
			}
		}
	}()
	return server.Run()
}
