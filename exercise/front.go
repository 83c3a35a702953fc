package exercise

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"

	"chutechute/fleet"
	"chutechute/fleet/budget"
	"chutechute/fleet/budget/enforce"
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/gateway"
	"chutechute/internal/counters"
	"chutechute/internal/monotime"
	"chutechute/internal/raftlog"
	"chutechute/scheduler"
)

// Front is one front end: its name and its disk, and the process that runs now, if one does.
type Front struct {
	s      *Sim
	n      int
	Name   string
	zone   string
	offset monotime.Micros // of its clock
	rate   float64         // of its clock
	number uint64          // of the last disk
	disk   *disk
	proc   *process
}

// disk is what outlives a process.
type disk struct {
	number uint64
	kept   replication.PersistedState
}

// process is one run of a front end's program.
type process struct {
	f           *Front
	incarnation uint64
	born        monotime.Micros // true time
	core        *gateway.Core
	node        *fleet.Node
	records     *idempotencyclient.Client
	holder      *budget.LeaseHolder // nil without budgets
	count       counters.Set
	paused      bool
	waiting     []func() // what comes while it stands still
	jobs        map[*gateway.Attempt]*job
	writes      []replication.Save
	wake        monotime.Micros // when the next turn for a timer of the core is due, by its clock
}

const (
	tick    = 50 * ms
	suspect = 600 * ms
	dead    = 3 * second
	replace = 6 * second
	turn    = 25 * ms
	keep    = 60 * second
)

// Up says whether the front end's process runs and does not stand still.
func (f *Front) Up() bool { return f.proc != nil && !f.proc.paused }

// local is the front end's clock.
func (f *Front) local() monotime.Micros { return f.at(f.s.now) }

// at is what the front end's clock shows at a true time.
func (f *Front) at(t monotime.Micros) monotime.Micros {
	return f.offset + monotime.Micros(float64(t)*f.rate)
}

// Start begins a process.
func (f *Front) Start() {
	s := f.s
	if f.proc != nil {
		return
	}
	p := &process{f: f, born: s.now, incarnation: s.rng.Uint64()>>2 | 1, jobs: map[*gateway.Attempt]*job{}}
	if f.disk == nil || !s.o.Lasting {
		number := s.rng.Uint64()>>2 | 1
		if s.o.Variant.SameNumber && f.number != 0 {
			number = f.number
		}
		f.number = number
		f.disk = &disk{number: number}
	}
	kind := replication.StateMachine(idempotency.NewRegistry(idempotency.Options{MaxBytes: 4 << 20, Retention: keep, OrphanTimeout: 3 * second}))
	if s.o.Variant.Kind != nil {
		kind = s.o.Variant.Kind(kind)
	}
	zones := map[string]string{}
	for _, o := range s.Fronts {
		if o != f {
			zones[o.Name] = o.zone
		}
	}
	cfg := fleet.Config{Name: f.Name, Zone: f.zone, Incarnation: p.incarnation, Zones: zones, HeartbeatInterval: 2 * tick, RetryInterval: 4 * tick,
		Heartbeat: heartbeat.Config{SuspectAfter: suspect, DeadAfter: dead, PauseThreshold: suspect / 2},
		NewID:     func() uint64 { return s.rng.Uint64()>>2 | 1 },
		Replication: replication.Config{ID: f.disk.number, Replicas: s.o.Copies, TickInterval: tick, ReplaceAfter: replace, SnapshotLogBytes: 16 << 10,
			Logger: raftlog.New(), StateMachines: []replication.StateMachine{kind, budget.NewAuthority(budget.Options{Instances: 1000})}}}
	p.node = fleet.NewNode(cfg, func(about string) {
		if about != budget.NotificationTopic {
			p.records.Notify(f.local(), about)
		} else if p.holder != nil {
			p.holder.Notify(f.local())
		}
	})
	var err error
	if p.core, err = gateway.New(s.site, s.rng.Uint64(), gateway.Limits{MaxOpen: 10000, MaxStatementBytes: 1 << 24}, pool{p}, &p.count); err != nil {
		s.fail(err)
		return
	}
	p.records = idempotencyclient.New(idempotencyclient.Config{Incarnation: p.incarnation, PollInterval: 8 * tick, CommitTimeout: keep, CapacityRetryAfter: second / 2}, p.node, p.core)
	record := gateway.IdempotencyStore(p.records)
	if s.o.Variant.Record != nil {
		record = s.o.Variant.Record(record)
	}
	p.core.UseIdempotencyStore(record)
	if s.o.Budgets != nil {
		p.holder = budget.NewLeaseHolder(budget.LeaseHolderConfig{Name: f.Name, Set: s.o.Budgets, MinReportInterval: 20 * ms}, p.node, enforce.New(s.site, p.core))
		p.holder.Start(f.local())
	}
	if err := p.node.Recover(f.local(), &f.disk.kept); err != nil {
		s.fail(err)
		return
	}
	var list []scheduler.Endpoint
	for _, e := range s.engines {
		list = append(list, scheduler.Endpoint{Engine: e.name, Zone: s.site.Zones[0], Kind: s.site.Kinds[0].Name})
	}
	p.core.UpdateEndpoints(scheduler.UpdateComplete, list)
	f.proc = p
	p.ticks()
}

