package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["effects"] = effectsAfterReload }

// statementRules is an installation that reads statements. A statement that writes is a load by its last rule.
func statementRules(effects ...string) map[string]any {
	return map[string]any{"statement": map[string]any{"enabled": true, "unparsed": "fail", "effects": effects,
		"rules": []any{
			map[string]any{"class": "lookup", "cost_ms": 1000},
			map[string]any{"class": "report"},
			map[string]any{"class": "manifest-load"},
		}}}
}

// effectsAfterReload: clients send bare statements. The operators add a function to those that change something, and
// send SIGHUP. From then on a statement that calls it must not run twice, as it has no key.
func effectsAfterReload(w *world) {
	const function = "issue_boarding_pass"
	es := startEngines(w, 6)
	j := startJournal(w, knownEvents)
	f := newFrontEnd(w, "n1", 1, 0, j, es)
	before := []string{"nextval", "setval"}
	after := append(before, function)
	if w.trouble {
		f.install(statementRules(before...))
	} else {
		f.install(statementRules(after...)) // the same file from the start on
	}
	f.start()
	c := mustDial(w, "kiosk", f.listen)
	send := func(statement string) (string, answer) {
		id := newID()
		w.log("client: id=%s %q sent", id, statement)
		_, result := c.call(statement, "call", id, "org", "volta-air", "ttl", "4000")
		a := <-result
		w.log("client: id=%s answered: %s", id, a.kind)
		return id, a
	}
	if w.trouble {
		send("SELECT " + function + "(7) FROM ops_1.seats /* ms=100 */")
	}
	w.disrupt("a new installation file names "+function+" among the effects, and SIGHUP", func() {
		f.install(statementRules(after...))
		f.signal(syscall.SIGHUP)
		waitFor("the configuration is reloaded", 10*time.Second, func() bool {
			return strings.Contains(f.logText(), "configuration reloaded")
		})
	})
	time.Sleep(2 * time.Second)
	for i := range 3 {
		id, a := send(fmt.Sprintf("SELECT %s(%d) FROM ops_1.seats /* ms=100 fails=first */", function, 8+i))
		began := 0
		for _, r := range es.of(id) {
			if r.began {
				began++
			}
		}
		if began > 1 {
			w.breach("id %s, which calls %s and has no key, ran %d times and was answered %q", id, function, began, a.kind)
		}
	}
}
