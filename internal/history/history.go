// Package history is what clients and engines of a fleet saw, in true time, and the checks of what was promised to them. The
// checks read nothing else: no counter, log or state of a front end. The same run over processes and over virtual time.
package history

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// What is seen.
const (
	Asked    = "asked"    // a client's request has left it whole
	Answered = "answered" // Detail: Answer, Shed, Fault or Lost
	Began    = "began"    // an engine runs a query
	Repeat   = "repeat"   // an engine dropped a start, as it has run that key of late
	Ended    = "ended"    // a query is over by itself
	Deleted  = "deleted"  // a query is over as it was told to be
	Unasked  = "unasked"  // a query is over as nobody asked for it
)

// How a try ends.
const (
	Answer = "answer"
	Shed   = "shed"
	Fault  = "fault"
	Lost   = "lost" // its connection
)

// Event is one thing that a client or an engine saw.
type Event struct {
	At     int64 // microseconds of true time
	What   string
	Front  string // that a client asked
	Engine string
	Call   string
	Once   string
	Key    string
	Detail string
	Body   string
}

func (e Event) String() string {
	return fmt.Sprintf("%10.6f %-8s front=%-3s engine=%s call=%s once=%s key=%s %s %.60q", float64(e.At)/1e6, e.What, e.Front,
		e.Engine, e.Call, e.Once, e.Key, e.Detail, e.Body)
}

// Record gathers events in the order of their times.
type Record struct {
	// Now is the true time.
	Now  func() int64
	mu   sync.Mutex
	list []Event
}

// Add notes an event as of now.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.Now()
	r.list = append(r.list, e)
}

// Events is all so far.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// Breach is one rule that does not hold, with the events that show it.
type Breach struct {
	Rule   string
	Events []Event
}

func (b Breach) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%s:", b.Rule)
	for _, e := range b.Events {
		fmt.Fprintf(&s, "\n  %s", e)
	}
	return s.String()
}

// Run is one execution on an engine.
type Run struct {
	Began Event
	Over  Event // zero while it runs
}

func (r Run) over() int64 {
	if r.Over.What == "" {
		return 1 << 62
	}
	return r.Over.At
}

// Runs are all executions, in order of their beginning.
func Runs(events []Event) (list []Run) {
	type id struct{ engine, call string }
	open := map[id]int{}
	for _, e := range events {
		at := id{e.Engine, e.Call}
		switch e.What {
		case Began:
			open[at] = len(list)
			list = append(list, Run{Began: e})
		case Ended, Deleted, Unasked:
			if i, ok := open[at]; ok {
				list[i].Over = e
				delete(open, at)
			}
		}
	}
	return list
}

// Check gives all breaches of what is promised of keyed loads. What has no idempotency key is none.
func Check(events []Event) (list []Breach) {
	events = slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.Once == "" })
	runs := Runs(events)
	asked := map[string]Event{} // by call
	for _, e := range events {
		if e.What == Asked {
			asked[e.Call] = e
		}
	}
	for _, check := range []func([]Event, []Run, map[string]Event) []Breach{overlap, afterOutcome, oneOutcome, found, refused, lines} {
		list = append(list, check(events, runs, asked)...)
	}
	return list
}

// overlap: no two attempts of one load run at once.
func overlap(_ []Event, runs []Run, _ map[string]Event) (list []Breach) {
	last := map[string]Run{}
	for _, r := range runs {
		if before, ok := last[r.Began.Once]; ok && before.over() > r.Began.At {
			list = append(list, Breach{"two attempts of a load at once", []Event{before.Began, r.Began, before.Over}})
		}
		last[r.Began.Once] = r
	}
	return list
}

// afterOutcome: nothing of a load begins once a client was told its rows.
func afterOutcome(events []Event, runs []Run, _ map[string]Event) (list []Breach) {
	told := map[string]Event{}
	for _, e := range events {
		if _, known := told[e.Once]; e.What == Answered && e.Detail == Answer && !known {
			told[e.Once] = e
		}
	}
	for _, r := range runs {
		if t, ok := told[r.Began.Once]; ok && r.Began.At > t.At {
			list = append(list, Breach{"an attempt after the outcome was told", []Event{t, r.Began}})
		}
	}
	return list
}

