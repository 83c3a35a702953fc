package main

import (
	"fmt"
	"time"
)

func init() { cases["stuck"] = (*Run).stuck }

// stuck: a front end that holds loads is cut off from the other front ends for 6 s. Afterwards it sends loads again.
func (r *Run) stuck() {
	plan := func(Start) Plan { return Plan{Run: 400 * time.Millisecond, End: EndServed} }
	e1, e2 := r.NewEngine(1, plan), r.NewEngine(2, plan)
	fleet := r.NewFleet(3, r.NewJournal(), map[string]any{"orphan_s": 2}, e1, e2)
	fleet.Warm(48, 4)
	f := fleet.FrontEnds[0]
	c := f.Dial()
	defer c.Close()
	var replies []chan Reply
	for i := range 30 {
		load := r.Load(fmt.Sprintf("flight-%d", i), r.NewKey(), 24*time.Second)
		_, reply := c.Call(load, "copy ops_1.manifest from stdin")
		replies = append(replies, reply)
	}
	r.Log("client sends 30 loads to %s", f.Name)
	time.Sleep(300 * time.Millisecond)
	if r.Trouble {
		fleet.SetCut(0, true)
	}
	time.Sleep(6 * time.Second)
	if r.Trouble {
		fleet.SetCut(0, false)
	}
	counts := map[string]int{}
	for _, reply := range replies {
		counts[(<-reply).Kind]++
	}
	r.Log("the 30 loads are answered: %v", counts)
	time.Sleep(5 * time.Second)
	const rounds = 12
	served := make([]int, len(fleet.FrontEnds))
	for range rounds {
		time.Sleep(2500 * time.Millisecond) // longer than any pushback
		for i, f := range fleet.FrontEnds {
			c := f.Dial()
			_, reply := c.Call(r.Load("flight-"+r.NewID(), r.NewKey(), 8*time.Second), "copy ops_1.manifest from stdin")
			got := <-reply
			r.Log("a new load through %s is answered: %s %v", f.Name, got.Kind, got.Fields)
			if got.Kind == "served" {
				served[i]++
			}
			c.Close()
		}
	}
	for i, f := range fleet.FrontEnds {
		if served[i] == 0 {
			r.Broken("%s has sent none of %d loads since the cut, with idle engines", f.Name, rounds)
		}
	}
	r.Log("loads served after the cut: %v of %d each", served, rounds)
}
