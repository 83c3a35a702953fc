package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

func init() { cases["memory"] = (*Run).memory }

// memory: some clients send requests with hardly any time left, and the same again as soon as they are turned away. The
// settings ration further attempts. The front end keeps to its memory.
func (r *Run) memory() {
	const limitMB, duration = 32, 100 * time.Second
	engine := r.NewEngine(1, func(Start) Plan { return Plan{Run: 10 * time.Millisecond, End: EndServed} })
	settings := Settings(1, 0)
	rules := settings["rules"].(map[string]any)
	rules["look_back"], rules["min_extra"], rules["extra_ratio"] = 10, 5, 0.1
	config := r.Config("n1", r.FreeAddress(), r.NewJournal().Addr, settings, engine)
	config["limits"].(map[string]any)["memory_mb"] = limitMB
	f := r.StartFrontEnd(config, nil)
	residentMB := func() (kb int) {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
		r.need(err)
		if _, rest, ok := strings.Cut(string(status), "VmRSS:"); ok {
			fmt.Sscan(rest, &kb)
		}
		return kb >> 10
	}
	var clients []*Client
	for range 8 {
		clients = append(clients, f.Dial())
	}
	if !r.Trouble {
		clients = nil
	}
	good := f.Dial()
	sent, served, next := 0, 0, time.Now()
	for end := time.Now().Add(duration); time.Now().Before(end) && len(r.broken) == 0; {
		var replies []chan Reply
		for _, c := range clients {
			for range 32 {
				_, reply := c.Call(map[string]string{"op": "lookup", "call": r.NewID(), "ttl": "1", "org": "volta-air",
					"work": "100", "mb": "16"}, "select 1 from ops_1.t")
				replies = append(replies, reply)
			}
		}
		for _, reply := range replies {
			<-reply
			sent++
		}
		if !r.Trouble {
			time.Sleep(100 * time.Millisecond)
		}
		if time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(5 * time.Second)
		_, reply := good.Call(map[string]string{"op": "lookup", "call": r.NewID(), "ttl": "4000", "org": "volta-air",
			"work": "10", "mb": "16"}, "select 1 from ops_1.t")
		if (<-reply).Kind == "served" {
			served++
		}
		mb := residentMB()
		r.Log("%d requests turned away, %d of a usual client served, %d MB of %d", sent, served, mb, limitMB)
		if mb > limitMB {
			r.Broken("the front end takes %d MB, over its limit of %d, after %d requests", mb, limitMB, sent)
		}
	}
}
