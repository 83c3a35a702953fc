package gateway

import (
	"container/heap"

	"chutechute/internal/monotime"
)

// timer is a call at a time.
type timer struct {
	at    monotime.Micros
	n     uint64 // those of one time fire in the order in which they were set
	fire  func()
	place int // in the heap; -1 once it has left
}

func (c *Core) after(at monotime.Micros, fire func()) *timer {
	c.lastTimer++
	t := &timer{at: at, n: c.lastTimer, fire: fire}
	heap.Push(&c.timers, t)
	return t
}

// cancel takes a timer back, and lets go of what it holds: a client may name any time for its request.
func (c *Core) cancel(t *timer) {
	if t != nil && t.place >= 0 {
		heap.Remove(&c.timers, t.place)
	}
}

type timers []*timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].n < t[j].n
}

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}

func (t *timers) Push(x any) {
	x.(*timer).place = len(*t)
	*t = append(*t, x.(*timer))
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	x.place = -1
	(*t)[last] = nil
	*t = (*t)[:last]
	return x
}
