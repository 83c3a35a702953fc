package exercise

import (
	"fmt"

	"chutechute/gateway"
	"chutechute/internal/history"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

const (
	unasked = 2 * second
	window  = 25 * second
	poll    = 250 * ms
)

// engine runs what it is sent until it ends, is deleted, or nobody has asked for it for 2 s. It drops repeats of a key.
type engine struct {
	s    *Sim
	name string
	runs map[string]*run
}

type run struct {
	jobs  []*job // of those who ask after it, the first began it
	asked monotime.Micros
	over  bool
	good  bool
	rows  string
}

// job is an attempt on its way through its calls.
type job struct {
	p       *process
	a       *gateway.Attempt
	e       *engine
	begun   monotime.Micros
	written bool
	arrived bool
	dropped bool
	done    bool
}

// pool is a process's side of its engines.
type pool struct{ p *process }

// Start sends an attempt to its engine, once a connection is up.
func (o pool) Start(a *gateway.Attempt) {
	p := o.p
	s := p.f.s
	var e *engine
	for _, other := range s.engines {
		if other.name == a.Engine {
			e = other
		}
	}
	j := &job{p: p, a: a, e: e, begun: s.now}
	p.jobs[a] = j
	if a.AlreadyRunning {
		j.written = true
		s.after(s.between(200, 3*ms), func() { p.does(j.takeOver) })
		return
	}
	s.after(0, func() { s.at("granted", p.f) })
	dial := s.between(0, 2*ms)
	if s.chance(20) {
		dial = s.between(0, 200*ms)
	}
	s.after(dial, func() { p.does(j.write) })
}

// write is the last moment before the start goes out.
func (j *job) write() {
	if j.done {
		return
	}
	if !j.p.f.s.o.Variant.NoUntil && j.a.StartBy != 0 && j.p.f.local() >= j.a.StartBy {
		j.end(scheduler.NotSent, nil)
		return
	}
	j.written = true
	s := j.p.f.s
	s.after(s.between(200, 3*ms), j.arrive)
}

// arrive is the start's arrival, whatever has become of who sent it.
func (j *job) arrive() {
	s, e := j.p.f.s, j.e
	j.arrived = true
	s.after(s.between(0, ms), func() { s.at("begun", j.p.f) })
	once := j.a.IdempotencyKey
	if last, known := s.seen[once]; known && s.now-last < window && !s.o.Variant.NoWindow {
		s.Record.Add(history.Event{What: history.Repeat, Engine: e.name, Call: j.a.ID, Once: once})
		s.after(s.between(200, 2*ms), func() { j.p.does(func() { j.end(scheduler.Errored, nil) }) })
		return
	}
	s.seen[once] = s.now
	r := &run{jobs: []*job{j}, asked: s.now, rows: fmt.Sprintf("%s\t%s\t%s\n", j.a.ID, once, e.name)}
	e.runs[j.a.ID] = r
	s.Record.Add(history.Event{What: history.Began, Engine: e.name, Call: j.a.ID, Once: once, Key: j.a.Key})
	var span monotime.Micros
	fmt.Sscanf(string(j.a.Statement), "INSERT INTO s_1.t -- ms=%d", &span)
	good := !s.chance(12)
	s.after(span*ms, func() {
		if !r.over {
			e.over(r, history.Ended, good)
		}
	})
	if j.dropped {
		s.after(s.between(200, 2*ms), func() { j.p.does(j.deletes) })
	}
	e.ask(r, j)
	e.watch(r)
}

// takeOver asks after what another front end has started: it is known, or may come yet, or never will.
func (j *job) takeOver() {
	s := j.p.f.s
	if j.done {
		return
	}
	if r := j.e.runs[j.a.ID]; r != nil {
		j.arrived = true
		r.jobs = append(r.jobs, j)
		if j.e.ask(r, j); j.dropped {
			j.deletes()
		}
		return
	}
	if s.now-j.begun >= unasked+poll || s.o.Variant.HastySuccessor {
		j.dropped = true
		j.deletes()
		return
	}
	s.after(poll, func() { j.p.does(j.takeOver) })
}

// asks says whether a front end asks after its query now.
func (j *job) asks() bool { return j.p.f.proc == j.p && !j.p.paused && !j.done }

// ask is one question after a query: it keeps the query alive as long as its front end asks.
func (e *engine) ask(r *run, j *job) {
	s := e.s
	if j.asks() {
		r.asked = s.now
		if r.over {
			s.after(s.between(200, 2*ms), func() { j.p.does(func() { j.answer(r) }) })
			return
		}
	}
	if j.p.f.proc != j.p || j.done {
		return
	}
	s.after(poll, func() { e.ask(r, j) })
}

// watch ends a query that nobody has asked for.
func (e *engine) watch(r *run) {
	switch {
	case r.over:
	case e.s.now-r.asked >= unasked:
		e.over(r, history.Unasked, false)
	default:
		e.s.after(poll, func() { e.watch(r) })
	}
}

func (e *engine) over(r *run, how string, good bool) {
	r.over, r.good = true, good
	first := r.jobs[0]
	e.s.Record.Add(history.Event{What: how, Engine: e.name, Call: first.a.ID, Once: first.a.IdempotencyKey, Key: first.a.Key})
	e.s.after(e.s.between(0, 5*ms), func() { e.s.at("over", first.p.f) })
	if how != history.Ended {
		return
	}
	for _, j := range r.jobs { // a question is out, if anybody asks
		e.s.after(e.s.between(100, poll), func() {
			if j.p.f.proc == j.p && !j.done {
				j.p.does(func() { j.answer(r) })
			}
		})
	}
}

// answer brings a query's end to its front end.
func (j *job) answer(r *run) {
	if r.good {
		j.end(scheduler.Succeeded, []byte(r.rows))
	} else {
		j.end(scheduler.Errored, nil)
	}
}

// GiveUp ends an attempt early.
// Renice does nothing: these engines heed no priorities.
func (o pool) SetPriority(*gateway.Attempt) {}

func (o pool) Cancel(a *gateway.Attempt) {
	j := o.p.jobs[a]
	switch {
	case j == nil || j.dropped:
	case !j.written:
		j.end(scheduler.NotSent, nil)
	default:
		j.dropped = true
		if j.arrived { // a DELETE waits until the start was answered
			j.deletes()
		}
	}
}

func (j *job) deletes() {
	s := j.p.f.s
	s.after(s.between(200, 3*ms), func() {
		if r := j.e.runs[j.a.ID]; r != nil && !r.over {
			j.e.over(r, history.Deleted, false)
		}
		s.after(s.between(200, 2*ms), func() { j.p.does(func() { j.end(scheduler.Canceled, nil) }) })
	})
}

// HealthCheck is answered at once: engines are idle enough.
func (o pool) HealthCheck(name string) {
	o.p.core.HealthCheckEnded(name, scheduler.Succeeded, ms, nil)
}

func (j *job) end(result scheduler.Result, rows []byte) {
	if j.done {
		return
	}
	j.done = true
	delete(j.p.jobs, j.a)
	j.p.core.AttemptEnded(j.p.f.local(), j.a, result, rows, nil)
	j.p.f.s.after(0, func() { j.p.does(j.p.turn) })
}
