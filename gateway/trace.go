package gateway

import (
	"context"
	"log/slog"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// requestTrace logs a line for the start and the end of each attempt and for each final response, so that they can be
// counted over the logs of a whole fleet. It is on if the log level is debug.
type requestTrace struct {
	log *slog.Logger // nil if the trace is off
}

// newRequestTrace returns a trace that writes to the default logger.
func newRequestTrace() requestTrace {
	log := slog.Default()
	if !log.Enabled(context.Background(), slog.LevelDebug) {
		return requestTrace{}
	}
	return requestTrace{log}
}

// resultNames are the values of the log attribute "result".
var resultNames = [...]string{
	scheduler.Succeeded:    "done",
	scheduler.Errored:      "errored",
	scheduler.Rejected:     "full",
	scheduler.TimedOut:     "timed_out",
	scheduler.NoConnection: "no_connection",
	scheduler.Reset:        "reset",
	scheduler.Canceled:     "canceled",
	scheduler.NotSent:      "not_sent",
}

// milliseconds returns a duration in whole milliseconds, rounded towards zero.
func milliseconds(d monotime.Micros) int64 { return d / monotime.Millisecond }

func (t requestTrace) attemptStarted(a *Attempt) {
	if t.log == nil {
		return
	}
	t.log.Debug("attempt started",
		slog.String("request_id", a.ID),
		slog.String("class", a.Class),
		slog.String("engine", a.Engine),
		slog.Int("attempt", a.number),
		slog.Int64("cost_ms", milliseconds(a.EstimatedWork)),
		slog.Int("table_group", a.TableGroup),
		slog.Int64("timeout_ms", milliseconds(a.Timeout)))
}

func (t requestTrace) attemptEnded(a *Attempt, result scheduler.Result, elapsed monotime.Micros) {
	if t.log == nil {
		return
	}
	t.log.Debug("attempt ended",
		slog.String("request_id", a.ID),
		slog.String("class", a.Class),
		slog.String("engine", a.Engine),
		slog.Int("attempt", a.number),
		slog.String("result", resultNames[result]),
		slog.Int64("cost_ms", milliseconds(a.EstimatedWork)),
		slog.Int64("duration_ms", milliseconds(elapsed)))
}

func (t requestTrace) requestAnswered(r *Request, response string, now monotime.Micros) {
	if t.log == nil {
		return
	}
	t.log.Debug("request answered",
		slog.String("request_id", r.ID),
		slog.String("class", r.Class),
		slog.String("tenant", r.Tenant),
		slog.String("response", response),
		slog.Int64("cost_ms", milliseconds(r.EstimatedWork)),
		slog.Int64("duration_ms", milliseconds(now-r.receivedAt)),
		slog.Int("attempts", len(r.attempts)))
}
