package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["turn"] = orderInLongTurn }

// costlyStatement returns a statement of 62 KB that costs much to read and has a shape of its own.
func costlyStatement(n int) string {
	part := strings.Repeat("(", 90) + "1" + strings.Repeat(")", 90) + "+"
	return fmt.Sprintf("SELECT a%d+", n) + strings.Repeat(part, 340) + "1"
}

// orderInLongTurn: a bad client sends hundreds of requests at once. Meanwhile one client sends a load on one connection
// and, 70 ms later, a load with the same key on another, which also carries look-ups. They must run in this order.
func orderInLongTurn(w *world) {
	const rounds, badClients, costly = 8, 8, 12
	es := startEngines(w, 6)
	j := startJournal(w, knownEvents)
	f := newFrontEnd(w, "n1", 1, 0, j, es)
	f.start()
	first, second := mustDial(w, "first", f.listen), mustDial(w, "second", f.listen)
	lookup := func(c *client) chan answer {
		_, result := c.call("SELECT * FROM ops_1.seats /* ms=30 */", "op", "lookup", "call", newID(), "org", "volta-air",
			"ttl", "5000", "work", "30.0", "mb", "8")
		return result
	}
	<-lookup(first)
	<-lookup(second)
	type pair struct {
		ids     [2]string
		results [2]chan answer
	}
	var pairs []pair
	n := 0
	for range rounds {
		time.Sleep(time.Second)
		w.disrupt("a bad client sends hundreds of requests at once", func() {
			for range badClients {
				bad := mustDial(w, "bad", f.listen)
				var all []byte
				for range costly {
					n++
					_, message := bad.message("call", request(costlyStatement(n), "op", "lookup", "call", newID(), "org",
						"volta-air", "ttl", "100", "work", "100.0", "mb", "8"))
					all = append(all, message...)
				}
				go func() { _, _ = bad.conn.Write(all) }()
			}
			time.Sleep(100 * time.Millisecond)
		})
		var p pair
		row := newID()
		send := func(i int, c *client, name string) {
			p.ids[i] = newID()
			w.log("client: load id=%s row=%s sent on the %s connection", p.ids[i], row, name)
			_, p.results[i] = c.call("INSERT INTO ops_1.manifest VALUES (1) /* ms=200 */",
				load(p.ids[i], newKey(), row, 15*time.Second)...)
		}
		for i := range 6 { // the second connection carries look-ups, too
			if i == 2 {
				send(0, first, "first")
			}
			lookup(second)
			time.Sleep(18 * time.Millisecond)
		}
		send(1, second, "second")
		pairs = append(pairs, p)
	}
	for _, p := range pairs {
		var answers [2]answer
		for i, result := range p.results {
			select {
			case answers[i] = <-result:
				w.log("client: load id=%s answered: %s", p.ids[i], answers[i].kind)
			case <-time.After(20 * time.Second):
				giveUp("no answer to %s", p.ids[i])
			}
		}
		for _, r := range es.of(p.ids[1]) {
			if early := answers[0].at.Sub(r.at); early > orderSlack {
				w.breach("load %s started on %s %.3f s before %s, sent earlier with the same key, was over", p.ids[1], r.engine,
					early.Seconds(), p.ids[0])
			}
		}
	}
}
