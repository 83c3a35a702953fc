package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
	"chutechute/statement"
	"chutechute/statement/estimate"
)

// groupCacheBytes is the size of the statement shape cache if only the table groups of statements are read.
const groupCacheBytes = 256 << 10

// microsPerMillisecond converts between the milliseconds of package statement and monotime.Micros.
const microsPerMillisecond = float64(monotime.Millisecond)

// statements reads the statements of requests. It always determines the table group and, if completesRequests is set,
// also the values that the client did not report.
type statements struct {
	reader            *statement.Reader
	completesRequests bool
	classes           []scheduler.Class
	served            map[uint64]*Request // in this step, still without LatencyMeasurement; by Request.schedulerID
}

func newStatements(classes []scheduler.Class) (statements, error) {
	reader, err := statement.New(statement.Options{CacheBytes: groupCacheBytes})
	return statements{reader: reader, classes: classes, served: map[uint64]*Request{}}, err
}

// ConfigureStatements sets the options by which values that a request omits are derived from its statement; with nil,
// requests must not omit them. What was learned from statements before is kept. If an option is invalid, nothing
// changes and the error names the option's key.
func (c *Core) ConfigureStatements(o *statement.Options) error {
	if o == nil && !c.statements.completesRequests {
		return nil
	}
	options := statement.Options{CacheBytes: groupCacheBytes}
	if o != nil {
		options = *o
	}
	if err := c.statements.reader.Apply(options); err != nil {
		return err
	}
	c.statements.completesRequests = o != nil
	if o != nil {
		c.updateEffects()
	}
	return nil
}

// updateEffects makes the open requests non-idempotent whose statements are so under new options. An attempt in flight
// goes on; whether another one follows is decided anew.
func (c *Core) updateEffects() {
	for _, r := range c.inOrderOfArrival() {
		if r.finished || r.completion == nil || r.completion.NonIdempotent ||
			!c.statements.reader.IsNonIdempotent(r.completion, r.IdempotencyKey != "") {
			continue
		}
		r.completion.NonIdempotent, r.keepConnection = true, true
		if r.registration != nil {
			r.registration.event.NonIdempotent = true
		}
		if r.waitingEvent != nil {
			r.waitingEvent.NonIdempotent = true
		}
		c.addEvent(scheduler.RequestNonIdempotent{ID: r.schedulerID})
	}
}

// StatementCounts returns the counters of the statement reader.
func (c *Core) StatementCounts() statement.Counts { return c.statements.reader.Counts() }

// complete fills in the values that a request omits. class is the index of the class that the request names, or
// noClass. The result is nil if only the table group is read.
func (s *statements) complete(call *Call, class int) (*statement.Completion, error) {
	if !s.completesRequests {
		call.TableGroup = s.reader.TableGroup(call.Statement)
		return nil, nil
	}
	completion, err := s.reader.Complete(statement.Call{
		Text:     call.Statement,
		Class:    class,
		Keyed:    call.IdempotencyKey != "",
		CostMS:   float64(call.EstimatedWork) / microsPerMillisecond,
		MemoryMB: call.MemoryMB,
	})
	if err != nil {
		return nil, err
	}
	completedClass := &s.classes[completion.Class]
	if call.IdempotencyKey == "" && completedClass.Effect == scheduler.IdempotentByKey {
		completion.NonIdempotent = true // without a key, engines cannot recognize repeats
	}
	call.reportedCostMS = float64(call.EstimatedWork) / microsPerMillisecond
	call.reportedMemoryMB = call.MemoryMB
	call.Class = completedClass.Name
	call.TableGroup = completion.TableGroup
	call.EstimatedWork = max(1, monotime.Micros(completion.CostMS*microsPerMillisecond))
	call.MemoryMB = completion.MemoryMB
	return &completion, nil
}

// addServed keeps a served request until the scheduler reports the measurement of its latency.
func (s *statements) addServed(r *Request) {
	if r.completion != nil {
		s.served[r.schedulerID] = r
	}
}

// discardServed discards the served requests. Their measurements come in the step after the response or not at all.
func (s *statements) discardServed() { clear(s.served) }

// learn records the cost of a served request's statement: the cost that its client reported, or else an estimate from
// the latency.
func (s *statements) learn(m scheduler.LatencyMeasurement, now monotime.Micros) {
	r := s.served[m.ID]
	if r == nil {
		return
	}
	outcome := statement.Outcome{CostMS: r.reportedCostMS, Weight: 1, MemoryMB: r.reportedMemoryMB}
	if outcome.CostMS == 0 {
		threads := s.classes[r.completion.Class].Threads
		latencyMS := float64(m.Elapsed) / microsPerMillisecond
		outcome.CostMS, outcome.Weight, _ = estimate.WorkFromLatency(latencyMS, threads, m.Slowdown)
	}
	s.reader.Learn(r.completion, outcome, now)
}
