package main

import (
	"strings"
	"time"
)

func init() { cases["gone"] = (*Run).gone }

// gone: clients give up loads that wait in an engine's line for memory. When the line's time runs out, nothing may
// begin for a client that has gone.
func (r *Run) gone() {
	const lineTime = time.Second
	sent := map[string]int{} // by id; the engines are sent nothing at once
	plan := func(s Start) Plan {
		if strings.Contains(s.Statement, "warm") {
			return Plan{Run: 200 * time.Millisecond, End: EndServed}
		}
		r.mu.Lock()
		sent[s.ID]++
		first := sent[s.ID] == 1
		r.mu.Unlock()
		if first {
			return Plan{Run: lineTime, End: EndNeverRan}
		}
		return Plan{Run: 300 * time.Millisecond, End: EndServed}
	}
	e1, e2 := r.NewEngine(1, plan), r.NewEngine(2, plan)
	fleet := r.NewFleet(3, r.NewJournal(), nil, e1, e2)
	starts := func(id string) (list []Start) {
		for _, s := range append(e1.Starts(), e2.Starts()...) {
			if s.ID == id {
				list = append(list, s)
			}
		}
		return list
	}
	fleet.Warm(48, 8)
	for i, f := range fleet.FrontEnds {
		load := r.Load("flight-"+r.NewID(), r.NewKey(), 20*time.Second)
		c := f.Dial()
		r.Log("client sends load %s to %s", load["call"], f.Name)
		seq, reply := c.Call(load, "copy ops_1.manifest from stdin")
		r.Await("the load is sent to no engine", 10*time.Second, func() bool { return len(starts(load["call"])) == 1 })
		time.Sleep(300 * time.Millisecond)
		if !r.Trouble {
			got := <-reply
			r.Log("client is answered: %s", got.Kind)
			if got.Kind != "served" {
				r.Broken("load %s was not served", load["call"])
			}
			c.Close()
			continue
		}
		gone := time.Now()
		if i%2 == 0 {
			r.Log("client cancels %s", load["call"])
			c.Cancel(seq)
		} else {
			r.Log("client of %s closes its connection", load["call"])
			c.Close()
		}
		time.Sleep(4 * time.Second)
		for _, s := range starts(load["call"]) {
			// 0.1 s as the page says, and 50 ms on sockets.
			if late := s.At.Sub(gone); late > 150*time.Millisecond {
				r.Broken("an attempt of %s began at %s %.2f s after its client had gone", s.ID, s.Engine, late.Seconds())
			}
		}
	}
}
