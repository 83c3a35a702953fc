package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["drain"] = (*Run).drain }

// Leader returns the index of the front end that leads the record.
func (f *Fleet) Leader() int {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			panic(fmt.Errorf("%w: no front end leads the record", errNotRun))
		}
		for _, n := range f.FrontEnds {
			if n.Ended() {
				continue
			}
			cmd := exec.Command(filepath.Join(f.run.Root, "bin/chutechute"), "fleet", "status", "--json", "--installation",
				n.installation, "--name", n.Name)
			cmd.Env = append(os.Environ(), "NODE_CONFIG="+n.configPath)
			out, _ := cmd.Output()
			var status struct{ Leader string }
			if json.Unmarshal(out, &status) == nil {
				for i, other := range f.FrontEnds {
					if other.Name == status.Leader && !other.Ended() {
						return i
					}
				}
			}
		}
	}
}

// drain: the front end that leads the record is killed, and an engine begins to drain. Nothing new is sent to the engine
// more than half a second after that was told.
func (r *Run) drain() {
	plan := func(Start) Plan { return Plan{Run: 400 * time.Millisecond, End: EndServed} }
	e1, e2 := r.NewEngine(1, plan), r.NewEngine(2, plan)
	journal := r.NewJournal()
	fleet := r.NewFleet(3, journal, map[string]any{
		"admin": filepath.Join(r.Dir, "{name}.sock"), "tick_ms": 100}, e1, e2)
	fleet.Warm(48, 4)
	leader := fleet.Leader()
	f := fleet.FrontEnds[(leader+1)%3]
	r.Log("%s leads", fleet.FrontEnds[leader].Name)
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
		fleet.FrontEnds[leader].Signal(syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
	r.Log("engine %s begins to drain", e1.Name)
	told := time.Now()
	journal.Change(e1, 1)
	counts := map[string]int{}
	for _, reply := range replies {
		counts[(<-reply).Kind]++
	}
	r.Log("the loads are answered: %v", counts)
	for _, s := range e1.Starts() {
		if late := s.At.Sub(told); late > 550*time.Millisecond {
			r.Broken("%s was sent to %s %.3f s after it was told that it drains", s.ID, e1.Name, late.Seconds())
		}
	}
}
