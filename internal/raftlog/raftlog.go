// Package raftlog passes the log messages of the Raft library to the program's structured log. Errors are logged at
// error level. Warnings and information are logged at debug level, because operators see leaders and elections in
// 'fleet status'. A fatal message or a panic of the library stops the replica with a replication.InvariantError.
package raftlog

import (
	"fmt"
	"log/slog"

	"chutechute/fleet/replication"
)

// Log messages and their attribute key.
const (
	debugMessage = "raft library message"
	errorMessage = "raft library error"
	detailKey    = "detail"
)

// Logger is a raft.Logger that logs to slog's default logger.
type Logger struct{}

// New returns a Logger.
func New() Logger { return Logger{} }

func debug(detail string) { slog.Debug(debugMessage, slog.String(detailKey, detail)) }

func panicWith(detail string) { panic(replication.InvariantError{Message: detail}) }

// Debug logs at debug level.
func (Logger) Debug(v ...any) { debug(fmt.Sprint(v...)) }

// Debugf logs at debug level.
func (Logger) Debugf(format string, v ...any) { debug(fmt.Sprintf(format, v...)) }

// Info logs at debug level.
func (Logger) Info(v ...any) { debug(fmt.Sprint(v...)) }

// Infof logs at debug level.
func (Logger) Infof(format string, v ...any) { debug(fmt.Sprintf(format, v...)) }

// Warning logs at debug level.
func (Logger) Warning(v ...any) { debug(fmt.Sprint(v...)) }

// Warningf logs at debug level.
func (Logger) Warningf(format string, v ...any) { debug(fmt.Sprintf(format, v...)) }

// Error logs at error level.
func (Logger) Error(v ...any) { slog.Error(errorMessage, slog.String(detailKey, fmt.Sprint(v...))) }

// Errorf logs at error level.
func (Logger) Errorf(format string, v ...any) {
	slog.Error(errorMessage, slog.String(detailKey, fmt.Sprintf(format, v...)))
}

// Fatal panics with a replication.InvariantError, which stops the calling replica.
func (Logger) Fatal(v ...any) { panicWith(fmt.Sprint(v...)) }

// Fatalf panics with a replication.InvariantError, which stops the calling replica.
func (Logger) Fatalf(format string, v ...any) { panicWith(fmt.Sprintf(format, v...)) }

// Panic panics with a replication.InvariantError, which stops the calling replica.
func (Logger) Panic(v ...any) { panicWith(fmt.Sprint(v...)) }

// Panicf panics with a replication.InvariantError, which stops the calling replica.
func (Logger) Panicf(format string, v ...any) { panicWith(fmt.Sprintf(format, v...)) }
