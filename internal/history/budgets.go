package history

import (
	"container/heap"
	"fmt"
	"slices"
)

// A budget's checks take as spent what engines saw begin. The front end spends a while before the engine sees that, and after the
// client has asked: a check finds a breach only where no times of spending within those bounds keep the rule.

// Spending is one thing that was spent.
type Spending struct {
	Event Event // the beginning that engines saw
	From  int64 // it was spent no earlier
	Units float64
}

// Spendings is what engines saw begin that counts towards a budget; units tells how much each is, none for what does not
// count. Within is how long before an engine saw it a thing may have been spent, in microseconds.
func Spendings(events []Event, within int64, units func(Event) float64) (list []Spending) {
	asked := map[string]int64{}
	for _, e := range events {
		switch e.What {
		case Asked:
			asked[e.Call] = e.At
		case Began:
			if n := units(e); n > 0 {
				list = append(list, Spending{e, max(asked[e.Call], e.At-within), n})
			}
		}
	}
	return list
}

type byEnd []Spending

func (q byEnd) Len() int           { return len(q) }
func (q byEnd) Less(i, j int) bool { return q[i].Event.At < q[j].Event.At }
func (q byEnd) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *byEnd) Push(x any)        { *q = append(*q, x.(Spending)) }
func (q *byEnd) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// CheckRate finds out whether all could have been spent by a bucket of so many units that fills at a rate a second: what must
// have been spent first goes first, as soon as there are tokens, which no other order beats.
func CheckRate(list []Spending, rate, burst float64) (breaches []Breach) {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b Spending) int { return int(a.From - b.From) })
	tokens, at := burst, int64(0)
	advance := func(t int64) {
		tokens = min(burst, tokens+rate*float64(t-at)/1e6)
		at = t
	}
	var open byEnd
	for i := 0; i < len(list) || len(open) > 0; {
		if len(open) == 0 {
			advance(max(at, list[i].From))
		}
		for i < len(list) && list[i].From <= at {
			heap.Push(&open, list[i])
			i++
		}
		s := open[0]
		if tokens >= s.Units-1e-9 {
			heap.Pop(&open)
			tokens -= s.Units
			if at > s.Event.At+1 {
				breaches = append(breaches, Breach{fmt.Sprintf("more than %g a second with a burst of %g: %.0f ms too early", rate, burst,
					float64(at-s.Event.At)/1000), []Event{s.Event}})
				tokens, at = burst, s.Event.At // begin anew behind it
			}
			continue
		}
		t := at + int64((s.Units-tokens)/rate*1e6) + 1
		if i < len(list) && list[i].From < t {
			t = list[i].From
		}
		advance(max(t, at+1))
	}
	return breaches
}

// CheckPlaces finds the instants at which more units ran at engines than there are places.
func CheckPlaces(events []Event, places float64, units func(Event) float64) (breaches []Breach, most float64) {
	type edge struct {
		at    int64
		n     float64
		event Event
	}
	var edges []edge
	for _, r := range Runs(events) {
		if n := units(r.Began); n > 0 {
			edges = append(edges, edge{r.Began.At, n, r.Began}, edge{r.over(), -n, r.Over})
		}
	}
	slices.SortStableFunc(edges, func(a, b edge) int {
		if a.at != b.at {
			return int(min(1, max(-1, a.at-b.at)))
		}
		return int(min(1, max(-1, a.n-b.n))) // what ends at one instant ends first
	})
	sum := 0.0
	for _, e := range edges {
		sum += e.n
		most = max(most, sum)
		if e.n > 0 && sum > places {
			breaches = append(breaches, Breach{fmt.Sprintf("%g at a time where there are %g places", sum, places), []Event{e.event}})
		}
	}
	return breaches, most
}

// CheckWindow finds the windows in which more was spent than the total, whenever within its bounds each was.
func CheckWindow(list []Spending, total float64, window int64) (breaches []Breach) {
	for i, first := range list {
		sum, from := 0.0, first.From
		for _, s := range list[i:] {
			from = min(from, s.From)
			if s.Event.At-from >= window { // they may lie a window apart
				break
			}
			sum += s.Units
		}
		if sum > total+1e-9 {
			breaches = append(breaches, Breach{fmt.Sprintf("%g within a window where the total is %g", sum, total), []Event{first.Event}})
		}
	}
	return breaches
}
