package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["drain"] = drainAfterLeader }

// drainLimit is how long after the front ends were told that an engine drains a start may still begin: the rule's 500 ms
// and the 50 ms by which each limit is longer on sockets.
const drainLimit = 550 * time.Millisecond

// drainAfterLeader: under a surge of loads at one front end, the front end that leads the record of loads is killed, and
// half of the engines begin to drain in the same moment. No engine may get new work after its limit.
func drainAfterLeader(w *world) {
	const engineCount, keys = 8, 60
	es := startEngines(w, engineCount)
	j := startJournal(w, knownEvents)
	fleet := startFleet(w, 3, j, es, map[string]any{"tick_ms": 100})
	leader, busy := fleet[0], fleet[1]
	w.log("%s leads the record; %s has the traffic", leader.name, busy.name)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range keys { // each client sends the loads of one key, one after the other
		c := mustDial(w, "office", busy.listen)
		clients.Go(func() {
			row := newID()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(60+n) * time.Millisecond):
				}
				id := newID()
				_, result := c.call(fmt.Sprintf("INSERT INTO ops_%d.manifest VALUES (%d) /* ms=%d */", n%20, i, 900+37*(n%17)),
					load(id, newKey(), row, 20*time.Second)...)
				w.log("client: load id=%s sent", id)
				a := <-result
				w.log("client: load id=%s answered: %s", id, a.kind)
				if a.kind == "closed" {
					return
				}
			}
		})
	}
	time.Sleep(6 * time.Second) // the surge has filled the engines

	told := map[string]time.Time{}
	w.disrupt("the front end "+leader.name+", which leads the record of loads, is killed", leader.kill)
	time.Sleep(150 * time.Millisecond)
	half := es.list[:engineCount/2]
	for _, e := range half {
		e.drain()
	}
	at := j.tell(stateDraining, half...)
	for _, e := range half {
		told[e.uid] = at
	}
	time.Sleep(6 * time.Second)
	close(stop)
	for _, r := range es.all() {
		if at, ok := told[r.engine]; ok && r.at.Sub(at) > drainLimit {
			w.breach("load %s was sent to %s %.3f s after it was told to drain", r.id, r.engine, r.at.Sub(at).Seconds())
		}
	}
	w.log("%d loads were sent in all; front end %s: %d redials", len(es.all()), busy.name,
		strings.Count(busy.logText(), "redial"))
	for _, f := range fleet {
		f.kill()
	}
	clients.Wait()
}
