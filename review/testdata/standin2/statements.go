package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["statements"] = longStatements }

// longStatements: bad clients send hundreds of requests at once, with statements of 64 KB that cost much to read.
func longStatements(w *world) {
	es := startEngines(w, 6)
	j := startJournal(w, knownEvents)
	f := newFrontEnd(w, "n1", 1, 0, j, es)
	f.start()
	stop := make(chan struct{})
	var usual, bad sync.WaitGroup
	const ttl = 5 * time.Second
	const slack = 500 * time.Millisecond
	var mu sync.Mutex
	late, sent, worst := 0, 0, time.Duration(0)
	for range 4 {
		c := mustDial(w, "counter", f.listen)
		usual.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := newID()
				at := time.Now()
				_, result := c.call("SELECT * FROM ops_1.seats /* ms=150 */", "op", "lookup", "call", id, "org", "volta-air",
					"ttl", fmt.Sprint(ttl.Milliseconds()), "work", "150.0", "mb", "8")
				mu.Lock()
				sent++
				mu.Unlock()
				usual.Go(func() {
					a := <-result
					took := a.at.Sub(at)
					mu.Lock()
					worst = max(worst, took)
					mu.Unlock()
					if took > time.Second || a.kind != "served" {
						w.log("lookup %s: %s after %.3f s", id, a.kind, took.Seconds())
					}
					if took > ttl+slack || a.kind == "closed" {
						mu.Lock()
						late++
						mu.Unlock()
						w.breach("lookup %s: %s after %.3f s", id, a.kind, took.Seconds())
					}
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	w.disrupt("bad clients send hundreds of requests at once", func() {
		for k := range 40 {
			bad.Go(func() {
				c, err := dial(w, "bad", f.listen, nil)
				if err != nil {
					return
				}
				for n := range 30 {
					part := strings.Repeat("(", 90) + "1" + strings.Repeat(")", 90) + "+"
					statement := fmt.Sprintf("SELECT a%d_%d+", k, n) + strings.Repeat(part, 350) + "1"
					_, _, err := c.send("call", request(statement, "op", "lookup", "call", newID(), "org", "volta-air", "ttl", "3000",
						"work", "100.0", "mb", "8"), false)
					if err != nil {
						return
					}
				}
			})
		}
		bad.Wait()
		w.log("bad clients have written all")
	})
	time.Sleep(15 * time.Second)
	close(stop)
	usual.Wait()
	w.log("%d lookups, worst %.3f s, %d lost", sent, worst.Seconds(), late)
}
