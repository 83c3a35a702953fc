package main

import "time"

func init() { cases["gone"] = clientGone }

// goneGrace is how long after its client has gone an attempt of a request may still begin.
const goneGrace = 100 * time.Millisecond

// clientGone: a load runs on an engine when its client takes it back. The engine then ends it with an error. No further
// attempt of it may begin.
func clientGone(w *world) {
	es := startEngines(w, 6)
	j := startJournal(w, knownEvents)
	fleet := startFleet(w, 3, j, es, nil)
	for n, f := range fleet {
		c := mustDial(w, "desk", f.listen)
		id := newID()
		seq, result := c.call("INSERT INTO ops_1.manifest VALUES (1) /* ms=1500 fails=first */",
			load(id, newKey(), newID(), 20*time.Second)...)
		w.log("client of %s: load id=%s sent", f.name, id)
		waitFor("the load runs", 10*time.Second, func() bool { return len(es.of(id)) > 0 })
		time.Sleep(500 * time.Millisecond)
		var gone time.Time
		what := "the client of " + f.name + " takes load " + id + " back (cancel)"
		if n == 1 {
			what = "the client of " + f.name + " closes its connection, load " + id + " is open"
		}
		w.disrupt(what, func() {
			if n == 1 {
				c.conn.Close()
			} else {
				c.cancel(seq)
			}
			gone = time.Now()
		})
		select {
		case a := <-result:
			w.log("client of %s: load id=%s answered: %s", f.name, id, a.kind)
		case <-time.After(6 * time.Second):
			w.log("client of %s: load id=%s has no answer", f.name, id)
		}
		if !gone.IsZero() {
			time.Sleep(time.Until(gone.Add(6 * time.Second)))
		}
		for _, r := range es.of(id) {
			if !gone.IsZero() && r.at.Sub(gone) > goneGrace {
				w.breach("an attempt of load %s began on %s %.3f s after its client had gone", id, r.engine,
					r.at.Sub(gone).Seconds())
			}
		}
	}
}
