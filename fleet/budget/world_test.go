package budget_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"chutechute/fleet/budget"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

const (
	millisecond  = monotime.Millisecond
	second       = monotime.Second
	maxFrontEnds = 5
)

// world simulates the division of budgets in virtual time: replicas of the authority that apply the same commands,
// each at its own time; front ends with clocks of their own that spend as much as they can; and a network that
// loses, delays, duplicates and reorders messages. Any replica may propose due commands, whether it leads or not,
// and however late: safety must not depend on it.
type world struct {
	rng      *rand.Rand
	now      monotime.Micros // true time
	sequence int             // of events
	queue    eventQueue
	defects  defects

	newestSet *budget.Set
	sets      []*budget.Set // all versions
	subjects  int           // how many subjects each budget has; 0 if it has only one

	replicas  []*replica
	log       [][]byte
	proposers []replication.Incarnation // of the log's entries; 0 for due commands
	responses map[int]func([]byte)      // by log position: who gets the response of the first replica that applies it
	epoch     int                       // how many times all replicas have been lost

	frontEnds []*frontEnd
	expenses  []*expense

	network      network
	healed       bool // no more faults
	reports      int  // reports that were proposed
	messageBytes int  // bytes of reports and responses

	// measureApply is called before each command that a replica applies, and returns what is called after it. It may
	// be nil.
	measureApply func() func()
}

// network is the present state of the network.
type network struct {
	lossOneIn     int // one in so many messages is lost; 0 for none
	maxDelay      monotime.Micros
	stragglers    bool // some messages are late by up to 20 s
	duplicates    bool // some reports come twice
	partitioned   map[string]bool
	responseDelay map[string]monotime.Micros // of one front end
}

// defaultMaxDelay is the longest delay of a message in a network without faults.
const defaultMaxDelay = 5 * millisecond

// newWorld returns a world with three replicas and a number of front ends.
func newWorld(seed uint64, set *budget.Set, frontEnds int, d defects) *world {
	w := &world{
		rng:       rand.New(rand.NewPCG(seed, 7)),
		newestSet: set,
		sets:      []*budget.Set{set},
		responses: map[int]func([]byte){},
		defects:   d,
		network: network{
			maxDelay:      defaultMaxDelay,
			partitioned:   map[string]bool{},
			responseDelay: map[string]monotime.Micros{},
		},
	}
	for range 3 {
		w.replicas = append(w.replicas, &replica{world: w, clock: w.newClock(), authority: newAuthority(100)})
	}
	for i := range frontEnds {
		f := &frontEnd{
			world:  w,
			name:   fmt.Sprintf("n%d", i),
			clock:  w.newClock(),
			demand: 5 + 60*w.rng.Float64(),
			set:    set,
		}
		w.frontEnds = append(w.frontEnds, f)
		w.after(w.between(0, second), f.start)
	}
	w.proposeDueCommands()
	return w
}

func newAuthority(maxSubjects int) *budget.Authority {
	return budget.NewAuthority(budget.Options{MaxSubjects: maxSubjects})
}

// setMaxSubjects gives all replicas new authorities with another limit.
func (w *world) setMaxSubjects(maxSubjects int) {
	for _, r := range w.replicas {
		r.authority = newAuthority(maxSubjects)
	}
}

// setDemand sets the demand of each front end, in queries per second.
func (w *world) setDemand(demand float64) {
	for _, f := range w.frontEnds {
		f.demand = demand
	}
}

// totalDemand returns the demand of all front ends, in queries per second.
func (w *world) totalDemand() (total float64) {
	for _, f := range w.frontEnds {
		total += f.demand
	}
	return total
}

// drawSubject draws the subject of the next query.
func (w *world) drawSubject() string {
	if w.subjects == 0 {
		return ""
	}
	return fmt.Sprintf("s-%08x", w.rng.IntN(w.subjects))
}

// clock is a machine's monotonic clock.
type clock struct {
	offset monotime.Micros
	rate   float64
}

// newClock draws a clock that drifts by less than 0.5%, so that two differ by less than 1%.
func (w *world) newClock() clock {
	return clock{w.rng.Int64N(1_000_000) * second, 1 + 0.0045*(2*w.rng.Float64()-1)}
}

// at returns the clock's reading at a true time.
func (c clock) at(t monotime.Micros) monotime.Micros {
	return c.offset + monotime.Micros(float64(t)*c.rate)
}

// between draws a time span.
func (w *world) between(a, b monotime.Micros) monotime.Micros { return a + w.rng.Int64N(max(1, b-a)) }

// event is something that happens at a time.
type event struct {
	at       monotime.Micros
	sequence int
	do       func()
}

// eventQueue is a heap of events, by time and then in the order in which they were added.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

func (w *world) after(span monotime.Micros, do func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + span, w.sequence, do})
}

func (w *world) run(until monotime.Micros) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// drawDelay draws how long a message of a front end takes; ok is false if it is lost.
func (w *world) drawDelay(name string) (delay monotime.Micros, ok bool) {
	n := &w.network
	if n.partitioned[name] || n.lossOneIn > 0 && w.rng.IntN(n.lossOneIn) == 0 {
		return 0, false
	}
	delay = w.between(millisecond/10, n.maxDelay)
	if n.stragglers && w.rng.IntN(20) == 0 {
		delay += w.between(0, 20*second)
	}
	return delay, true
}

// commit appends a command to the log, and has the replicas apply it, each at its own time.
func (w *world) commit(proposer replication.Incarnation, body []byte, respond func([]byte)) {
	w.log, w.proposers = append(w.log, body), append(w.proposers, proposer)
	if respond != nil {
		w.responses[len(w.log)] = respond
	}
	for _, r := range w.replicas {
		w.after(w.between(0, w.network.maxDelay), r.apply)
		if w.rng.IntN(30) == 0 {
			w.after(w.between(0, second), r.apply)
		}
	}
}

// sendNotification notifies the front end of an incarnation, unless the message is lost.
func (w *world) sendNotification(to replication.Incarnation, _ string) {
	for _, f := range w.frontEnds {
		p := f.process
		if p == nil || p.incarnation != to {
			continue
		}
		if delay, ok := w.drawDelay(f.name); ok {
			w.after(delay, func() { p.do(func() { p.leaseHolder.Notify(p.localTime()) }) })
		}
	}
}
