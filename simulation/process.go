package simulation

import (
	"chutechute/fleet"
	"chutechute/fleet/budget"
	"chutechute/fleet/budget/enforce"
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/replication"
	"chutechute/gateway"
	"chutechute/internal/counters"
	"chutechute/internal/monotime"
	"chutechute/internal/raftlog"
	"chutechute/scheduler"
)

// The configuration of all front ends.
const (
	raftTickInterval  = 50 * ms
	heartbeatInterval = 100 * ms
	retryInterval     = 200 * ms
	pollInterval      = 400 * ms // of the idempotency client
	suspectAfter      = 600 * ms
	pauseThreshold    = suspectAfter / 2
	deadAfter         = 3 * second
	orphanTimeout     = 3 * second
	replaceAfter      = 6 * second
	outcomeRetention  = 60 * second
	commitTimeout     = 60 * second

	capacityRetryAfter = second / 2
	minReportInterval  = 20 * ms // between two reports of a lease holder

	maxRegistryBytes  = 4 << 20
	snapshotLogBytes  = 16 << 10
	maxOpenRequests   = 10_000
	maxStatementBytes = 1 << 24
	maxBudgetSubjects = 1000

	// tickInterval is the time between two ticks of a process.
	tickInterval = 25 * ms
)

// process is one run of a front end's program.
type process struct {
	simulation   *Simulation
	frontEnd     *FrontEnd
	incarnation  uint64
	startedAt    monotime.Micros // true time
	counters     counters.Set
	core         *gateway.Core
	node         *fleet.Node
	idempotency  *idempotencyclient.Client
	leaseHolder  *budget.LeaseHolder // nil without budgets
	attempts     map[*gateway.Attempt]*attempt
	pendingSaves []replication.Save
	nextWakeup   monotime.Micros // the scheduled turn for a timer of the core, by the front end's clock
	paused       bool
	deferred     []func() // functions that run when the process resumes
}

// newProcess returns a process that has recovered its state from the front end's disk.
func newProcess(f *FrontEnd) (*process, error) {
	s := f.simulation
	p := &process{
		simulation:  s,
		frontEnd:    f,
		startedAt:   s.now,
		incarnation: s.random.id(),
		attempts:    map[*gateway.Attempt]*attempt{},
	}
	if f.disk == nil || !s.options.DurableDisks {
		f.disk = f.newDisk()
	}
	p.node = fleet.NewNode(p.nodeConfig(), p.notify)
	limits := gateway.Limits{MaxOpen: maxOpenRequests, MaxRequestBytes: maxStatementBytes}
	var err error
	p.core, err = gateway.New(s.settings, s.random.Uint64(), limits, engineClient{p}, &p.counters)
	if err != nil {
		return nil, err
	}
	p.useIdempotencyStore()
	p.useBudgets()
	if err := p.node.Recover(p.now(), &f.disk.persisted); err != nil {
		return nil, err
	}
	p.core.UpdateEndpoints(scheduler.UpdateComplete, s.endpoints())
	return p, nil
}

// nodeConfig returns the configuration of the process's node, which is a control member.
func (p *process) nodeConfig() fleet.Config {
	s := p.simulation
	zones := map[string]string{}
	for _, other := range s.FrontEnds {
		if other != p.frontEnd {
			zones[other.name] = other.zone
		}
	}
	return fleet.Config{
		Name:              p.frontEnd.name,
		Zone:              p.frontEnd.zone,
		Incarnation:       p.incarnation,
		PeerZones:         zones,
		HeartbeatInterval: heartbeatInterval,
		RetryInterval:     retryInterval,
		Heartbeat: heartbeat.Config{
			SuspectAfter: suspectAfter, DeadAfter: deadAfter, PauseThreshold: pauseThreshold,
		},
		NewID: s.random.id,
		Replication: replication.Config{
			ID:               p.frontEnd.disk.replicaID,
			Replicas:         s.options.Replicas,
			TickInterval:     raftTickInterval,
			ReplaceAfter:     replaceAfter,
			SnapshotLogBytes: snapshotLogBytes,
			Logger:           raftlog.New(),
			StateMachines:    s.stateMachines(),
		},
	}
}

// stateMachines returns the state machines of a replica: the registry of idempotent requests and the budget authority.
func (s *Simulation) stateMachines() []replication.StateMachine {
	var registry replication.StateMachine = idempotency.NewRegistry(idempotency.Options{
		MaxBytes: maxRegistryBytes, Retention: outcomeRetention, OrphanTimeout: orphanTimeout,
	})
	if wrap := s.options.Mutation.WrapStateMachine; wrap != nil {
		registry = wrap(registry)
	}
	return []replication.StateMachine{registry, budget.NewAuthority(budget.Options{MaxSubjects: maxBudgetSubjects})}
}

