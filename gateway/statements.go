package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
	"chutechute/statement"
	"chutechute/statement/estimate"
)

// groupCache is how many bytes of shapes are kept where statements are read for their group alone.
const groupCache = 256 << 10

// statements is the core's side of what is read from statements: their groups always and, where complete is
// set, all that their clients have not told.
type statements struct {
	reader   *statement.Reader
	complete bool
	classes  []scheduler.Class
	ended    map[uint64]*Request // served in this step, until their Measure has come
}

func newStatements(classes []scheduler.Class) (statements, error) {
	reader, err := statement.New(statement.Options{CacheBytes: groupCache})
	return statements{reader: reader, classes: classes, ended: map[uint64]*Request{}}, err
}

// ReadStatements lets calls leave out what their statements tell, by these options; nil lets them no longer. What
// was learned is kept where it was on before. An error names the faulty key, and nothing changes.
func (c *Core) ReadStatements(o *statement.Options) error {
	if o == nil && !c.statements.complete {
		return nil
	}
	options := statement.Options{CacheBytes: groupCache}
	if o != nil {
		options = *o
	}
	if err := c.statements.reader.Apply(options); err != nil {
		return err
	}
	c.statements.complete = o != nil
	return nil
}

// StatementCounts is what reading statements has done so far.
func (c *Core) StatementCounts() statement.Counts { return c.statements.reader.Counts() }

// read fills in what a call does not tell. An error is the call's answer.
func (s *statements) read(call *Call, class int, told bool) (*statement.Completion, error) {
	if !s.complete {
		call.Group = s.reader.Group(call.Statement)
		return nil, nil
	}
	c := statement.Call{Text: call.Statement, Class: -1, Keyed: call.IdempotencyKey != "", CostMS: float64(call.Cost) / 1000,
		MemoryMB: call.MemoryMB}
	if told {
		c.Class = class
	}
	done, err := s.reader.Complete(c)
	if err != nil {
		return nil, err
	}
	if call.IdempotencyKey == "" && s.classes[done.Class].Effect == scheduler.IdempotentByKey {
		done.Unsafe = true // engines could not tell its repeats
	}
	call.Class, call.Group = s.classes[done.Class].Name, done.Group
	call.toldCost, call.toldMB = c.CostMS, c.MemoryMB
	call.Cost, call.MemoryMB = max(1, monotime.Micros(done.CostMS*1000)), done.MemoryMB
	return &done, nil
}

// served keeps a request that was served until the module has told what its latency is worth.
func (s *statements) served(r *Request) {
	if r.completion != nil {
		s.ended[r.id] = r
	}
}

// measured learns from a served request: by the figure that its client told, or else by its latency.
func (s *statements) measured(m scheduler.LatencyMeasurement, now monotime.Micros) {
	r := s.ended[m.ID]
	if r == nil {
		return
	}
	o := statement.Outcome{CostMS: r.toldCost, Weight: 1, MemoryMB: r.toldMB}
	if o.CostMS == 0 {
		threads := s.classes[r.completion.Class].Threads
		o.CostMS, o.Weight, _ = estimate.Work(float64(m.Elapsed)/1000, threads, m.Slowdown)
	}
	s.reader.Learn(r.completion, o, now)
}
