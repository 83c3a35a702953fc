package main

import (
	"fmt"
	"time"
)

// Fleet is some front ends that keep a record of loads together.
type Fleet struct {
	run       *Run
	FrontEnds []*FrontEnd
	paths     map[[2]int]*Proxy // from one front end to another
}

// SetCut cuts a front end off from the others, or ends that.
func (f *Fleet) SetCut(i int, cut bool) {
	f.run.Log("front end %s is cut off from the others: %v", f.FrontEnds[i].Name, cut)
	for path, proxy := range f.paths {
		if path[0] == i || path[1] == i {
			proxy.SetCut(cut)
		}
	}
}

// NewFleet starts front ends n1, n2, ... with a fleet section, whose further keys are given, and waits until each serves
// loads.
func (r *Run) NewFleet(count int, journal *Journal, section map[string]any, engines ...*Engine) *Fleet {
	f := &Fleet{run: r, paths: map[[2]int]*Proxy{}}
	addresses := make([]string, count)
	for i := range count {
		addresses[i] = r.FreeAddress()
	}
	for i := range count {
		var members []any
		for j := range count {
			address := addresses[j]
			if i != j {
				f.paths[[2]int{i, j}] = r.NewProxy(address)
				address = f.paths[[2]int{i, j}].Addr
			}
			members = append(members, map[string]any{"name": fmt.Sprintf("n%d", j+1), "address": address,
				"zone": r.Rooms[j%len(r.Rooms)]})
		}
		config := r.Config(fmt.Sprintf("n%d", i+1), r.FreeAddress(), journal.Addr, Settings(count, i), engines...)
		fleet := map[string]any{"enabled": true, "site": "review", "members": members}
		for k, v := range section {
			fleet[k] = v
		}
		f.FrontEnds = append(f.FrontEnds, r.StartFrontEnd(config, map[string]any{"fleet": fleet}))
	}
	for _, n := range f.FrontEnds {
		r.Await(n.Name+" serves no loads", 20*time.Second, func() bool {
			c := n.Dial()
			defer c.Close()
			_, reply := c.Call(r.Load("warm-"+r.NewID(), r.NewKey(), 3*time.Second), "copy ops_1.t from stdin -- warm")
			return (<-reply).Kind == "served"
		})
	}
	r.Log("the fleet serves loads")
	return f
}

// Load returns the fields of a manifest-load.
func (r *Run) Load(row, key string, ttl time.Duration) map[string]string {
	return map[string]string{"op": "manifest-load", "call": r.NewID(), "ttl": fmt.Sprint(ttl.Milliseconds()),
		"org": "volta-air", "dedupe": key, "work": "300", "mb": "64", "row": row}
}

// Warm sends each front end some loads, a few at once, so that it knows how long loads take.
func (f *Fleet) Warm(loads, atOnce int) {
	for _, n := range f.FrontEnds {
		c := n.Dial()
		for range loads / atOnce {
			var replies []chan Reply
			for range atOnce {
				load := f.run.Load("warm-"+f.run.NewID(), f.run.NewKey(), 10*time.Second)
				_, reply := c.Call(load, "copy ops_1.t from stdin -- warm")
				replies = append(replies, reply)
			}
			for _, reply := range replies {
				<-reply
			}
		}
		c.Close()
	}
	f.run.Log("each front end has served %d loads", loads)
}
