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
		Short: "Serve until a signal ends it",
		Long: `Serve runs the front end in the foreground. NODE_CONFIG names its configuration. SIGTERM or SIGINT begins a
planned exit, SIGHUP reads the configuration and the installation file again, SIGUSR1 prints the counters.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log, err := o.logger()
			if err != nil {
				return err
			}
			if err := serve(o.installation, log); err != nil {
				return cli.Fail(err)
			}
			return nil
		},
	}
}

func serve(installation string, log *slog.Logger) error {
	signals := make(chan os.Signal, 16) // from the first on: a signal that nobody awaits would end the program
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ) // a file that may not grow is an error of its write
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
				go server.Reload() // it may take a while, and SIGTERM is not to wait for it
			default:
				server.Drain()
			}
		}
	}()
	return server.Run()
}
