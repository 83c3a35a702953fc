package membership

import (
	"cmp"
	"fmt"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// firstSlotWait is how long a client at its start waits for the first slot before it takes the view from the second.
	firstSlotWait monotime.Micros = 2_000_000
	// steadySpan is how long the first slot has to be heard before the view is taken from it again.
	steadySpan monotime.Micros = 3_000_000
	// resumeGap is between two requests of what is missing, beside the heartbeats.
	resumeGap monotime.Micros = 300_000
	// conflictSpan is for how long a home has to show a process alive before that counts more than what was seen of it elsewhere.
	// It is longer than the evidence of any home that is not there.
	conflictSpan monotime.Micros = 30_000_000
	// mostFailures is how many times in a row what a control member sends may not agree before its link is closed.
	mostFailures = 6
)

// Client is an attached front end's part.
type Client struct {
	// Counters may be read at any time.
	Counters Counters

	cfg     Config
	now     monotime.Micros
	due     monotime.Micros // when a call was due at the latest
	started bool
	first   monotime.Micros // the time of the start
	random  random
	leaving bool

	controls []*control // by name
	byName   map[string]*control
	slots    [2]slot

	home     *control
	view     *View
	epoch    uint64 // the process of a control member whose version the view is; 0 for none
	sequence uint64
	failures int             // in a row, in which what the home sent did not agree
	whole    bool            // only the whole view helps
	conflict monotime.Micros // since when the home shows a process that was replaced; 0 where it doesn't
	unpacker unpacker

	actions []Message
}

// NewClient begins without links and with an empty view.
func NewClient(cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{cfg: cfg, view: newView(), byName: map[string]*control{}}
	c.random = random(fnvOffset.text(cfg.Name).number(cfg.Seed).number(cfg.Incarnation).mixed())
	for _, o := range cfg.ControlMembers {
		if c.byName[o.Name] == nil && o.Name != cfg.Name {
			kept := &control{name: o.Name, zone: o.Zone}
			c.controls = append(c.controls, kept)
			c.byName[o.Name] = kept
		}
	}
	slices.SortFunc(c.controls, func(a, b *control) int { return cmp.Compare(a.name, b.name) })
	return c
}

// pass lets time pass. A call that comes much later than due says that this process was stopped: what was not heard meanwhile
// says nothing of the control members, and the view is as old as the gap says until it is confirmed.
func (c *Client) pass(now monotime.Micros) {
	if !c.started {
		c.started, c.first, c.now = true, now, now
		c.prefer()
	}
	if gap := now - c.due; c.due != 0 && gap > c.cfg.PauseThreshold {
		c.Counters.Pauses++
		for _, o := range c.controls {
			o.heard, o.asked = o.heard+gap, o.asked+gap
		}
	}
	c.now = max(c.now, now)
}

// planned notes when the next call is due.
func (c *Client) planned() { c.due = c.Next() }

// Tick lets time pass. It is to be called no later than Next says, and may be called more often.
func (c *Client) Tick(now monotime.Micros) {
	c.pass(now)
	defer c.planned()
	c.moveSlots()
	c.chooseHome()
	c.beat()
}

// beat sends the heartbeats that are due.
func (c *Client) beat() {
	for _, o := range c.wanted() {
		if o.linked && c.now >= o.beat {
			c.sendHeartbeat(o)
			o.beat = c.now + c.cfg.HeartbeatInterval
		}
	}
}

// Next is when Tick has something to do.
func (c *Client) Next() monotime.Micros {
	next := c.now + c.cfg.HeartbeatInterval
	for i := range c.slots {
		s := &c.slots[i]
		if s.current == nil && s.preferred != nil {
			next = min(next, s.due)
		}
		if s.back > c.now {
			next = min(next, s.back)
		}
	}
	for _, o := range c.wanted() {
		if o.linked {
			next = min(next, o.beat)
		}
		for _, span := range []monotime.Micros{c.cfg.SuspectAfter, c.cfg.DeadAfter} {
			if at := max(o.heard, o.asked) + span; at > c.now {
				next = min(next, at)
			}
		}
	}
	return max(next, c.now)
}

