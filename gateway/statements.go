package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
	"chutechute/statement"
	"chutechute/statement/estimate"
)

// groupCacheBytes is the size of the cache of statement shapes where statements are read for their table group alone.
const groupCacheBytes = 256 << 10

// microsPerMillisecond converts the milliseconds of package statement.
const microsPerMillisecond = float64(monotime.Millisecond)

// statements reads the statements of calls: always their table groups and, where completesCalls is set, all that
// clients have left out.
type statements struct {
	reader         *statement.Reader
	completesCalls bool
	classes        []scheduler.Class
	served         map[uint64]*Request // in this step, until their LatencyMeasurement has come; by scheduler ID
}

func newStatements(classes []scheduler.Class) (statements, error) {
	reader, err := statement.New(statement.Options{CacheBytes: groupCacheBytes})
	return statements{reader: reader, classes: classes, served: map[uint64]*Request{}}, err
}

// ConfigureStatements lets calls leave out what can be read from their statements, by these options; with nil they
// may not any more. What was learned is kept if statements were read before. The error names the key of an invalid
// option; nothing has changed then.
func (c *Core) ConfigureStatements(o *statement.Options) error {
	if o == nil && !c.statements.completesCalls {
		return nil
	}
	options := statement.Options{CacheBytes: groupCacheBytes}
	if o != nil {
		options = *o
	}
	if err := c.statements.reader.Apply(options); err != nil {
		return err
	}
	c.statements.completesCalls = o != nil
	return nil
}

// StatementCounts returns the counters of the statement reader.
func (c *Core) StatementCounts() statement.Counts { return c.statements.reader.Counts() }

// complete fills in what a call leaves out; class is the index of the class that it names, or noClass. It returns nil
// where only the table group is read.
func (s *statements) complete(call *Call, class int) (*statement.Completion, error) {
	if !s.completesCalls {
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
		completion.NonIdempotent = true // engines could not recognize its repeats
	}
	call.reportedCostMS = float64(call.EstimatedWork) / microsPerMillisecond
	call.reportedMemoryMB = call.MemoryMB
	call.Class = completedClass.Name
	call.TableGroup = completion.TableGroup
	call.EstimatedWork = max(1, monotime.Micros(completion.CostMS*microsPerMillisecond))
	call.MemoryMB = completion.MemoryMB
	return &completion, nil
}

// addServed keeps a served request until the scheduler's measurement of its latency comes.
func (s *statements) addServed(r *Request) {
	if r.completion != nil {
		s.served[r.schedulerID] = r
	}
}

// discardServed ends the wait for measurements, which come in the step after the response or not at all.
func (s *statements) discardServed() { clear(s.served) }

// learn learns the cost of a served request's statement: what its client reported or else an estimate from its latency.
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
