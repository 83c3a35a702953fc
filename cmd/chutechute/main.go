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
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 2 / 3)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	server, err := epoll.New(cfg, os.Stderr)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE)
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR1 {
				server.PrintCounters()
			} else {
				server.Drain()
			}
		}
	}()
	return server.Run()
}
