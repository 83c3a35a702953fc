package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["effects"] = (*Run).effects }

// effects: a function is added to those whose call changes something, in service. From then on a statement that calls
// it is not sent again once it may have run.
func (r *Run) effects() {
	var mu sync.Mutex
	failing := false // the engine that the next statement comes to is the failing one
	broken := ""     // its name
	ran := map[string][]string{}
	plan := func(s Start) Plan {
		mu.Lock()
		defer mu.Unlock()
		ran[s.ID] = append(ran[s.ID], s.Engine)
		if failing && broken == "" {
			broken = s.Engine
			r.Log("engine %s fails from now on, after it has run what it is sent", broken)
		}
		if s.Engine == broken {
			return Plan{Run: 50 * time.Millisecond, End: EndError}
		}
		return Plan{Run: 50 * time.Millisecond, End: EndServed}
	}
	var engines []*Engine
	for i := range 8 {
		engines = append(engines, r.NewEngine(i+1, plan))
	}
	installation := func(effects ...string) map[string]any {
		return map[string]any{"statement": map[string]any{"enabled": true, "unparsed": "fail", "effects": effects,
			"rules": []any{map[string]any{"class": "lookup"}, map[string]any{"class": "manifest-load"}}}}
	}
	config := r.Config("n1", r.FreeAddress(), r.NewJournal().Addr, Settings(1, 0), engines...)
	before := installation("nextval")
	if !r.Trouble {
		before = installation("nextval", "setval")
	}
	f := r.StartFrontEnd(config, before)
	c := f.Dial()
	defer c.Close()
	call := func(statement string) (id string, got Reply) {
		fields := map[string]string{"call": r.NewID(), "ttl": "4500", "org": "volta-air"}
		r.Log("client sends %s: %s", fields["call"], statement)
		_, reply := c.Call(fields, statement)
		got = <-reply
		r.Log("client is answered: %s %s", got.Kind, got.Body)
		return fields["call"], got
	}
	const statement = "select setval('ops_3.manifest_no', 4711)"
	if r.Trouble { // there is no class for it where setval changes something, but a keyed one
		call(statement)
		r.WriteJSON(f.installation, installation("nextval", "setval"))
		r.Log("setval is added to the functions whose call changes something")
		f.Signal(syscall.SIGHUP)
		r.Await("the reload", 5*time.Second, func() bool { return f.logHas("configuration reloaded") })
		time.Sleep(time.Second)
	}
	mu.Lock()
	failing = true
	mu.Unlock()
	id, _ := call(statement)
	mu.Lock()
	defer mu.Unlock()
	if len(ran[id]) > 1 {
		r.Broken("%s, which changes something, ran at %v", id, ran[id])
	}
}
