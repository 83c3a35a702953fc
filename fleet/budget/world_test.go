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

// simulation simulates the division of budgets in virtual time: replicas of the authority that apply the same commands,
// each at its own time; front ends that have their own clocks and spend as much as they can; and a network that loses,
// delays, duplicates and reorders messages. Any replica may propose due commands, whether it is the leader or not, and
// arbitrarily late, as safety must not depend on this.
type simulation struct {
	rng       *rand.Rand
	now       monotime.Micros // true time
	sequence  int             // of the last event that was scheduled
	queue     eventQueue
	mutations mutations

	newestSet *budget.Set
	sets      []*budget.Set // all versions of the settings
	subjects  int           // number of subjects of each budget; 0 for a single one without a name

	replicas  []*replica
	log       [][]byte
	proposers []replication.Incarnation // of the log entries; 0 for due commands
	responses map[int]func([]byte)      // by log index: handles the response of the first replica that applies the entry
	epoch     int                       // number of times that all replicas were lost

	frontEnds []*frontEnd
	expenses  []*expense

	network      network
	faultsEnded  bool // faults are no longer injected
	reports      int  // number of proposed reports
	messageBytes int  // size of all reports and responses

	// measureApply is called before a replica applies a command, and returns a function to call afterwards. It may be
	// nil.
	measureApply func() func()
}

// network is the current state of the network.
type network struct {
	lossOneIn     int // one of this many messages is lost; 0 for none
	maxDelay      monotime.Micros
	stragglers    bool // some messages are delayed by up to 20 s
	duplicates    bool // some reports are sent twice
	partitioned   map[string]bool
	responseDelay map[string]monotime.Micros // additional delay of responses, by front end
}

// defaultMaxDelay is the maximum delay of a message in a network without faults.
const defaultMaxDelay = 5 * millisecond

// newSimulation returns a simulation with three replicas and a number of front ends.
func newSimulation(seed uint64, set *budget.Set, frontEnds int, m mutations) *simulation {
	s := &simulation{
		rng:       rand.New(rand.NewPCG(seed, 7)),
		newestSet: set,
		sets:      []*budget.Set{set},
		responses: map[int]func([]byte){},
		mutations: m,
		network: network{
			maxDelay:      defaultMaxDelay,
			partitioned:   map[string]bool{},
			responseDelay: map[string]monotime.Micros{},
		},
	}
	for range 3 {
		s.replicas = append(s.replicas, &replica{simulation: s, clock: s.newClock(), authority: newAuthority(100)})
	}
	for i := range frontEnds {
		f := &frontEnd{
			simulation: s,
			name:       fmt.Sprintf("n%d", i),
			clock:      s.newClock(),
			demand:     5 + 60*s.rng.Float64(),
			set:        set,
		}
		s.frontEnds = append(s.frontEnds, f)
		s.after(s.randomBetween(0, second), f.start)
	}
	s.proposeDueCommands()
	return s
}

func newAuthority(maxSubjects int) *budget.Authority {
	return budget.NewAuthority(budget.Options{MaxSubjects: maxSubjects})
}

// setMaxSubjects replaces the authorities of all replicas by new ones with another limit on subjects.
func (s *simulation) setMaxSubjects(maxSubjects int) {
	for _, r := range s.replicas {
		r.authority = newAuthority(maxSubjects)
	}
}

// setDemand sets the demand of each front end, in queries per second.
func (s *simulation) setDemand(demand float64) {
	for _, f := range s.frontEnds {
		f.demand = demand
	}
}

// totalDemand returns the demand of all front ends, in queries per second.
func (s *simulation) totalDemand() (total float64) {
	for _, f := range s.frontEnds {
		total += f.demand
	}
	return total
}

// randomSubject returns a random subject for a query.
func (s *simulation) randomSubject() string {
	if s.subjects == 0 {
		return ""
	}
	return fmt.Sprintf("s-%08x", s.rng.IntN(s.subjects))
}

// clock is a machine's monotonic clock.
type clock struct {
	offset monotime.Micros
	rate   float64
}

// newClock returns a clock with a random offset and a random drift of less than 0.5%, so that two clocks drift apart by
// less than 1%.
func (s *simulation) newClock() clock {
	return clock{s.rng.Int64N(1_000_000) * second, 1 + 0.0045*(2*s.rng.Float64()-1)}
}

// at returns the time of the clock at a true time.
func (c clock) at(t monotime.Micros) monotime.Micros {
	return c.offset + monotime.Micros(float64(t)*c.rate)
}

// randomBetween returns a random time span of at least a and, unless they are equal, less than b.
func (s *simulation) randomBetween(a, b monotime.Micros) monotime.Micros {
	return a + s.rng.Int64N(max(1, b-a))
}

// event is an action that is scheduled for a time.
type event struct {
	at       monotime.Micros
	sequence int
	action   func()
}

// eventQueue is a heap of events, ordered by time and then by the order in which they were scheduled.
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

func (s *simulation) after(span monotime.Micros, action func()) {
	s.sequence++
	heap.Push(&s.queue, event{s.now + span, s.sequence, action})
}

func (s *simulation) run(until monotime.Micros) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.action()
	}
	s.now = until
}

// randomDelay returns a random delay for a message from or to a front end. ok is false if the message is lost.
func (s *simulation) randomDelay(name string) (delay monotime.Micros, ok bool) {
	n := &s.network
	if n.partitioned[name] || n.lossOneIn > 0 && s.rng.IntN(n.lossOneIn) == 0 {
		return 0, false
	}
	delay = s.randomBetween(millisecond/10, n.maxDelay)
	if n.stragglers && s.rng.IntN(20) == 0 {
		delay += s.randomBetween(0, 20*second)
	}
	return delay, true
}

// commit appends a command to the log and schedules its application at the replicas, for each at its own time.
func (s *simulation) commit(proposer replication.Incarnation, body []byte, respond func([]byte)) {
	s.log, s.proposers = append(s.log, body), append(s.proposers, proposer)
	if respond != nil {
		s.responses[len(s.log)] = respond
	}
	for _, r := range s.replicas {
		s.after(s.randomBetween(0, s.network.maxDelay), r.apply)
		if s.rng.IntN(30) == 0 {
			s.after(s.randomBetween(0, second), r.apply)
		}
	}
}

// sendNotification notifies the front end of an incarnation, unless the message is lost.
func (s *simulation) sendNotification(to replication.Incarnation, _ string) {
	for _, f := range s.frontEnds {
		p := f.process
		if p == nil || p.incarnation != to {
			continue
		}
		if delay, ok := s.randomDelay(f.name); ok {
			s.after(delay, func() { p.execute(func() { p.leaseHolder.Notify(p.localTime()) }) })
		}
	}
}