// LinkOpened says that a link to that process of a control member is open.
func (c *Client) LinkOpened(now monotime.Micros, control string, incarnation uint64) {
	c.pass(now)
	defer c.planned()
	o := c.byName[control]
	if o == nil {
		return
	}
	if o.incarnation != incarnation {
		o.clock, o.lastAnswer = offset{}, lastAnswer{}
	}
	o.linked, o.served, o.incarnation, o.leaving, o.behind = true, false, incarnation, false, false
	o.heard, o.steady, o.beat = c.now, c.now, c.now
	c.chooseHome()
	c.beat()
	// The next ones of front ends that started together are spread over the span.
	o.beat = c.now + c.cfg.HeartbeatInterval/2 + c.random.span(0, c.cfg.HeartbeatInterval/2)
}

// LinkClosed says that the link to a control member is closed, or could not be opened. One that closes the link before it has sent
// anything doesn't take this front end, and is as good as not reached.
func (c *Client) LinkClosed(now monotime.Micros, control string) {
	c.pass(now)
	defer c.planned()
	o := c.byName[control]
	if o == nil {
		return
	}
	if slices.Contains(c.wanted(), o) {
		c.lose(o, !o.linked || !o.served)
	}
	o.linked = false
	c.chooseHome()
	c.beat()
}

// fresh says whether a control member was heard of late.
func (c *Client) fresh(o *control) bool {
	return o != nil && o.linked && !o.leaving && c.now-o.heard < c.cfg.SuspectAfter
}

// chooseHome takes the view from the first slot, and from the second at once where the first is lost.
func (c *Client) chooseHome() {
	first, second := c.slots[0].current, c.slots[1].current
	held := c.home != nil && c.home.linked && (c.home == first || c.home == second)
	switch {
	case c.fresh(first) && (c.home == first || !held || !c.fresh(c.home) || c.returns(first)):
		c.setHome(first)
	case held && c.fresh(c.home):
	case !held && c.starts():
		c.setHome(nil)
	case c.fresh(second):
		c.setHome(second)
	case !held:
		c.setHome(nil)
	}
}

// returns says whether the view is to be taken from the first slot again. A replacement does not get it back: one change of home
// less is told to the whole fleet.
func (c *Client) returns(first *control) bool {
	return first == c.slots[0].preferred && c.now-first.steady >= steadySpan
}

// starts says whether the first slot may yet get its first link.
func (c *Client) starts() bool {
	preferred := c.slots[0].preferred
	return c.now-c.first < firstSlotWait && preferred != nil && preferred.failures == 0 && c.epoch == 0
}

func (c *Client) setHome(o *control) {
	if c.home == o {
		return
	}
	if c.home != nil {
		c.home.beat = c.now
	}
	c.home = o
	c.failures, c.whole, c.conflict = 0, false, 0
	c.Counters.HomeChanges++
	if o != nil {
		o.beat = c.now
	}
}

// Home is the control member that serves this front end's view and forwards for it; empty without one.
func (c *Client) Home() string {
	if c.home == nil {
		return ""
	}
	return c.home.name
}

// View is the view as last received. It changes with the calls above.
func (c *Client) View() *View { return c.view }

// Leave says that this front end ends as planned, which the next heartbeats tell.
func (c *Client) Leave() {
	if c.leaving {
		return
	}
	c.leaving = true
	for _, o := range c.wanted() {
		if o.linked {
			c.sendHeartbeat(o)
		}
	}
}

