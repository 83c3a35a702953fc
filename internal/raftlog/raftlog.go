// Package raftlog leads what the consensus library logs to the program's structured log, at debug level but for what is wrong.
package raftlog

import (
	"fmt"
	"log/slog"

	"chutechute/fleet/replication"
)

// Logger is the library's logger.
type Logger struct{}

// New is a logger over the program's own.
func New() Logger { return Logger{} }

// Debug and the others are the library's interface.
func (Logger) Debug(v ...any) { slog.Debug("raft", "text", fmt.Sprint(v...)) }

// Debugf logs at debug level.
func (Logger) Debugf(format string, v ...any) { slog.Debug("raft", "text", fmt.Sprintf(format, v...)) }

// Info logs at debug level: an election is no news to an operator, who sees leaders in 'fleet status'.
func (l Logger) Info(v ...any) { l.Debug(v...) }

// Infof logs at debug level.
func (l Logger) Infof(format string, v ...any) { l.Debugf(format, v...) }

// Warning logs at debug level.
func (l Logger) Warning(v ...any) { l.Debug(v...) }

// Warningf logs at debug level.
func (l Logger) Warningf(format string, v ...any) { l.Debugf(format, v...) }

// Error logs an error.
func (Logger) Error(v ...any) { slog.Error("raft", "text", fmt.Sprint(v...)) }

// Errorf logs an error.
func (Logger) Errorf(format string, v ...any) { slog.Error("raft", "text", fmt.Sprintf(format, v...)) }

// Fatal and Panic end the copy that called: its log can't be true any more.
func (Logger) Fatal(v ...any) { panic(replication.InvariantError(fmt.Sprint(v...))) }

// Fatalf ends the copy.
func (Logger) Fatalf(format string, v ...any) {
	panic(replication.InvariantError(fmt.Sprintf(format, v...)))
}

// Panic ends the copy.
func (Logger) Panic(v ...any) { panic(replication.InvariantError(fmt.Sprint(v...))) }

// Panicf ends the copy.
func (Logger) Panicf(format string, v ...any) {
	panic(replication.InvariantError(fmt.Sprintf(format, v...)))
}