// useIdempotencyStore connects the core to the fleet's registry of idempotent requests.
func (p *process) useIdempotencyStore() {
	config := idempotencyclient.Config{
		Incarnation:   p.incarnation,
		PollInterval:  pollInterval,
		CommitTimeout: commitTimeout,
		RetryAfter:    capacityRetryAfter,
	}
	p.idempotency = idempotencyclient.New(config, p.node, p.core)
	var store gateway.IdempotencyStore = p.idempotency
	if wrap := p.simulation.options.Mutation.WrapIdempotencyStore; wrap != nil {
		store = wrap(store)
	}
	p.core.UseIdempotencyStore(store)
}

// useBudgets connects the core to the fleet's budgets, if there are any.
func (p *process) useBudgets() {
	s := p.simulation
	if s.options.Budgets == nil {
		return
	}
	config := budget.LeaseHolderConfig{
		Name: p.frontEnd.name, Set: s.options.Budgets, MinReportInterval: minReportInterval,
	}
	p.leaseHolder = budget.NewLeaseHolder(config, p.node, enforce.New(s.settings, p.core))
	p.leaseHolder.Start(p.now())
}

// endpoints returns all engines, as endpoint discovery reports them.
func (s *Simulation) endpoints() (endpoints []scheduler.Endpoint) {
	zone, kind := s.settings.Zones[0], s.settings.Kinds[0].Name
	for _, e := range s.engines {
		endpoints = append(endpoints, scheduler.Endpoint{Engine: e.name, Zone: zone, Kind: kind})
	}
	return endpoints
}

// notify passes a notification from a state machine to the lease holder or the idempotency client, by its topic.
func (p *process) notify(topic string) {
	if topic != budget.NotificationTopic {
		p.idempotency.Notify(p.now(), topic)
	} else if p.leaseHolder != nil {
		p.leaseHolder.Notify(p.now())
	}
}

// now returns the time of the front end's clock.
func (p *process) now() monotime.Micros { return p.frontEnd.now() }

// isAlive reports whether the process has not ended. A paused process is alive.
func (p *process) isAlive() bool { return p.frontEnd.process == p }

// run calls a function at once if the process runs, or when it resumes if it is paused. It drops the function if the
// process has ended.
func (p *process) run(handle func()) {
	switch {
	case !p.isAlive():
	case p.paused:
		p.deferred = append(p.deferred, func() { p.run(handle) })
	default:
		p.idempotency.SetNow(p.now())
		if p.leaseHolder != nil {
			p.leaseHolder.SetNow(p.now())
		}
		handle()
	}
}

// tick advances the timers of all components and schedules the next tick.
func (p *process) tick() {
	if !p.isAlive() {
		return
	}
	p.run(func() {
		now := p.now()
		p.node.Tick(now)
		p.idempotency.Tick(now)
		if p.leaseHolder != nil {
			p.leaseHolder.Tick(now)
		}
		p.runTurn()
	})
	p.simulation.after(tickInterval, p.tick)
}

// runTurn runs one turn of the event loop.
func (p *process) runTurn() {
	if !p.isAlive() || p.paused {
		return
	}
	if err := p.node.Replica().Err(); err != nil {
		p.simulation.fail(err) // simulated disks do not fail, so the replica's state is inconsistent
		return
	}
	now := p.now()
	p.idempotency.SetNow(now)
	p.executeActions()
	p.core.Step(now)
	p.executeActions()
	if p.core.HasEvents() {
		p.core.Step(now)
		p.executeActions()
	}
	p.scheduleWakeup(now)
}

// scheduleWakeup schedules a turn for the next timer of the core if it may expire before the next tick.
func (p *process) scheduleWakeup(now monotime.Micros) {
	next, ok := p.core.NextTimer()
	if !ok || next >= now+tickInterval {
		return
	}
	if p.nextWakeup > now && p.nextWakeup <= next {
		return // a turn is already scheduled by then
	}
	p.nextWakeup = next
	delay := p.frontEnd.clock.trueDuration(next-now) + 1 // rounded up, so that the timer has expired by then
	p.simulation.after(delay, func() { p.run(p.runTurn) })
}

// executeActions executes the actions of the node until it has none.
func (p *process) executeActions() {
	for {
		actions := p.node.Actions()
		if len(actions) == 0 {
			return
		}
		for _, action := range actions {
			switch action := action.(type) {
			case fleet.Send:
				p.send(action)
			case replication.Save:
				p.save(action)
			}
		}
	}
}
