// Package ledger is the record that a fleet's front ends keep together: what was promised on behalf of all of them is
// committed by a majority of copies before anybody acts on it or is told. Consensus is a library's; what stands here is what
// is asked, answered and kept, who the copies are, and how one that lost its disk comes back.
//
// What holds, in true time:
//
//  1. An answer Committed is given only after a majority of the copies then in force had the command on what they hold for
//     lasting: the disk where they have one, and else the memory of a process that has run without a break since.
//  2. A copy is its disk. Its number is drawn with an empty disk (or, without one, at each start) and never again, so a copy
//     that has forgotten its votes is another one that nobody counts until a committed change has made it a member.
//  3. All copies apply the same commands in the same order; a sum over all answers shows where they do not.
//
// None of it rests on clocks, on silence meaning death, or on an order of messages. Time only says when to ask for an
// election, and when a copy that was not heard of is replaced, which is safe for one that lives too.
//
// Replica is a stepped module: events and time go in, actions come out. It does no I/O, reads no clock, and starts nothing.
package replication

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"chutechute/internal/monotime"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// Config is what a copy is told at its start.
type Config struct {
	ID               uint64 // drawn with the empty disk
	StateMachines    []StateMachine
	Replicas         int             // that there should be
	TickInterval     monotime.Micros // the unit of the elections' spans
	ReplaceAfter     monotime.Micros // after this silence a copy is replaced where another front end is free
	SnapshotLogBytes int             // of the log after which a snapshot is taken
	Logger           raft.Logger
}

const (
	electionTicks  = 8
	heartbeatTicks = 1
	keepEntries    = 256     // of the log behind a snapshot, for copies that lag a little
	mostPending    = 4 << 20 // bytes of commands that are not committed
	mostMessage    = 256 << 10
	routeLife      = 10 * 1_000_000 // microseconds that an answer's way is kept
)

// Action is one of the types below.
type Action any

// The actions.
type (
	// Send carries bytes to another copy. Bulk may take its time.
	Send struct {
		To      uint64
		Bulk    bool
		Message []byte
	}
	// Save writes to what lasts, in order; Stored tells that it is there.
	Save struct {
		Token      uint64
		Group      uint64
		Entries    []*raftpb.Entry
		HardState  *raftpb.HardState
		Snapshot   *raftpb.Snapshot
		DiscardLog bool // the snapshot came from the leader: no entry of before stays
	}
	// Reply answers a front end's question.
	Reply struct {
		To       Incarnation
		Response Response
	}
	// Notify tells a front end that something it waits for may have changed.
	Notify struct {
		To    Incarnation
		Topic string
	}
)

// Replica is one copy, or a front end that may become one.
type Replica struct {
	cfg     Config
	group   uint64 // the record's number; 0 while this is no copy
	node    *raft.RawNode
	log     *raft.MemoryStorage
	machine *machine
	conf    *raftpb.ConfState
	err     error // why it is a copy no longer

	now        monotime.Micros
	nextTick   monotime.Micros
	token      uint64
	saving     map[uint64]save
	actions    []Action
	routes     map[route]monotime.Micros
	pruned     monotime.Micros
	logBytes   int
	dueAt      monotime.Micros
	seen       FailureDetector
	keeper     keeper
	handedOver monotime.Micros
	// Elections counts how often this copy asked for votes, Commits the commands applied, Differing the copies seen to differ.
	Elections, Commits, Snapshots, Divergent int
	// LeaderTransfers counts how often it let another lead for the sake of its disk.
	LeaderTransfers int
	lastState       raft.StateType
}

type route struct {
	asker Incarnation
	seq   uint64
}

// New is a front end that is no copy yet.
func New(cfg Config) *Replica {
	r := &Replica{cfg: cfg, saving: map[uint64]save{}, routes: map[route]monotime.Micros{}}
	r.machine = newMachine(cfg.StateMachines, func(to Incarnation, about string) {
		r.actions = append(r.actions, Notify{to, about})
	})
	r.keeper.reset()
	return r
}

