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
package ledger

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// Config is what a copy is told at its start.
type Config struct {
	ID       uint64 // drawn with the empty disk
	Kinds    []Kind
	Copies   int    // that there should be
	Tick     Micros // the unit of the elections' spans
	Replace  Micros // after this silence a copy is replaced where another front end is free
	LogBytes int    // of the log after which a snapshot is taken
	Logger   raft.Logger
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
		Token    uint64
		Group    uint64
		Entries  []*raftpb.Entry
		State    *raftpb.HardState
		Snapshot *raftpb.Snapshot
		Reset    bool // the snapshot came from the leader: no entry of before stays
	}
	// Reply answers a front end's question.
	Reply struct {
		To     Incarnation
		Answer Answer
	}
	// Notify tells a front end that something it waits for may have changed.
	Notify struct {
		To    Incarnation
		About string
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

	now        Micros
	nextTick   Micros
	token      uint64
	saving     map[uint64]save
	actions    []Action
	routes     map[route]Micros
	pruned     Micros
	logBytes   int
	dueAt      Micros
	seen       Presence
	keeper     keeper
	handedOver Micros
	// Elections counts how often this copy asked for votes, Commits the commands applied, Differing the copies seen to differ.
	Elections, Commits, Snapshots, Differing int
	// HandOvers counts how often it let another lead for the sake of its disk.
	HandOvers int
	lastState raft.StateType
}

type save struct {
	at        Micros
	entries   []*raftpb.Entry
	state     *raftpb.HardState
	snapshot  *raftpb.Snapshot
	responses []*raftpb.Message
}

type route struct {
	asker Incarnation
	seq   uint64
}

// New is a front end that is no copy yet.
func New(cfg Config) *Replica {
	r := &Replica{cfg: cfg, saving: map[uint64]save{}, routes: map[route]Micros{}}
	r.machine = newMachine(cfg.Kinds, func(to Incarnation, about string) {
		r.actions = append(r.actions, Notify{to, about})
	})
	r.keeper.reset()
	return r
}

// Disk is what a copy had kept when its process ended.
type Disk struct {
	Group    uint64
	State    *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry
}

// ErrGap is the error of a disk whose log does not follow its snapshot.
var ErrGap = errors.New("ledger: the log does not follow the snapshot")

// Open goes on with what the disk kept.
func (r *Replica) Open(now Micros, d *Disk) error {
	defer r.guard()
	if d == nil || d.Group == 0 {
		return nil
	}
	if len(d.Entries) > 0 && d.Entries[0].GetIndex() > d.Snapshot.GetMetadata().GetIndex()+1 {
		return ErrGap
	}
	log := raft.NewMemoryStorage()
	if !raft.IsEmptySnap(d.Snapshot) { // a copy that had joined and not caught up has none
		if err := log.ApplySnapshot(d.Snapshot); err != nil {
			return err
		}
	}
	if d.State != nil {
		if err := log.SetHardState(d.State); err != nil {
			return err
		}
	}
	if err := log.Append(d.Entries); err != nil {
		return err
	}
	return r.begin(now, d.Group, log, d.Snapshot)
}

// Found makes this front end one of the first copies of a new record.
func (r *Replica) Found(now Micros, group uint64, members []Member) error {
	defer r.guard()
	if r.group != 0 || !slices.ContainsFunc(members, func(m Member) bool { return m.ID == r.cfg.ID }) {
		return nil
	}
	voters := []uint64{}
	first := newMachine(r.cfg.Kinds, nil)
	for _, m := range members {
		voters = append(voters, m.ID)
		first.members[m.ID] = m
	}
	slices.Sort(voters)
	first.index = 1
	index, term := uint64(1), uint64(1)
	snapshot := &raftpb.Snapshot{Data: first.snapshot(), Metadata: &raftpb.SnapshotMetadata{
		ConfState: &raftpb.ConfState{Voters: voters}, Index: &index, Term: &term}}
	log := raft.NewMemoryStorage()
	if err := log.ApplySnapshot(snapshot); err != nil {
		return err
	}
	state := &raftpb.HardState{Term: &term, Commit: &index}
	if err := log.SetHardState(state); err != nil {
		return err
	}
	if err := r.begin(now, group, log, snapshot); err != nil {
		return err
	}
	r.save(save{state: state, snapshot: snapshot}, true)
	return nil
}

// join makes this front end a copy of a record that others keep: they were told of its number in this life of its disk.
func (r *Replica) join(now Micros, group uint64) error {
	return r.begin(now, group, raft.NewMemoryStorage(), nil)
}

func (r *Replica) begin(now Micros, group uint64, log *raft.MemoryStorage, snapshot *raftpb.Snapshot) error {
	r.now = now
	if err := r.machine.restore(snapshot.GetData(), now); err != nil {
		return err
	}
	r.conf = snapshot.GetMetadata().GetConfState()
	node, err := raft.NewRawNode(&raft.Config{ID: r.cfg.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: shown{log, r},
		Applied: snapshot.GetMetadata().GetIndex(), AsyncStorageWrites: true, MaxSizePerMsg: mostMessage,
		MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: mostPending, MaxInflightMsgs: 64, CheckQuorum: true,
		PreVote: true, Logger: r.cfg.Logger})
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	r.group, r.log, r.node, r.nextTick = group, log, node, now+r.cfg.Tick
	r.ready()
	return nil
}