// Kill ends the process; empty takes its disk too.
func (f *Front) Kill(empty bool) {
	if f.proc == nil {
		return
	}
	f.s.did("kill %s, disk emptied: %v", f.Name, empty)
	f.proc = nil
	if empty {
		f.disk = nil
	}
}

// Pause has the process stand still; Resume lets it go on, with all that came meanwhile.
func (f *Front) Pause() {
	if f.Up() {
		f.s.did("stop %s", f.Name)
		f.proc.paused = true
	}
}

// Resume lets a process go on that stands still.
func (f *Front) Resume() {
	p := f.proc
	if p == nil || !p.paused {
		return
	}
	f.s.did("continue %s", f.Name)
	p.paused = false
	waiting := p.waiting
	p.waiting = nil
	for _, do := range waiting {
		do()
	}
	p.turn()
}

// does runs something in the process, at once or when it goes on; nothing where the process has ended.
func (p *process) does(do func()) {
	switch {
	case p.f.proc != p:
	case p.paused:
		p.waiting = append(p.waiting, func() { p.does(do) })
	default:
		p.records.SetNow(p.f.local())
		if p.holder != nil {
			p.holder.SetNow(p.f.local())
		}
		do()
	}
}

// ticks has time pass for the process.
func (p *process) ticks() {
	if p.f.proc != p {
		return
	}
	p.does(func() {
		now := p.f.local()
		p.node.Tick(now)
		p.records.Tick(now)
		if p.holder != nil {
			p.holder.Tick(now)
		}
		p.turn()
	})
	p.f.s.after(turn, p.ticks)
}

// turn is one turn of the loop.
func (p *process) turn() {
	if p.f.proc != p || p.paused {
		return
	}
	if err := p.node.Replica().Err(); err != nil {
		p.f.s.fail(err) // no disk fails here, so a copy that ends has found itself broken
		return
	}
	now := p.f.local()
	p.records.SetNow(now)
	p.pump()
	p.core.Step(now)
	p.pump()
	if p.core.Pending() {
		p.core.Step(now)
		p.pump()
	}
	if next, ok := p.core.Next(); ok && next < now+turn && (p.wake <= now || next < p.wake) {
		p.wake = next
		p.f.s.after(monotime.Micros(float64(next-now)/p.f.rate)+1, func() { p.does(p.turn) })
	}
}

// pump carries out what the node wants.
func (p *process) pump() {
	for {
		list := p.node.Actions()
		if len(list) == 0 {
			return
		}
		for _, a := range list {
			switch a := a.(type) {
			case fleet.Send:
				p.tell(a)
			case replication.Save:
				p.save(a)
			}
		}
	}
}

// tell sends a message: it may be lost, late or doubled.
func (p *process) tell(t fleet.Send) {
	s := p.f.s
	var to *Front
	for _, o := range s.Fronts {
		if o.Name == t.To {
			to = o
		}
	}
	if s.cuts[[2]int{p.f.n, to.n}] {
		if t.Kind == transport.Replication {
			s.after(0, func() { p.does(func() { p.node.SendFailed(t.To) }) })
		}
		return
	}
	q := to.proc // a connection ends with the process that it leads to
	arrive := func() {
		if q == nil || to.proc != q || s.cuts[[2]int{p.f.n, to.n}] {
			return
		}
		q.does(func() {
			link := fleet.Link{From: p.f.Name, Incarnation: p.incarnation, ChallengedAt: to.at(max(p.born, q.born))}
			s.fail(q.node.Receive(to.local(), link, t.Kind, t.Body))
			q.turn()
		})
	}
	delay := s.between(100, s.delays)
	if s.late && s.chance(50) {
		delay += s.between(0, 20*second)
	}
	s.after(delay, arrive)
	if s.twice && s.chance(4) {
		s.after(delay+s.between(0, 50*ms), arrive)
	}
}

