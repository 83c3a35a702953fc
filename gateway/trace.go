package gateway

import (
	"context"
	"log/slog"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// trace logs what becomes of each request, a line for each attempt's start and end and one for the answer, so that a day's
// logs can be counted over a whole fleet. It is on where the log's level is debug.
type trace struct{ log *slog.Logger }

func newTrace() trace {
	if log := slog.Default(); log.Enabled(context.Background(), slog.LevelDebug) {
		return trace{log}
	}
	return trace{}
}

var resultNames = [...]string{scheduler.Succeeded: "done", scheduler.Errored: "errored", scheduler.Rejected: "full", scheduler.TimedOut: "timed_out",
	scheduler.NoConnection: "no_connection", scheduler.Reset: "reset", scheduler.Canceled: "canceled", scheduler.NotSent: "not_sent"}

func (t trace) sent(a *Attempt) {
	if t.log != nil {
		t.log.Debug("sent", "call", a.ID, "class", a.Class, "engine", a.Engine, "try", a.number, "cost_ms", a.Cost/1000,
			"group", a.Group, "wait_ms", a.Timeout/1000)
	}
}

func (t trace) ended(a *Attempt, result scheduler.Result, elapsed monotime.Micros) {
	if t.log != nil {
		t.log.Debug("ended", "call", a.ID, "class", a.Class, "engine", a.Engine, "try", a.number, "result", resultNames[result],
			"cost_ms", a.Cost/1000, "ms", elapsed/1000)
	}
}

func (t trace) answered(r *Request, how string, at monotime.Micros) {
	if t.log != nil {
		t.log.Debug("answered", "call", r.ID, "class", r.Class, "tenant", r.Tenant, "how", how, "cost_ms", r.Cost/1000,
			"ms", (at-r.taken)/1000, "tries", len(r.attempts))
	}
}