// Group is the record's number; 0 while this is no copy.
func (r *Replica) Group() uint64 { return r.group }

// ID is this copy's number.
func (r *Replica) ID() uint64 { return r.cfg.ID }

// Leader is the leader's number as far as this copy knows; 0 where it knows of none.
func (r *Replica) Leader() uint64 {
	if r.node == nil {
		return 0
	}
	return r.node.BasicStatus().Lead
}

// IsLeader says whether this copy holds itself for the leader.
func (r *Replica) IsLeader() bool { return r.node != nil && r.Leader() == r.cfg.ID }

// IsVoter says whether this copy is a full member.
func (r *Replica) IsVoter() bool {
	return r.conf != nil && slices.Contains(r.conf.GetVoters(), r.cfg.ID)
}

// Reconfiguring says whether the copies are being changed, as far as this one has applied: the majorities of before and after count.
func (r *Replica) Reconfiguring() bool { return len(r.conf.GetVotersOutgoing()) > 0 }

// Err says why this is a copy no longer; nil otherwise.
func (r *Replica) Err() error { return r.err }

// Members are the copies as far as this one has applied; voting or not.
func (r *Replica) Members() (voters, learners []Member) {
	for _, id := range r.conf.GetVoters() {
		voters = append(voters, r.member(id))
	}
	for _, id := range append(slices.Clone(r.conf.GetLearners()), r.conf.GetLearnersNext()...) {
		learners = append(learners, r.member(id))
	}
	return voters, learners
}

func (r *Replica) member(id uint64) Member {
	if m, ok := r.machine.members[id]; ok {
		return m
	}
	return Member{ID: id}
}

// LastApplied is the last command that was carried out, and the sum over all answers up to it.
func (r *Replica) LastApplied() (index, sum uint64) { return r.machine.index, r.machine.sum }

// Term is the election that this copy knows of.
func (r *Replica) Term() uint64 {
	if r.node == nil {
		return 0
	}
	return r.node.BasicStatus().HardState.GetTerm()
}

// CheckDivergence counts a copy whose sum differs at an index that both have applied.
func (r *Replica) CheckDivergence(index, sum uint64) bool {
	if r.machine.differs(index, sum) {
		r.Divergent++
		return false
	}
	return true
}

// Actions gives what is to be done and forgets it.
func (r *Replica) Actions() []Action {
	list := r.actions
	r.actions = nil
	return list
}

// Tick lets time pass. Present are the front ends that are heard of now, this one too; seen is how their processes are seen.
func (r *Replica) Tick(now monotime.Micros, present []Member, seen FailureDetector) {
	defer r.guard()
	r.now, r.seen = now, seen
	if r.node == nil {
		return
	}
	if now-r.nextTick > 4*r.cfg.TickInterval { // the process stood still: others may lead by now, and it has to hear them first
		r.nextTick = now - 4*r.cfg.TickInterval
	}
	for ; r.nextTick <= now; r.nextTick += r.cfg.TickInterval {
		r.node.Tick()
	}
	if r.node.BasicStatus().RaftState == raft.StateLeader {
		r.keeper.step(r, present)
		r.lapse()
		r.handOver()
	} else {
		r.keeper.reset()
		r.dueAt = 0
	}
	r.prune()
	r.ready()
}

const (
	slowTicks = 4  // that a leader's write may take before another should lead
	restTicks = 40 // between two such hand-overs
)

// handOver has another lead where this copy's disk is slow: a leader carries out no command before it has stored it itself,
// so that its disk alone would set the pace of all, though the others are a majority without it.
func (r *Replica) handOver() {
	slow := false
	for _, s := range r.saving {
		slow = slow || r.now-s.at >= slowTicks*r.cfg.TickInterval
	}
	if !slow || r.now < r.handedOver+restTicks*r.cfg.TickInterval {
		return
	}
	var to, match uint64
	r.node.WithProgress(func(id uint64, kind raft.ProgressType, p tracker.Progress) {
		if kind == raft.ProgressTypePeer && id != r.cfg.ID && p.RecentActive && (p.Match > match || p.Match == match && id < to) {
			to, match = id, p.Match
		}
	})
	if to != 0 {
		r.handedOver = r.now
		r.LeaderTransfers++
		r.node.TransferLeader(to)
	}
}

