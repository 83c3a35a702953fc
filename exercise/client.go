package exercise

import (
	"fmt"

	"chutechute/gateway"
	"chutechute/internal/history"
	"chutechute/internal/monotime"
)

// Try is one load as a client sends it, again and again if it has to.
type Try struct {
	Once, Key, Statement string
	TTL                  monotime.Micros
	Tries                int // left
}

// wait is one try that a client waits for.
type wait struct {
	s    *Sim
	call string
	try  Try
	f    *Front
	done bool
	told func(how string)
}

func (w *wait) tell(how string, body []byte) {
	w.s.after(0, func() { w.s.at("kept", w.f) })
	// The answer crosses the network.
	w.s.after(w.s.between(100, 2*ms), func() { w.end(how, string(body)) })
}

func (w *wait) end(how, body string) {
	if w.done {
		return
	}
	w.done = true
	defer w.s.at("told", w.f)
	w.s.Record.Add(history.Event{What: history.Answered, Front: w.f.Name, Call: w.call, Once: w.try.Once, Key: w.try.Key, Detail: how,
		Body: body})
	w.told(how)
}

// Respond and the others are the front end's answer.
func (w *wait) Respond(rows []byte) { w.tell(history.Answer, append([]byte(nil), rows...)) }

// Reject turns the try away.
func (w *wait) Reject(monotime.Micros) { w.tell(history.Shed, nil) }

// Fail promises nothing.
func (w *wait) Fail() { w.tell(history.Fault, nil) }

// Load sends a try to a front end; told hears how it ended.
func (s *Sim) Load(f *Front, try Try, told func(how string)) {
	s.calls++
	w := &wait{s: s, call: fmt.Sprintf("%016x", s.calls), try: try, f: f, told: told}
	s.Record.Add(history.Event{What: history.Asked, Front: f.Name, Call: w.call, Once: try.Once, Key: try.Key, Body: try.Statement})
	p := f.proc
	if p == nil {
		w.tell(history.Lost, nil)
		return
	}
	var r *gateway.Request
	// Arrivals keep their order: a client's bytes take the same time to one front end.
	s.after(500, func() {
		p.does(func() {
			if w.done {
				return // the client has closed its connection
			}
			var err error
			r, err = p.core.Submit(p.f.local(), &gateway.Call{ID: w.call, Class: "load", Key: try.Key, IdempotencyKey: try.Once, TTL: try.TTL,
				Cost: 10 * ms, Statement: []byte(try.Statement)}, w)
			if err != nil {
				s.fail(err)
			}
			p.turn()
			s.at("taken", f)
		})
	})
	s.after(try.TTL+100*ms, func() { // it waits no longer
		if !w.done {
			w.end(history.Lost, "")
			p.does(func() {
				if r != nil {
					p.core.Cancel(r)
					p.turn()
				}
			})
		}
	})
	var look func()
	look = func() { // a process that ends resets its connections
		if w.done {
			return
		}
		if f.proc != p {
			w.end(history.Lost, "")
			return
		}
		s.after(5*ms, look)
	}
	s.after(5*ms, look)
}

// Insist sends a load, and again through any front end until it is served or has no tries left.
func (s *Sim) Insist(f *Front, try Try) {
	s.Load(f, try, func(how string) {
		if how == history.Answer && !s.chance(4) || try.Tries <= 1 {
			return
		}
		try.Tries--
		next := s.Fronts[s.rng.IntN(len(s.Fronts))]
		s.after(s.between(0, second), func() { s.Insist(next, try) })
		if s.chance(6) { // an impatient one asks two
			again := s.Fronts[s.rng.IntN(len(s.Fronts))]
			once := try
			once.Tries = 1
			s.after(s.between(0, 20*ms), func() { s.Insist(again, once) })
		}
	})
}

// NewLoad is a load that nobody has sent yet, on one of so many keys.
func (s *Sim) NewLoad(keys int) Try {
	s.loads++
	t := Try{Once: fmt.Sprintf("once-%d", s.loads), Statement: fmt.Sprintf("INSERT INTO s_1.t -- ms=%d", s.between(5, 800)),
		TTL: s.between(second, 12*second), Tries: 2 + s.rng.IntN(4)}
	if s.chance(10) {
		t.Statement = fmt.Sprintf("INSERT INTO s_1.t -- ms=%d", s.between(1000, 6000))
	}
	if keys > 0 && !s.chance(4) {
		t.Key = fmt.Sprintf("key-%d", s.rng.IntN(keys))
	}
	return t
}
