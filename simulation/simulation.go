// Package simulation simulates a whole fleet in one process and in virtual time. Each front end runs the real gateway
// core, scheduler, replica, heartbeats and idempotency client, unchanged. The network, disks, clocks, clients and
// engines are simulated, and one seed determines all of their behavior, including the injected faults. What clients
// and engines observe is recorded with its true time, and package history checks it.
//
// The simulation never sleeps and reads no real clock. Events run in order of time; events at the same time run in the
// order in which they were scheduled. So a seed always gives the same history, provided that the caller also seeds the
// randomness of the Raft library, with testing/cryptotest.
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

// zoneCount is the number of zones, to which the front ends are assigned in turn.
const zoneCount = 3

// Options describe a simulated fleet.
type Options struct {
	// FrontEnds is the number of front ends, all of which are control members.
	FrontEnds int
	// Engines is the number of engines. All front ends use all of them.
	Engines int
	// DurableDisks preserves disks when a process ends, except where a fault empties them. Otherwise every process
	// starts with an empty disk, like a front end that keeps its replica in memory.
	DurableDisks bool
	// Replicas is the number of replicas of the fleet's replicated log.
	Replicas int
	// CrashOneIn sets the probability, 1/CrashOneIn, with which a front end crashes or pauses at a crash point, unless
	// the replicated log would not survive that. 0 disables these faults.
	CrashOneIn int
	// MaxClockDrift is the largest deviation of a clock's rate from true time, as a fraction.
	MaxClockDrift float64
	// Seed determines all randomness except that of the Raft library.
	Seed uint64
	// Mutation is a deliberate defect of the program; nil for the unchanged program.
	Mutation *Mutation
	// Budgets are the budgets of the fleet; nil for none.
	Budgets *budget.Set
	// Settings are the settings of the site, in JSON.
	Settings []byte
}

// Mutation is a deliberate defect of the program, which the checks have to detect.
type Mutation struct {
	// WrapIdempotencyStore, unless nil, returns a replacement for the idempotency store of each front end.
	WrapIdempotencyStore func(gateway.IdempotencyStore) gateway.IdempotencyStore
	// WrapStateMachine, unless nil, returns a replacement for each replica of the registry of idempotent requests.
	WrapStateMachine func(replication.StateMachine) replication.StateMachine
	// ReuseReplicaID keeps the replica ID of a disk that is emptied, so that the replica may vote twice in a term.
	ReuseReplicaID bool
	// AcknowledgeBeforeSync acknowledges writes before they are on the disk.
	AcknowledgeBeforeSync bool
	// IgnoreStartBy sends the start of an attempt even after gateway.Attempt.StartBy.
	IgnoreStartBy bool
	// NoDuplicateDetection makes engines execute every start, also of an idempotency key in its dedupe window. This is
	// not a defect by itself, but the engines' detection of duplicates would hide the effects of other mutations.
	NoDuplicateDetection bool
	// TakeOverWithoutWaiting makes a process that takes over an attempt cancel it at once if the engine does not know
	// it, although its start may still be in transit.
	TakeOverWithoutWaiting bool
}

// Simulation is one simulated fleet, its clients and its engines. It is not safe for concurrent use.
type Simulation struct {
	eventLoop

	// FrontEnds are all front ends, running or not.
	FrontEnds []*FrontEnd
	// History is what clients and engines observed.
	History history.Recorder
	// FaultLog describes the faults that were injected so far, one per entry.
	FaultLog []string

	options      Options
	random       random
	settings     *settings.Settings
	network      network
	engines      []*engine
	lastExecuted map[string]monotime.Micros // when the last execution started, by idempotency key
	callCount    int
	requestCount int
	healed       bool // all faults have ended, and crash points no longer have an effect
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
	site.FrontEnds = options.FrontEnds
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

// engine returns the engine with the given name, or nil.
func (s *Simulation) engine(name string) *engine {
	for _, e := range s.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// frontEnd returns the front end with the given name, or nil.
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

// PendingRequests returns the number of requests in the idempotency clients of all front ends.
func (s *Simulation) PendingRequests() (count int) {
	for _, f := range s.FrontEnds {
		if f.process != nil {
			count += f.process.idempotency.Len()
		}
	}
	return count
}
