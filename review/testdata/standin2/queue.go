package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["queue"] = longQueue }

// longQueue: bad clients send loads by the hundred, each with a key of its own, which wait in the front end's queue.
// Look-ups of usual clients must get their answers in time.
func longQueue(w *world) {
	const badClients, each = 120, 30
	es := startEngines(w, 6)
	j := startJournal(w, knownEvents)
	f := newFrontEnd(w, "n1", 1, 0, j, es)
	f.start()
	const ttl, slack = 5 * time.Second, 500 * time.Millisecond
	var mu sync.Mutex
	var worst time.Duration
	sent := 0
	usual := mustDial(w, "counter", f.listen)
	var waiting sync.WaitGroup
	stop := time.Now().Add(25 * time.Second)
	ended := make(chan bool)
	go func() {
		for time.Now().Before(stop) {
			id, at := newID(), time.Now()
			_, result := usual.call("SELECT * FROM ops_1.seats /* ms=100 */", "op", "lookup", "call", id, "org", "volta-air",
				"ttl", fmt.Sprint(ttl.Milliseconds()), "work", "100.0", "mb", "8")
			sent++
			waiting.Go(func() {
				a := <-result
				took := a.at.Sub(at)
				mu.Lock()
				worst = max(worst, took)
				mu.Unlock()
				w.log("lookup %s: %s after %.3f s", id, a.kind, took.Seconds())
				if took > ttl+slack || a.kind == "closed" {
					w.breach("lookup %s: %s after %.3f s", id, a.kind, took.Seconds())
				}
			})
			time.Sleep(200 * time.Millisecond)
		}
		close(ended)
	}()
	time.Sleep(2 * time.Second)
	w.disrupt("bad clients send loads by the hundred", func() {
		for n := range badClients {
			bad := mustDial(w, "bad", f.listen)
			var all []byte
			for i := range each {
				_, message := bad.message("call", request(fmt.Sprintf("INSERT INTO ops_%d.manifest VALUES (%d) /* ms=2500 */", n%20, i),
					load(newID(), newKey(), newID(), 20*time.Second)...))
				all = append(all, message...)
			}
			go func() { _, _ = bad.conn.Write(all) }()
		}
	})
	<-ended
	waiting.Wait()
	w.log("%d lookups, worst %.3f s", sent, worst.Seconds())
}
