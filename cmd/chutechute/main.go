// Command chutechute is the front end: it takes queries from clients, decides when and on which engine
// each runs, and passes the results on.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"chutechute/internal/config"
	"chutechute/internal/epoll"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "chutechute:", err)
		os.Exit(1)
	}
}

func run() error {
	signals := make(chan os.Signal, 16) // from the first on: a signal that nobody awaits would end the program
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(cfg.HeapLimit())
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	server, err := epoll.New(cfg, os.Stderr)
	if err != nil {
		return err
	}
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				server.PrintCounters()
			case syscall.SIGHUP:
				server.Reload()
			default:
				server.Drain()
			}
		}
	}()
	return server.Run()
}