// lapse proposes what time alone calls for. A new leader gives what is under way a moment first.
func (r *Replica) lapse() {
	if r.dueAt == 0 {
		r.dueAt = r.now + 2*electionTicks*r.cfg.TickInterval
	}
	if r.now < r.dueAt {
		return
	}
	r.dueAt = r.now + r.cfg.TickInterval*4
	for _, k := range r.machine.order {
		for _, body := range k.DueCommands(r.now, r.seen) {
			_ = r.node.Propose(Command{StateMachine: k.ID(), Version: k.Version(), Body: body}.Encode()) // if dropped, it is due again
		}
	}
}

func (r *Replica) prune() {
	if r.now < r.pruned+routeLife {
		return
	}
	r.pruned = r.now
	maps.DeleteFunc(r.routes, func(_ route, at monotime.Micros) bool { return r.now-at > routeLife })
}

// Receive takes a message of another copy. One to a number that is not this copy's is for a disk that was lost.
func (r *Replica) Receive(now monotime.Micros, group uint64, message []byte) error {
	defer r.guard()
	r.now = now
	m := &raftpb.Message{}
	if err := proto.Unmarshal(message, m); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if m.GetTo() != r.cfg.ID || r.err != nil || group == 0 {
		return nil
	}
	if r.group == 0 {
		if err := r.join(now, group); err != nil {
			return err
		}
	}
	if group != r.group || raft.IsLocalMsg(m.GetType()) {
		return nil
	}
	r.keeper.heard[m.GetFrom()] = now
	if m.GetType() == raftpb.MessageType_MsgProp {
		return nil // questions come by Ask
	}
	err := r.node.Step(m)
	r.ready()
	if errors.Is(err, raft.ErrStepPeerNotFound) {
		return nil
	}
	return err
}

// Propose takes a front end's question.
func (r *Replica) Propose(now monotime.Micros, c Command) {
	defer r.guard()
	r.now = now
	refuse := func(result Result) {
		leader := r.Leader()
		r.actions = append(r.actions, Reply{c.Proposer, Response{Sequence: c.Sequence, Result: result, Leader: leader}})
	}
	kind := r.machine.kinds[c.StateMachine]
	switch {
	case !r.IsLeader():
		refuse(NotLeader)
	case kind == nil || c.Version > kind.Version():
		refuse(Unsupported)
	default:
		if err := r.node.Propose(c.Encode()); err != nil {
			refuse(Busy)
			return
		}
		r.routes[route{c.Proposer, c.Sequence}] = now
		r.ready()
	}
}

// Unreachable tells that a message to a copy was not sent; a snapshot may have been among them.
func (r *Replica) Unreachable(to uint64) {
	defer r.guard()
	if r.node != nil {
		r.node.ReportUnreachable(to)
		r.node.ReportSnapshot(to, raft.SnapshotFailure)
		r.ready()
	}
}

// respond delivers what was to wait for a write.
func (r *Replica) respond(list []*raftpb.Message) {
	for _, m := range list {
		if m.GetTo() == r.cfg.ID {
			_ = r.node.Step(m) // to itself; it can't be refused
		} else {
			r.send(m)
		}
	}
}

func (r *Replica) send(m *raftpb.Message) {
	b, err := proto.Marshal(m)
	if err != nil {
		r.fail(err)
		return
	}
	bulk := m.GetType() == raftpb.MessageType_MsgSnap
	r.actions = append(r.actions, Send{To: m.GetTo(), Bulk: bulk, Message: b})
	if bulk { // if it is lost, the probe that follows finds out
		r.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

func sortedIDs[V any](m map[uint64]V) []uint64 { return slices.Sorted(maps.Keys(m)) }
