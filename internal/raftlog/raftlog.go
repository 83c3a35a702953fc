// Package raftlog passes the log messages of the Raft library to the program's structured log. Most are logged at debug
// level, since operators see leaders and elections in 'fleet status'; errors are logged as such. A fatal message or a
// panic of the library ends the replica with a replication.InvariantError.
package raftlog

import (
	"fmt"
	"log/slog"

	"chutechute/fleet/replication"
)

// Log messages and the key of their attribute.
const (
	debugMessage = "raft library message"
	errorMessage = "raft library error"
	detailKey    = "detail"
)

// Logger is a raft.Logger over slog's default logger.
type Logger struct{}

// New returns a Logger.
func New() Logger { return Logger{} }

func debug(detail string) { slog.Debug(debugMessage, slog.String(detailKey, detail)) }

func fail(detail string) { panic(replication.InvariantError{Message: detail}) }

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

// Fatal panics with a replication.InvariantError, which ends the replica that called.
func (Logger) Fatal(v ...any) { fail(fmt.Sprint(v...)) }

// Fatalf panics with a replication.InvariantError, which ends the replica that called.
func (Logger) Fatalf(format string, v ...any) { fail(fmt.Sprintf(format, v...)) }

// Panic panics with a replication.InvariantError, which ends the replica that called.
func (Logger) Panic(v ...any) { fail(fmt.Sprint(v...)) }

// Panicf panics with a replication.InvariantError, which ends the replica that called.
func (Logger) Panicf(format string, v ...any) { fail(fmt.Sprintf(format, v...)) }