// shown is the log as the library reads it. A snapshot for a copy that lags is taken when it is asked for: an older one may
// not know of a learner yet, which would pass it over.
type shown struct {
	*raft.MemoryStorage
	r *Replica
}

// Snapshot is the state as of the last command that was carried out and stands in the log.
func (s shown) Snapshot() (*raftpb.Snapshot, error) {
	kept, err := s.MemoryStorage.Snapshot()
	if err != nil || kept.GetMetadata().GetIndex() >= s.r.machine.index {
		return kept, err
	}
	if last, err := s.LastIndex(); err != nil || last < s.r.machine.index {
		return kept, err
	}
	return s.CreateSnapshot(s.r.machine.index, s.r.conf, s.r.machine.snapshot())
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

// Leads says whether this copy holds itself for the leader.
func (r *Replica) Leads() bool { return r.node != nil && r.Leader() == r.cfg.ID }

// Votes says whether this copy is a full member.
func (r *Replica) Votes() bool { return r.conf != nil && slices.Contains(r.conf.GetVoters(), r.cfg.ID) }

// Changing says whether the copies are being changed, as far as this one has applied: the majorities of before and after count.
func (r *Replica) Changing() bool { return len(r.conf.GetVotersOutgoing()) > 0 }

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

// Applied is the last command that was carried out, and the sum over all answers up to it.
func (r *Replica) Applied() (index, sum uint64) { return r.machine.index, r.machine.sum }

// Term is the election that this copy knows of.
func (r *Replica) Term() uint64 {
	if r.node == nil {
		return 0
	}
	return r.node.BasicStatus().HardState.GetTerm()
}

// Compare counts a copy whose sum differs at an index that both have applied.
func (r *Replica) Compare(index, sum uint64) bool {
	if r.machine.differs(index, sum) {
		r.Differing++
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
func (r *Replica) Tick(now Micros, present []Member, seen Presence) {
	defer r.guard()
	r.now, r.seen = now, seen
	if r.node == nil {
		return
	}
	if now-r.nextTick > 4*r.cfg.Tick { // the process stood still: others may lead by now, and it has to hear them first
		r.nextTick = now - 4*r.cfg.Tick
	}
	for ; r.nextTick <= now; r.nextTick += r.cfg.Tick {
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
		slow = slow || r.now-s.at >= slowTicks*r.cfg.Tick
	}
	if !slow || r.now < r.handedOver+restTicks*r.cfg.Tick {
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
		r.HandOvers++
		r.node.TransferLeader(to)
	}
}

// lapse proposes what time alone calls for. A new leader gives what is under way a moment first.
func (r *Replica) lapse() {
	if r.dueAt == 0 {
		r.dueAt = r.now + 2*electionTicks*r.cfg.Tick
	}
	if r.now < r.dueAt {
		return
	}
	r.dueAt = r.now + r.cfg.Tick*4
	for _, k := range r.machine.order {
		for _, body := range k.Due(r.now, r.seen) {
			_ = r.node.Propose(Command{Kind: k.ID(), Version: k.Version(), Body: body}.Encode()) // if dropped, it is due again
		}
	}
}

func (r *Replica) prune() {
	if r.now < r.pruned+routeLife {
		return
	}
	r.pruned = r.now
	maps.DeleteFunc(r.routes, func(_ route, at Micros) bool { return r.now-at > routeLife })
}

// Receive takes a message of another copy. One to a number that is not this copy's is for a disk that was lost.
func (r *Replica) Receive(now Micros, group uint64, message []byte) error {
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

// Ask takes a front end's question.
func (r *Replica) Ask(now Micros, c Command) {
	defer r.guard()
	r.now = now
	refuse := func(result Result) {
		leader := r.Leader()
		r.actions = append(r.actions, Reply{c.Asker, Answer{Seq: c.Seq, Result: result, Leader: leader}})
	}
	kind := r.machine.kinds[c.Kind]
	switch {
	case !r.Leads():
		refuse(NotLeader)
	case kind == nil || c.Version > kind.Version():
		refuse(Foreign)
	default:
		if err := r.node.Propose(c.Encode()); err != nil {
			refuse(Busy)
			return
		}
		r.routes[route{c.Asker, c.Seq}] = now
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

// Stored tells that what a Save held has been written, or why it was not: then this copy ends at once, since what a disk
// holds after a failed write nobody knows.
func (r *Replica) Stored(now Micros, token uint64, err error) {
	defer r.guard()
	r.now = now
	s, ok := r.saving[token]
	delete(r.saving, token)
	if !ok || r.node == nil {
		return
	}
	if err == nil {
		err = r.mirror(s)
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.respond(s.responses)
	r.ready()
}

// mirror keeps in memory what was written, where the library reads it.
func (r *Replica) mirror(s save) error {
	if !raft.IsEmptySnap(s.snapshot) {
		if err := r.log.ApplySnapshot(s.snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
	}
	if s.state != nil {
		if err := r.log.SetHardState(s.state); err != nil {
			return err
		}
	}
	return r.log.Append(s.entries)
}

// Broken is the library's word that a copy's log can't be what it has to be. It ends the copy, not the front end.
type Broken string

func (b Broken) Error() string { return "ledger: " + string(b) }

// guard ends the copy where the library has found it broken.
func (r *Replica) guard() {
	switch p := recover().(type) {
	case nil:
	case Broken:
		r.fail(p)
	default:
		panic(p)
	}
}

// Disable has this front end be no copy at all, for want of a disk that serves.
func (r *Replica) Disable(err error) { r.fail(err) }

// fail ends this copy; its front end goes on without.
func (r *Replica) fail(err error) {
	r.err, r.node = err, nil
	clear(r.saving)
}

func (r *Replica) save(s save, reset bool) {
	r.token++
	s.at = r.now
	r.saving[r.token] = s
	r.actions = append(r.actions, Save{Token: r.token, Group: r.group, Entries: s.entries, State: s.state, Snapshot: s.snapshot,
		Reset: reset})
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

// ready takes what the library has ready.
func (r *Replica) ready() {
	for r.node != nil && r.node.HasReady() {
		rd := r.node.Ready()
		if rd.SoftState != nil {
			if s := rd.SoftState.RaftState; s != r.lastState && (s == raft.StateCandidate || s == raft.StatePreCandidate) {
				r.Elections++
			}
			r.lastState = rd.SoftState.RaftState
		}
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				s := save{entries: m.GetEntries(), responses: m.GetResponses(), snapshot: m.GetSnapshot()}
				if m.GetTerm() != 0 || m.GetVote() != 0 || m.GetCommit() != 0 {
					term, vote, commit := m.GetTerm(), m.GetVote(), m.GetCommit()
					s.state = &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit}
				}
				if !raft.IsEmptySnap(s.snapshot) {
					if err := r.machine.restore(s.snapshot.GetData(), r.now); err != nil {
						r.fail(err)
						return
					}
					r.machine.index = s.snapshot.GetMetadata().GetIndex()
					r.conf = s.snapshot.GetMetadata().GetConfState()
				}
				r.save(s, !raft.IsEmptySnap(s.snapshot))
			case raft.LocalApplyThread:
				for _, e := range m.GetEntries() {
					if err := r.apply(e); err != nil {
						r.fail(err)
						return
					}
				}
				r.respond(m.GetResponses())
				r.compact()
			default:
				r.send(m)
			}
			if r.node == nil {
				return
			}
		}
	}
}

// apply carries out a committed entry.
func (r *Replica) apply(e *raftpb.Entry) error {
	r.logBytes += len(e.GetData()) + 32
	switch e.GetType() {
	case raftpb.EntryType_EntryConfChange, raftpb.EntryType_EntryConfChangeV2:
		change := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), change); err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
		named, err := DecodeMembers(change.GetContext())
		if err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
		for _, m := range named {
			r.machine.members[m.ID] = m
		}
		r.conf = r.node.ApplyConfChange(change)
		known := slices.Concat(r.conf.GetVoters(), r.conf.GetVotersOutgoing(), r.conf.GetLearners(), r.conf.GetLearnersNext())
		maps.DeleteFunc(r.machine.members, func(id uint64, _ Member) bool { return !slices.Contains(known, id) })
		r.machine.count(e.GetIndex(), nil)
		r.keeper.changed(r)
	default:
		if len(e.GetData()) == 0 {
			r.machine.count(e.GetIndex(), nil)
			return nil
		}
		c, a := r.machine.apply(e.GetIndex(), e.GetData(), r.now)
		r.Commits++
		if to := (route{c.Asker, c.Seq}); r.routes[to] != 0 {
			delete(r.routes, to)
			r.actions = append(r.actions, Reply{c.Asker, a})
		}
	}
	return nil
}

// compact takes a snapshot once the log has grown.
func (r *Replica) compact() {
	if r.logBytes < r.cfg.LogBytes || r.node == nil {
		return
	}
	r.logBytes = 0
	index := r.machine.index
	if last, err := r.log.LastIndex(); err != nil || last < index {
		return // what was applied is not yet mirrored; the next time it will be
	}
	snapshot, err := r.log.CreateSnapshot(index, r.conf, r.machine.snapshot())
	if err != nil {
		r.fail(err)
		return
	}
	r.Snapshots++
	if first, err := r.log.FirstIndex(); err == nil && index > keepEntries && index-keepEntries > first {
		if err := r.log.Compact(index - keepEntries); err != nil {
			r.fail(err)
			return
		}
	}
	r.save(save{snapshot: snapshot}, false)
}

func sortedIDs[V any](m map[uint64]V) []uint64 { return slices.Sorted(maps.Keys(m)) }
