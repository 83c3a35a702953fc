package main

import (
	"fmt"
	"time"
)

func init() { cases["cut"] = orderAfterCut }

// cutLength is how long a front end is cut off from the others.
const cutLength = 6 * time.Second

// orderAfterCut: loads with one key are taken by a front end and wait, as an earlier one runs at another. The front end is
// cut off from the others for 6 s, and takes one more load with the key meanwhile. They must run in the order in which
// it took them.
func orderAfterCut(w *world) {
	es := startEngines(w, 6)
	j := startJournal(w, knownEvents)
	fleet := startFleet(w, 3, j, es, map[string]any{"orphan_s": 2})
	other, cut := fleet[0], fleet[1]
	w.log("%s leads the record of loads", other.name)
	type request struct {
		id     string
		row    int
		sent   time.Time
		result chan answer
		answer answer
	}
	const rows = 4
	var keys []string
	var far, near []*client
	for range rows {
		keys = append(keys, newID())
		far, near = append(far, mustDial(w, "far", other.listen)), append(near, mustDial(w, "near", cut.listen))
	}
	time.Sleep(300 * time.Millisecond)
	send := func(c *client, via *frontEnd, row, ms int) *request {
		r := &request{id: newID(), row: row, sent: time.Now()}
		w.log("client of %s: load id=%s row=%d sent", via.name, r.id, row)
		_, r.result = c.call(fmt.Sprintf("INSERT INTO ops_%d.manifest VALUES (1) /* ms=%d */", row, ms),
			load(r.id, newKey(), keys[row], 20*time.Second)...)
		return r
	}
	for row := range rows {
		send(far[row], other, row, 9000)
	}
	time.Sleep(300 * time.Millisecond)
	taken := make([][]*request, rows)
	for range 2 {
		for row := range rows {
			taken[row] = append(taken[row], send(near[row], cut, row, 300))
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.disrupt(fmt.Sprintf("%s is cut off from the other front ends for %s", cut.name, cutLength), func() { w.setCut(cut, true) })
	began := time.Now()
	for row := range rows {
		time.Sleep(time.Second)
		taken[row] = append(taken[row], send(near[row], cut, row, 300))
	}
	time.Sleep(time.Until(began.Add(cutLength)))
	w.setCut(cut, false)
	w.log("the cut is over")
	for _, list := range taken {
		for i, r := range list {
			select {
			case r.answer = <-r.result:
				w.log("client of %s: load id=%s row=%d answered: %s", cut.name, r.id, r.row, r.answer.kind)
			case <-time.After(30 * time.Second):
				giveUp("no answer to %s", r.id)
			}
			for _, earlier := range list[:i] {
				for _, run := range es.of(r.id) {
					if early := earlier.answer.at.Sub(run.at); early > orderSlack {
						w.breach("load %s started on %s %.3f s before %s, sent %.3f s earlier with the same key, was over (%s)",
							r.id, run.engine, early.Seconds(), earlier.id, r.sent.Sub(earlier.sent).Seconds(), earlier.answer.kind)
					}
				}
			}
		}
	}
}