// oneOutcome: all who are told a load's rows are told the same, and some run of it gave them before.
func oneOutcome(events []Event, runs []Run, _ map[string]Event) (list []Breach) {
	first := map[string]Event{}
	gave := map[string][]Event{}
	for _, r := range runs {
		if r.Over.What == Ended {
			gave[r.Began.Once] = append(gave[r.Began.Once], r.Over)
		}
	}
	for _, e := range events {
		if e.What != Answered || e.Detail != Answer {
			continue
		}
		before, ok := first[e.Once]
		if !ok {
			first[e.Once] = e
			if !slices.ContainsFunc(gave[e.Once], func(g Event) bool { return g.At <= e.At && strings.HasPrefix(e.Body, g.Call) }) {
				list = append(list, Breach{"rows that no engine gave", []Event{e}})
			}
		} else if before.Body != e.Body {
			list = append(list, Breach{"two outcomes of a load", []Event{before, e}})
		}
	}
	return list
}

// keeps is how long at least an outcome can be found, in microseconds.
const keeps = 50_000_000

// found: who asks for a load whose rows were told is told them too, or is turned away for now, but never that it may have run.
func found(events []Event, _ []Run, asked map[string]Event) (list []Breach) {
	told := map[string]Event{}
	for _, e := range events {
		if e.What != Answered {
			continue
		}
		t, known := told[e.Once]
		switch {
		case e.Detail == Answer && !known:
			told[e.Once] = e
		case e.Detail == Fault && known && asked[e.Call].At > t.At && e.At < t.At+keeps:
			list = append(list, Breach{"what was told can't be found", []Event{t, asked[e.Call], e}})
		}
	}
	return list
}

// refused: of a call that was refused nothing ever reaches an engine.
func refused(events []Event, runs []Run, _ map[string]Event) (list []Breach) {
	shed := map[string]Event{}
	for _, e := range events {
		if e.What == Answered && e.Detail == Shed {
			shed[e.Call] = e
		}
	}
	for _, r := range runs {
		if s, ok := shed[r.Began.Call]; ok {
			list = append(list, Breach{"a refused call ran", []Event{s, r.Began}})
		}
	}
	return list
}

// lines: of one key one load runs at a time, wherever it was taken; and what one front end took runs in the order in which it
// took it. A repeat takes the place that its load has, so that is asked of first tries.
func lines(_ []Event, runs []Run, asked map[string]Event) (list []Breach) {
	first := map[string]Event{}
	for _, a := range asked {
		if f, ok := first[a.Once]; !ok || a.At < f.At || a.At == f.At && a.Call < f.Call {
			first[a.Once] = a
		}
	}
	byKey := map[string][]Run{}
	for _, r := range runs {
		if a, ok := asked[r.Began.Call]; ok && a.Key != "" {
			byKey[a.Key] = append(byKey[a.Key], r)
		}
	}
	for _, key := range sortedKeys(byKey) {
		line := byKey[key]
		for i, r := range line {
			for _, later := range line[i+1:] {
				if r.over() > later.Began.At && r.Began.Once != later.Began.Once {
					list = append(list, Breach{"two loads of a key at once", []Event{r.Began, later.Began, r.Over}})
				}
				a, b := asked[r.Began.Call], asked[later.Began.Call]
				if a.Front == b.Front && b.At < a.At && a.Once != b.Once && first[a.Once] == a && first[b.Once] == b {
					list = append(list, Breach{"loads of a key out of the order in which one front end took them",
						[]Event{b, a, r.Began, later.Began}})
				}
			}
		}
	}
	return list
}

func sortedKeys[V any](m map[string]V) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Around is the events next to a breach's, for a person to read.
func Around(events []Event, b Breach, n int) (list []Event) {
	onces := map[string]bool{}
	keys := map[string]bool{}
	for _, e := range b.Events {
		onces[e.Once] = true
		if e.Key != "" {
			keys[e.Key] = true
		}
	}
	for _, e := range events {
		if onces[e.Once] || keys[e.Key] {
			list = append(list, e)
		}
	}
	return list[max(0, len(list)-n):]
}
