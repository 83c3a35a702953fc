package main

import (
	"fmt"
	"time"
)

func init() { cases["order"] = orderAcrossClasses }

// orderSlack is by how much each time limit is longer on sockets.
const orderSlack = 50 * time.Millisecond

// orderAcrossClasses: two classes of the site keep order, one with idempotency keys and one that is unsafe to repeat.
// The front end that leads the record of loads is killed. A client then sends another front end a load and, 80 ms later,
// a request of the other class with the same key. The second must not start before the first is over.
func orderAcrossClasses(w *world) {
	es := startEngines(w, 6)
	j := startJournal(w, knownEvents)
	fleet := startFleet(w, 3, j, es, nil)
	leader := fleet[0]
	w.log("%s leads the record of loads", leader.name)
	var offices []*client
	for _, f := range fleet[1:] {
		c := mustDial(w, "office", f.listen)
		if !c.healthy() {
			giveUp("%s is not healthy", f.name)
		}
		offices = append(offices, c)
	}
	w.disrupt("the front end "+leader.name+", which leads the record of loads, is killed", leader.kill)
	time.Sleep(50 * time.Millisecond)

	type request struct {
		id     string
		sent   time.Time
		result chan answer
	}
	sequences := make([][]*request, len(offices))
	send := func(n int, c *client, what, statement string, fields ...string) {
		r := &request{id: newID(), sent: time.Now()}
		w.log("client of %s: %s id=%s sent", fleet[n+1].name, what, r.id)
		_, r.result = c.call(statement, append(fields, "call", r.id, "org", "volta-air", "ttl", "15000", "mb", "16")...)
		sequences[n] = append(sequences[n], r)
	}
	for n, c := range offices {
		row := newID()
		send(n, c, "manifest-load row="+row, "INSERT INTO ops_1.manifest VALUES (1) /* ms=1000 */",
			"op", "manifest-load", "dedupe", newKey(), "row", row, "work", "1000.0")
		time.Sleep(80 * time.Millisecond) // the pages: at least 60 ms between requests of one key
		send(n, c, "seat-release row="+row, "UPDATE ops_1.manifest SET a = 1 /* ms=300 */",
			"op", "seat-release", "row", row, "work", "300.0")
	}
	for n, sequence := range sequences {
		var over time.Time // when the earlier request got its answer
		for i, r := range sequence {
			var a answer
			select {
			case a = <-r.result:
			case <-time.After(20 * time.Second):
				giveUp("no answer to %s", r.id)
			}
			w.log("client of %s: id=%s answered %s %.3f s after it was sent", fleet[n+1].name, r.id, a.kind,
				a.at.Sub(r.sent).Seconds())
			for _, run := range es.of(r.id) {
				if i > 0 && over.Sub(run.at) > orderSlack {
					w.breach("%s", fmt.Sprintf("%s started on %s %.3f s before %s, sent earlier with the same key, was over",
						r.id, run.engine, over.Sub(run.at).Seconds(), sequence[i-1].id))
				}
			}
			over = a.at
		}
	}
}
