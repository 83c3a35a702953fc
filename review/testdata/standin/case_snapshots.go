package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["snapshots"] = (*Run).snapshots }

// privateMB returns the memory that belongs to a front end's process alone, without the program's file and what it
// shares with others; 0 once it has ended.
func (f *FrontEnd) privateMB() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb := 0.0
			_, _ = fmt.Sscan(rest, &kb)
			return kb / 1024
		}
	}
	return 0
}

// snapshots: a room with one of three front ends is cut off for 6 s while loads come. All front ends keep to their
// memory, and answer lookups, of which the record knows nothing, in their time.
func (r *Run) snapshots() {
	const (
		limitMB = 192
		cutFor  = 6 * time.Second
		ttl     = 2 * time.Second        // of lookups
		lateBy  = 550 * time.Millisecond // later than that after its time, a request is lost
	)
	row := strings.Repeat("x", 95) + "\t1\t2\n" // 100 bytes
	page := strings.Repeat(row, 60)             // 6,000 bytes
	pages := []string{page, page, page, page, page, page, page, page}
	plan := func(s Start) Plan {
		if s.Class == "lookup" {
			return Plan{Run: 50 * time.Millisecond, End: EndServed}
		}
		return Plan{Run: 100 * time.Millisecond, End: EndServed, Pages: pages}
	}
	var engines []*Engine
	for i := range 3 {
		engines = append(engines, r.NewEngine(i+1, plan))
	}
	r.MemoryMB, r.Rooms = limitMB, []string{"room-a", "room-b", "room-c"}
	fleet := r.NewFleet(3, r.NewJournal(), map[string]any{
		"folder": filepath.Join(r.Dir, "disk-{name}"), "admin": filepath.Join(r.Dir, "{name}.sock"),
	}, engines...)
	leader := fleet.Leader()
	cut := (leader + 1) % len(fleet.FrontEnds)
	r.Log("front end %s leads the record", fleet.FrontEnds[leader].Name)
	var stop atomic.Bool
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	most, lost := map[string]float64{}, map[string]int{}
	for _, f := range fleet.FrontEnds {
		wg.Go(func() {
			for ; !stop.Load(); time.Sleep(10 * time.Millisecond) {
				mb := f.privateMB()
				mu.Lock()
				most[f.Name] = max(most[f.Name], mb)
				mu.Unlock()
			}
		})
		for range 4 {
			wg.Go(func() {
				c := f.Dial()
				defer c.Close()
				for ; !stop.Load(); time.Sleep(100 * time.Millisecond) {
					_, reply := c.Call(r.Load("row-"+r.NewID(), r.NewKey(), 5*time.Second), "copy ops_1.t from stdin")
					kind := (<-reply).Kind
					mu.Lock()
					counts[kind]++
					mu.Unlock()
					if kind == "closed" {
						return
					}
				}
			})
		}
	}
	for _, f := range fleet.FrontEnds {
		wg.Go(func() {
			var asked sync.WaitGroup
			c := f.Dial()
			defer c.Close()
			for ; !stop.Load(); time.Sleep(100 * time.Millisecond) {
				sent, id := time.Now(), r.NewID()
				_, reply := c.Call(map[string]string{"op": "lookup", "call": id, "ttl": fmt.Sprint(ttl.Milliseconds()),
					"org": "volta-air", "work": "50", "mb": "16"}, "select * from ops_1.passengers")
				asked.Go(func() {
					got := <-reply
					took := got.At.Sub(sent)
					if took <= ttl+lateBy {
						return
					}
					r.Log("lookup %s at %s is answered after %.1f s of %.1f: %s", id, f.Name, took.Seconds(), ttl.Seconds(),
						got.Kind)
					mu.Lock()
					lost[f.Name]++
					mu.Unlock()
				})
			}
			asked.Wait()
		})
	}
	report := func(when string) {
		mu.Lock()
		defer mu.Unlock()
		var now []string
		for _, f := range fleet.FrontEnds {
			now = append(now, fmt.Sprintf("%s %.0f (at most %.0f)", f.Name, f.privateMB(), most[f.Name]))
		}
		r.Log("%s: loads %v; MB of its own: %s", when, counts, strings.Join(now, ", "))
	}
	watch := func(when string, span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			report(when)
		}
	}
	watch("before", time.Second)
	if r.Trouble {
		fleet.SetCut(cut, true)
	}
	watch("during the cut", cutFor)
	if r.Trouble {
		fleet.SetCut(cut, false)
	}
	watch("after the cut", 10*time.Second)
	stop.Store(true)
	wg.Wait()
	for _, f := range fleet.FrontEnds {
		if most[f.Name] > limitMB {
			r.Broken("front end %s took %.0f MB of its own, over its limit of %d", f.Name, most[f.Name], limitMB)
		}
		if lost[f.Name] > 0 {
			r.Broken("front end %s answered %d lookups over half a second after their time", f.Name, lost[f.Name])
		}
	}
}