func (c *Client) sendHeartbeat(o *control) {
	h := heartbeat{name: c.cfg.Name, sent: c.now, leaving: c.leaving, subscribe: o == c.home}
	if h.subscribe {
		c.state(o, &h)
	}
	c.Counters.Heartbeats++
	if len(c.actions) < mostActions {
		c.actions = append(c.actions, Message{To: o.name, Kind: Heartbeat, Body: h.encode()})
	}
}

// state says how far the view is, and what is needed to follow the home.
func (c *Client) state(o *control, h *heartbeat) {
	h.resume = o.behind || o.wantsSums || c.epoch != o.incarnation
	switch {
	case c.whole:
		h.resume = true
	case c.epoch == o.incarnation && !o.wantsSums:
		h.epoch, h.sequence, h.digest = c.epoch, c.sequence, c.view.Digest()
	case c.view.Len() > 0:
		h.digest = c.view.Digest()
		h.sums = make([]uint32, buckets)
		for i := range h.sums {
			h.sums[i] = uint32(c.view.sums[i])
		}
	}
}

// Actions gives what is to be sent, and forgets it.
func (c *Client) Actions() []Message {
	list := c.actions
	c.actions = nil
	return list
}

// Receive takes a message of a control member; after an error the link is to be closed.
func (c *Client) Receive(now monotime.Micros, control string, incarnation uint64, kind Kind, body []byte) error {
	c.pass(now)
	defer c.planned()
	o := c.byName[control]
	if o == nil {
		c.Counters.UnknownHomes++
		return fmt.Errorf("%w: %q", ErrUnknownHome, control)
	}
	if kind != ViewUpdate {
		c.Counters.Malformed++
		return fmt.Errorf("%w: %s", ErrUnexpectedKind, kind)
	}
	m, err := decodeView(body)
	if err != nil {
		c.Counters.Malformed++
		return err
	}
	if o.linked && incarnation != o.incarnation || m.epoch != incarnation {
		c.Counters.StaleEpochs++
		return nil
	}
	if !o.linked {
		return nil // given up
	}
	if c.now-o.heard >= c.cfg.SuspectAfter {
		o.steady = c.now
	}
	o.served, o.heard, o.failures = true, c.now, 0
	o.clock.observe(c.now, m.sent)
	if m.leaving && !o.leaving {
		o.leaving = true
		c.chooseHome()
		c.beat()
	}
	if o != c.home {
		return nil
	}
	return c.follow(o, &m)
}

// follow takes what the home says of the view.
func (c *Client) follow(o *control, m *viewMessage) error {
	switch m.content {
	case someChanges:
		return c.takeChanges(o, m)
	case someBuckets:
		return c.takeBuckets(o, m)
	}
	if !m.answers {
		return nil
	}
	if m.unknown {
		o.wantsSums = true
		c.resume(o)
		return nil
	}
	c.compare(o, m)
	return nil
}

// compare takes the answer to a heartbeat: the view is confirmed, or behind, which the next heartbeat tells.
func (c *Client) compare(o *control, m *viewMessage) {
	if m.echo <= c.now {
		o.lastAnswer = lastAnswer{true, m.sequence, m.echo}
	}
	if c.epoch != o.incarnation || m.sequence < c.sequence {
		return
	}
	same := m.sequence == c.sequence
	if same && m.digest == c.view.Digest() {
		o.behind, o.wantsSums, c.failures, c.whole = false, false, 0, false
		c.confirm(o)
		c.settle()
		return
	}
	o.behind = true
	if same {
		c.Counters.DigestMismatches++
		o.wantsSums = true
	}
}

// confirm notes that the view is as far as an answer said.
func (c *Client) confirm(o *control) {
	if o.lastAnswer.answered && c.sequence >= o.lastAnswer.sequence {
		c.view.confirm(o.lastAnswer.asked)
	}
}

// settle takes a home's word in the end where it goes on showing a process alive which this view has had replaced.
func (c *Client) settle() {
	if c.view.conflict && !c.view.endConflicts(c.conflict != 0 && c.now-c.conflict >= conflictSpan) {
		c.conflict = 0
	}
	if c.view.conflict && c.conflict == 0 {
		c.conflict = c.now
	}
}

