package main

import (
	"sync"
	"time"
)

func init() { cases["twice"] = (*Run).twice }

// twice: the connections to an engine that takes no new ones are reset while its queries run. No query may be out
// twice.
func (r *Run) twice() {
	r.twiceAt("drains", func(journal *Journal, e *Engine) { journal.Change(e, 1) })
	r.twiceAt("is at its connection limit", func(*Journal, *Engine) {})
}

// twiceAt plays the case with an engine that takes no new connections for a reason, which tell makes known.
func (r *Run) twiceAt(reason string, tell func(*Journal, *Engine)) {
	var mu sync.Mutex
	var engines []*Engine
	plan := func(s Start) Plan {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range engines {
			if e.Name != s.Engine && e.Out(s.ID) {
				r.Broken("%s arrived at %s while it was out at %s, which %s", s.ID, s.Engine, e.Name, reason)
			}
		}
		return Plan{Run: 3 * time.Second, End: EndServed}
	}
	for i := range 3 {
		e := r.NewEngine(i+1, plan)
		mu.Lock()
		engines = append(engines, e)
		mu.Unlock()
	}
	journal := r.NewJournal()
	f := r.StartFrontEnd(r.Config("n1", r.FreeAddress(), journal.Addr, Settings(1, 0), engines...), nil)
	defer f.end()
	c := f.Dial()
	defer c.Close()
	var replies []chan Reply
	for range 6 {
		fields := map[string]string{"op": "report", "call": r.NewID(), "ttl": "22000", "org": "volta-air", "work": "3000",
			"mb": "64"}
		r.Log("client sends report %s", fields["call"])
		_, reply := c.Call(fields, "select count(*) from ops_1.flights")
		replies = append(replies, reply)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	var busiest *Engine
	for _, e := range engines {
		if busiest == nil || len(e.Starts()) > len(busiest.Starts()) {
			busiest = e
		}
	}
	if len(busiest.Starts()) < 2 {
		panic("no engine runs two queries")
	}
	r.Log("engine %s runs %d queries and %s", busiest.Name, len(busiest.Starts()), reason)
	tell(journal, busiest)
	busiest.StopAccepting()
	time.Sleep(700 * time.Millisecond)
	if r.Trouble {
		busiest.ResetConnections()
	}
	for _, reply := range replies {
		got := <-reply
		r.Log("client is answered: %s", got.Kind)
	}
}
