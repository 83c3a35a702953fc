// Package simulation simulates a whole fleet in one process and in virtual time. Each front end has the real gateway
// core, scheduler, replica, heartbeats and idempotency client, unchanged. The network, disks, clocks, clients and
// engines are simulated, and one seed determines all of it, the faults that are injected included. What clients and
// engines observe is recorded with its true time, and package history checks it.
//
// Nothing here waits or reads a clock. Events run in the order of their times and, at the same time, in the order
// in which they were scheduled. So a seed gives the same history again, provided that the caller has made the
// randomness of the Raft library a function of the seed too, by testing/cryptotest.
package simulation

import (
	"fmt"
	"math/rand/v2"

	"chutechute/fleet/budget"
	"chutechute/fleet/replication"
	"chutechute/gateway"
	"chutechute/internal/history"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

const (
	ms     = monotime.Millisecond
	second = monotime.Second
)

// maxClockOffset is the most by which the clocks of two front ends differ at the start.
const maxClockOffset = 1000 * second

// zoneCount is the number of zones over which the front ends are spread.
const zoneCount = 3

// Options describe a simulated fleet.
type Options struct {
	// FrontEnds is the number of front ends, all of which are control members.
	FrontEnds int
	// Engines is the number of engines, to which all front ends are connected.
	Engines int
	// DurableDisks lets disks outlive processes, except where a fault empties them. Otherwise a process starts with an
	// empty disk, as where front ends keep their replica in memory.
	DurableDisks bool
	// Replicas is the number of replicas of the fleet's replicated log.
	Replicas int
	// CrashOneIn is the average number of crash points passed for each one at which a front end crashes or pauses;
	// 0 if none does.
	CrashOneIn int
	// MaxClockDrift is the most by which a clock is fast or slow, as a share.
	MaxClockDrift float64
	// Seed determines all randomness except that of the Raft library.
	Seed uint64
	// Mutation is the fault put into the program; nil for the program as it is.
	Mutation *Mutation
	// Budgets are the fleet's; nil if there are none.
	Budgets *budget.Set
	// Settings are the settings of the site, in JSON.
	Settings []byte
}

// Mutation is a fault that is put into the program on purpose, to show that the checks detect it.
type Mutation struct {
	// WrapIdempotencyStore, unless nil, replaces the idempotency store of each front end.
	WrapIdempotencyStore func(gateway.IdempotencyStore) gateway.IdempotencyStore
	// WrapStateMachine, unless nil, replaces the replicated registry of idempotent requests.
	WrapStateMachine func(replication.StateMachine) replication.StateMachine
	// ReuseReplicaID gives an emptied disk the replica ID that it had, so that the replica votes again in terms in
	// which it has voted.
	ReuseReplicaID bool
	// AcknowledgeBeforeSync acknowledges writes before they are on the disk.
	AcknowledgeBeforeSync bool
	// IgnoreStartBy starts attempts after the latest time at which they may start.
	IgnoreStartBy bool
	// NoDuplicateDetection has engines execute an idempotency key again. Their detection of duplicates is no fault, but
	// hides the effect of others.
	NoDuplicateDetection bool
	// TakeOverWithoutWaiting lets the successor of an owner conclude at once that what its engine does not know will
	// never start, although a start may still be on its way.
	TakeOverWithoutWaiting bool
}

// Simulation is one simulated fleet, its clients and its engines. It is not safe for concurrent use.
type Simulation struct {
	eventLoop

	// FrontEnds are all front ends, running or not.
	FrontEnds []*FrontEnd
	// History is what clients and engines observed.
	History history.Recorder
	// FaultLog lists the faults that were injected so far, one a line.
	FaultLog []string

	options      Options
	random       random
	settings     *settings.Settings
	network      network
	engines      []*engine
	lastExecuted map[string]monotime.Micros // when an idempotency key was last executed
	callCount    int
	requestCount int
	healed       bool // no faults are injected any more
}

// New returns a simulated fleet whose front ends start at time 0. It returns an error if the settings are invalid or a
// front end does not start.
func New(options Options) (*Simulation, error) {
	if options.Mutation == nil {
		options.Mutation = &Mutation{}
	}
	site, err := settings.Parse(options.Settings)
	if err != nil {
		return nil, fmt.Errorf("simulation: %w", err)
	}
	site.Gateways = options.FrontEnds
	s := &Simulation{
		options:      options,
		random:       random{rand.New(rand.NewPCG(options.Seed, 1))},
		settings:     site,
		network:      newNetwork(),
		lastExecuted: map[string]monotime.Micros{},
	}
	s.History.Now = func() int64 { return s.now }
	for i := range options.Engines {
		s.engines = append(s.engines, newEngine(s, i))
	}
	for i := range options.FrontEnds {
		s.FrontEnds = append(s.FrontEnds, newFrontEnd(s, i))
	}
	for _, f := range s.FrontEnds {
		f.start()
	}
	return s, s.failure
}

// engine returns the engine of a name, nil if there is none.
func (s *Simulation) engine(name string) *engine {
	for _, e := range s.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// frontEnd returns the front end of a name, nil if there is none.
func (s *Simulation) frontEnd(name string) *FrontEnd {
	for _, f := range s.FrontEnds {
		if f.name == name {
			return f
		}
	}
	return nil
}

// randomFrontEnd draws a front end.
func (s *Simulation) randomFrontEnd() *FrontEnd { return s.FrontEnds[s.random.IntN(len(s.FrontEnds))] }

// PendingRequests returns how many requests the front ends have in their idempotency clients.
func (s *Simulation) PendingRequests() (count int) {
	for _, f := range s.FrontEnds {
		if f.process != nil {
			count += f.process.idempotency.Len()
		}
	}
	return count
}
