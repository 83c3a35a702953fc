package main

import (
	"sync"
	"time"
)

func init() { cases["late"] = (*Run).late }

// late: a room is cut off for 6 s. What was on the way to its engines arrives when the cut ends. No query may be out
// twice.
func (r *Run) late() {
	const cutFor = 6 * time.Second
	var mu sync.Mutex
	var engines []*Engine
	var networks []*Network // to the engines of room-b
	plan := func(s Start) Plan {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range engines {
			if e.Name != s.Engine && e.Out(s.ID) {
				r.Broken("%s arrived at %s while it was out at %s", s.ID, s.Engine, e.Name)
			}
		}
		if s.Class == "report" {
			return Plan{Run: 4 * time.Second, End: EndServed}
		}
		return Plan{Run: 100 * time.Millisecond, End: EndServed}
	}
	for i := range 4 {
		e := r.NewEngine(i+1, plan)
		if i%2 == 1 {
			network := r.NewNetwork(e.Addr)
			e.Zone, e.Addr = "room-b", network.Addr
			networks = append(networks, network)
		}
		mu.Lock()
		engines = append(engines, e)
		mu.Unlock()
	}
	f := r.StartFrontEnd(r.Config("n1", r.FreeAddress(), r.NewJournal().Addr, Settings(1, 0), engines...), nil)
	var clients []*Client
	for range 3 {
		c := f.Dial()
		defer c.Close()
		clients = append(clients, c)
	}
	sent := 0
	send := func(class, ttl, work string) chan Reply {
		sent++
		fields := map[string]string{"op": class, "call": r.NewID(), "ttl": ttl, "org": "volta-air", "work": work, "mb": "64"}
		r.Log("client sends %s %s", class, fields["call"])
		_, reply := clients[sent%len(clients)].Call(fields, "select count(*) from ops_1.flights")
		return reply
	}
	// Usual traffic for 2 s.
	var replies []chan Reply
	for range 100 {
		replies = append(replies, send("lookup", "5000", "100"))
		time.Sleep(20 * time.Millisecond)
	}
	for _, reply := range replies {
		<-reply
	}
	r.Log("the lookups are answered")
	if r.Trouble {
		for _, network := range networks {
			network.Cut()
		}
		r.Log("room-b is cut off")
	}
	cutAt := time.Now()
	replies = nil
	for range 12 {
		replies = append(replies, send("report", "24000", "4000"))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	if r.Trouble {
		for _, network := range networks {
			network.Heal()
		}
		r.Log("room-b is back")
	}
	counts := map[string]int{}
	for _, reply := range replies {
		counts[(<-reply).Kind]++
	}
	r.Log("reports: %v", counts)
	time.Sleep(2 * time.Second)
}