// resume asks for what is missing without waiting for the next heartbeat, at a bounded rate.
func (c *Client) resume(o *control) {
	if c.now-o.lastResume < resumeGap {
		return
	}
	o.lastResume = c.now
	c.sendHeartbeat(o)
}

func (c *Client) takeChanges(o *control, m *viewMessage) error {
	switch {
	case c.epoch != o.incarnation || m.sequence <= c.sequence:
		return nil
	case m.base > c.sequence:
		c.Counters.Gaps++
		o.behind = true
		c.resume(o)
		return nil
	}
	changes, err := c.entries(o, m)
	if err != nil {
		return err
	}
	return c.take(o, m, changes, false)
}

func (c *Client) takeBuckets(o *control, m *viewMessage) error {
	if c.epoch == o.incarnation && m.sequence < c.sequence {
		return nil
	}
	entries, err := c.entries(o, m)
	if err != nil {
		return err
	}
	for i := range entries {
		if entries[i].removed || m.mask&(1<<bucketOf(entries[i].Name)) == 0 {
			c.Counters.Malformed++
			return fmt.Errorf("%w: %q is not of the parts told", ErrMalformed, entries[i].Name)
		}
	}
	whole := m.mask == allBuckets
	if whole {
		c.Counters.Snapshots++
		c.Counters.SnapshotBytes += len(m.entries)
	} else {
		c.Counters.DigestRepairs++
		c.Counters.RepairBytes += len(m.entries)
	}
	return c.take(o, m, c.view.replacing(m.mask, entries), whole)
}

// entries reads and checks what a message carries.
func (c *Client) entries(o *control, m *viewMessage) ([]change, error) {
	b := m.entries
	var err error
	if m.packed {
		b, err = c.unpacker.unpack(b, c.cfg.MaxEntries*entrySize)
	}
	var list []change
	if err == nil {
		list, err = decodeChanges(&o.clock, b, c.cfg.MaxEntries)
	}
	if err == nil {
		for i := range list {
			if !list[i].removed && c.byName[list[i].Home] == nil {
				c.Counters.UnknownHomes++
				return nil, fmt.Errorf("%w: %q", ErrUnknownHome, list[i].Home)
			}
		}
		return list, nil
	}
	if isOversized(err) {
		c.Counters.Oversized++
	} else {
		c.Counters.Malformed++
	}
	return nil, err
}

// take applies changes where the view then has the digest that was told; else it stays as it is, and the rest is asked for.
func (c *Client) take(o *control, m *viewMessage, changes []change, whole bool) error {
	if c.view.lenAfter(changes) > c.cfg.MaxEntries {
		c.Counters.Oversized++
		return ErrTooManyEntries
	}
	if c.view.digestAfter(changes) != m.digest {
		return c.disagree(o, m, whole)
	}
	from := followed
	if m.content == someBuckets {
		from = resumed
	}
	c.view.apply(changes, from)
	c.Counters.Changes += len(changes)
	if m.content == someChanges {
		c.Counters.Pushes++
		c.Counters.PushBytes += len(m.entries)
	}
	c.epoch, c.sequence = o.incarnation, m.sequence
	o.behind, o.wantsSums, c.whole = false, false, false
	c.confirm(o)
	return nil
}

// disagree asks for the parts that differ, and for the whole view where that did not help.
func (c *Client) disagree(o *control, m *viewMessage, whole bool) error {
	c.Counters.DigestMismatches++
	c.failures++
	if whole || c.failures > mostFailures {
		c.Counters.Malformed++
		return fmt.Errorf("%w: what %q sends", ErrDigestMismatch, o.name)
	}
	c.whole = m.content == someBuckets
	o.wantsSums = true
	c.resume(o)
	return nil
}