// save writes to the disk: what is under way when the process ends is lost, what was done before is kept.
func (p *process) save(a replication.Save) {
	s := p.f.s
	if s.o.Variant.EarlyWord {
		p.node.Persisted(p.f.local(), a.Token, nil)
	}
	p.writes = append(p.writes, a)
	if len(p.writes) == 1 {
		s.after(s.syncs(), p.written)
	}
}

func (s *Sim) syncs() monotime.Micros {
	switch {
	case !s.o.Lasting:
		return 0
	case s.chance(500):
		return s.between(0, 2*second)
	}
	return s.between(200, 4*ms)
}

func (p *process) written() {
	if p.f.proc != p {
		return
	}
	batch := p.writes
	p.writes = nil
	d := p.f.disk
	for _, a := range batch { // one commit
		d.write(a)
	}
	for _, a := range batch {
		p.does(func() { p.node.Persisted(p.f.local(), a.Token, nil) }) // a second time says nothing
	}
	p.does(p.turn)
	if len(p.writes) > 0 {
		p.f.s.after(p.f.s.syncs(), p.written)
	}
}

// write is what package store does to its file.
func (d *disk) write(a replication.Save) {
	k := &d.kept
	if k.Group == 0 {
		k.Group = a.Group
	}
	if a.Snapshot != nil && a.Snapshot.GetMetadata().GetIndex() != 0 {
		k.Snapshot = a.Snapshot
		var rest []*raftpb.Entry
		for _, e := range k.Entries {
			if !a.DiscardLog && e.GetIndex() > a.Snapshot.GetMetadata().GetIndex() {
				rest = append(rest, e)
			}
		}
		k.Entries = rest
	}
	if a.HardState != nil {
		k.HardState = a.HardState
	}
	if len(a.Entries) > 0 {
		first := a.Entries[0].GetIndex()
		for i, e := range k.Entries {
			if e.GetIndex() >= first {
				k.Entries = k.Entries[:i:i]
				break
			}
		}
		k.Entries = append(k.Entries, a.Entries...)
	}
}

// Leads says whether the front end holds itself for the leader, with full copies whose disks are there.
func (f *Front) Leads() bool {
	if !f.Up() || !f.proc.node.Replica().IsLeader() {
		return false
	}
	voters, learners := f.proc.node.Replica().Members()
	return len(voters) == f.s.o.Copies && len(learners) == 0
}

// Whole says whether all copies of the record are there, as their leader sees it: one more disk may be lost.
func (s *Sim) Whole() bool {
	for _, f := range s.Fronts {
		if !f.Leads() {
			continue
		}
		voters, _ := f.proc.node.Replica().Members()
		if f.proc.node.Replica().Reconfiguring() {
			return false // the majorities of before and after count
		}
		index, _ := f.proc.node.Replica().LastApplied()
		for _, v := range voters {
			there := false
			for _, o := range s.Fronts {
				if o.disk != nil && o.disk.number == v.ID && o.Up() {
					at, _ := o.proc.node.Replica().LastApplied()
					there = at+16 >= index && o.proc.node.Replica().Term() == f.proc.node.Replica().Term()
				}
			}
			if !there {
				return false
			}
		}
		return true
	}
	return false
}

// String says how a front end stands, for a failing test.
func (f *Front) String() string {
	if f.proc == nil {
		return f.Name + ": down"
	}
	r := f.proc.node.Replica()
	index, sum := r.LastApplied()
	voters, learners := r.Members()
	return fmt.Sprintf("%s: paused=%v leads=%v votes=%v term=%d applied=%d sum=%x voters=%v learners=%v held=%+v err=%v", f.Name, f.proc.paused,
		r.IsLeader(), r.IsVoter(), r.Term(), index, sum, voters, learners, f.proc.records.Records(), r.Err())
}
