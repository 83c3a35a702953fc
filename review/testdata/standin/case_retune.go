package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["retune"] = (*Run).retune }

// retune: a new configuration brings other settings in service: reports may no longer be repeated. From then on a report
// that may have run is not sent again.
func (r *Run) retune() {
	const reports = 5
	var mu sync.Mutex
	may := map[string]string{} // by id: the engine at which the report may have run
	plan := func(s Start) Plan {
		mu.Lock()
		defer mu.Unlock()
		if s.Class != "report" {
			return Plan{Run: 20 * time.Millisecond, End: EndServed}
		}
		if may[s.ID] != "" {
			r.Broken("%s arrived at %s after it may have run at %s", s.ID, s.Engine, may[s.ID])
		}
		may[s.ID] += s.Engine + " "
		return Plan{Run: 300 * time.Millisecond, End: EndError} // it may have run
	}
	var engines []*Engine
	for i := range 3 {
		engines = append(engines, r.NewEngine(i+1, plan))
	}
	settings := func(effect string) map[string]any {
		s := Settings(1, 0)
		s["classes"].([]any)[1].(map[string]any)["repeat"] = effect
		return s
	}
	before := "safe"
	if !r.Trouble {
		before = "unsafe"
	}
	config := r.Config("n1", r.FreeAddress(), r.NewJournal().Addr, settings(before), engines...)
	f := r.StartFrontEnd(config, nil)
	r.Log("the settings say that reports are %s", before)
	c := f.Dial()
	defer c.Close()
	call := func(class, work string) Reply {
		fields := map[string]string{"op": class, "call": r.NewID(), "ttl": "5000", "org": "volta-air", "work": work,
			"mb": "64"}
		r.Log("client sends %s %s", class, fields["call"])
		_, reply := c.Call(fields, "select ops_1.post_charges()")
		got := <-reply
		r.Log("%s is answered: %s %v", fields["call"], got.Kind, got.Fields)
		return got
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if call("lookup", "20").Kind != "served" {
			panic("a lookup is not served")
		}
	}
	if r.Trouble {
		config["settings"] = settings("unsafe")
		r.WriteJSON(f.configPath, config)
		r.Log("a new configuration says that reports are unsafe")
		f.Signal(syscall.SIGHUP)
	}
	time.Sleep(4 * time.Second) // the page gives it 1.2 s
	call("lookup", "20")
	for range reports {
		call("report", "300")
	}
	r.Log("log of %s:\n%s", f.Name, f.log())
}
