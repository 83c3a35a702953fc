package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// serverAndClient is one control member and one attached front end whose messages the test delivers. Of further front
// ends there are only heartbeats, which the test sends.
type serverAndClient struct {
	t        *testing.T
	now      monotime.Micros
	server   *Server
	client   *Client
	link     Link
	others   int                // the number of further front ends
	drop     func(Message) bool // whether to lose a message to the client
	received []Message          // by the client
	errors   []error
}

var oneControl = []ControlMember{{Name: "m0", Zone: "za"}}

func newServerAndClient(t *testing.T, others int) *serverAndClient {
	p := &serverAndClient{t: t, now: 100 * second, others: others, drop: func(Message) bool { return false }}
	p.server = NewServer(Config{Name: "m0", Zone: "za", Incarnation: 1, ControlMembers: oneControl})
	p.client = NewClient(Config{Name: "f", Zone: "za", Incarnation: 2, ControlMembers: oneControl})
	p.link = Link{From: "f", Zone: "za", Incarnation: 2, ChallengedAt: p.now}
	p.sendHeartbeatsOfOthers()
	p.run(second)
	p.server.LinkOpened(p.now, p.link)
	p.client.LinkOpened(p.now, "m0", 1)
	p.run(second)
	p.requireAgreement()
	p.received = nil
	return p
}

// sendHeartbeatOf sends a heartbeat of the further front end i, as a process with that incarnation.
func (p *serverAndClient) sendHeartbeatOf(i int, incarnation uint64) {
	name := fmt.Sprintf("o%04d", i)
	l := Link{From: name, Zone: "za", Incarnation: incarnation, ChallengedAt: p.now}
	h := heartbeat{name: name, sentAt: p.now}
	require.NoError(p.t, p.server.Receive(p.now, l, Heartbeat, h.encode()))
}

// run advances the time in ticks of 50 ms, and sends the heartbeats of the further front ends each second.
func (p *serverAndClient) run(span monotime.Micros) {
	for end := p.now + span; p.now < end; {
		p.now += 50 * ms
		if p.now%second == 0 {
			p.sendHeartbeatsOfOthers()
		}
		p.server.Tick(p.now, nil)
		p.client.Tick(p.now)
		for range 4 {
			p.deliver()
		}
	}
}

// sendHeartbeatsOfOthers sends a heartbeat of each further front end.
func (p *serverAndClient) sendHeartbeatsOfOthers() {
	for i := range p.others {
		p.sendHeartbeatOf(i, uint64(100+i))
	}
}

func (p *serverAndClient) deliver() {
	for _, m := range p.client.TakeMessages() {
		p.recordError(p.server.Receive(p.now, p.link, m.Kind, m.Body))
	}
	for _, m := range p.server.TakeMessages() {
		if m.To == "f" && !p.drop(m) {
			p.received = append(p.received, m)
			p.recordError(p.client.Receive(p.now, "m0", 1, m.Kind, m.Body))
		}
	}
}

func (p *serverAndClient) recordError(err error) {
	if err != nil {
		p.errors = append(p.errors, err)
	}
}

func (p *serverAndClient) requireAgreement() {
	p.t.Helper()
	require.Equal(p.t, p.server.View().Entries(), p.client.View().Entries())
	require.Equal(p.t, p.server.View().Digest(), p.client.View().Digest())
	require.Less(p.t, p.client.View().Age(p.now), 2*second)
}

func (p *serverAndClient) contentOf(m Message) contentKind {
	v, err := decodeViewMessage(m.Body)
	require.NoError(p.t, err)
	return v.content
}

// A lost batch of changes of the view is detected by the version in the next answer or by the next batch, and is then
// sent from the log.
func TestLostBatchIsSentFromTheLog(t *testing.T) {
	p := newServerAndClient(t, 50)
	lost := 0
	p.drop = func(m Message) bool {
		if lost == 0 && p.contentOf(m) == changesSince {
			lost++
			return true
		}
		return false
	}
	p.sendHeartbeatOf(60, 60)
	p.run(2500 * ms)
	require.Equal(t, 1, lost)
	p.requireAgreement()
	require.Equal(t, 1, p.server.Counters.CatchUps)
	require.Equal(t, 1, p.client.Counters.Snapshots, "only the first")

	lost = 0
	p.sendHeartbeatOf(61, 61)
	p.run(100 * ms)
	p.sendHeartbeatOf(62, 62)
	p.run(200 * ms)
	require.Equal(t, 1, p.client.Counters.Gaps)
	p.requireAgreement()
	require.Equal(t, 2, p.server.Counters.CatchUps)
}

// If the log does not reach back far enough, the digests of the 64 buckets show which differ, and only those are sent.
func TestBeyondTheLogOnlyDifferingBucketsAreSent(t *testing.T) {
	p := newServerAndClient(t, 400)
	snapshotBytes := p.client.Counters.SnapshotBytes
	p.drop = func(Message) bool { return true }
	for i := range maxLogBatches + 10 {
		p.sendHeartbeatOf(1000+i%6, uint64(5000+i))
		p.sendHeartbeatOf(1000+i%6, uint64(5000+i))
		p.server.publishTable()
		p.server.publishView()
		p.now += 20 * second // long enough for the rate limit of changes
		p.sendHeartbeatsOfOthers()
		h := heartbeat{name: "f", sentAt: 1, subscribe: true}
		p.recordError(p.server.Receive(p.now, p.link, Heartbeat, h.encode()))
		p.server.Tick(p.now, nil)
		p.server.TakeMessages()
	}
	p.drop = func(Message) bool { return false }
	p.client.LinkOpened(p.now, "m0", 1)
	p.run(2 * second)
	p.requireAgreement()
	require.Equal(t, 1, p.client.Counters.Snapshots)
	require.Equal(t, 1, p.client.Counters.DigestRepairs)
	require.Less(t, p.client.Counters.RepairBytes, snapshotBytes/3)
}

// A subscriber whose queue is full gets no further batches until its next heartbeat, and then those that it missed from
// the log. Other subscribers are not delayed.
func TestSubscriberWithAFullQueueResumesFromTheLog(t *testing.T) {
	p := newServerAndClient(t, 20)
	quick := Link{From: "quick", Zone: "za", Incarnation: 3, ChallengedAt: p.now}
	h := heartbeat{name: "quick", sentAt: p.now, subscribe: true, resume: true}
	require.NoError(t, p.server.Receive(p.now, quick, Heartbeat, h.encode()))
	p.run(100 * ms)
	p.server.QueueFull(p.now, "f", 2)
	p.run(1500 * ms)
	p.requireAgreement()
	require.Zero(t, p.server.Counters.CatchUps, "no batch was missed")
	p.server.QueueFull(p.now, "f", 2)
	require.Equal(t, 2, p.server.Counters.FullQueues)
	to := map[string]int{}
	for i := range 5 {
		p.sendHeartbeatOf(100+i, uint64(1000+i))
		p.now += 50 * ms
		p.server.Tick(p.now, nil)
		for _, m := range p.server.TakeMessages() {
			to[m.To]++
		}
	}
	require.Equal(t, 5, to["quick"])
	require.Zero(t, to["f"])
	p.run(1500 * ms)
	p.requireAgreement()
	require.Equal(t, 1, p.client.Counters.Snapshots)
	require.Equal(t, 1, p.server.Counters.CatchUps)
}

// Batches and the snapshot are encoded once and shared by all subscribers.
func TestSubscribersShareBodies(t *testing.T) {
	p := newServerAndClient(t, 300)
	var bodies [][]byte
	for _, name := range []string{"a", "b", "c"} {
		h := heartbeat{name: name, subscribe: true, resume: true}
		link := Link{From: name, Zone: "za", Incarnation: rendezvousWeight(name, "", 0), ChallengedAt: p.now}
		require.NoError(t, p.server.Receive(p.now, link, Heartbeat, h.encode()))
	}
	for _, m := range p.server.TakeMessages() {
		if p.contentOf(m) == fullBuckets {
			bodies = append(bodies, m.Body)
		}
	}
	require.Len(t, bodies, 3)
	assert.Same(t, &bodies[0][0], &bodies[1][0])
	assert.Same(t, &bodies[0][0], &bodies[2][0])
	bodies = nil
	p.now += 50 * ms
	p.server.Tick(p.now, nil)
	for _, m := range p.server.TakeMessages() {
		if p.contentOf(m) == changesSince {
			bodies = append(bodies, m.Body)
		}
	}
	require.Len(t, bodies, 4)
	assert.Same(t, &bodies[0][0], &bodies[3][0])
}

// A subscriber whose digests never agree gets repairs at a limited rate, and its link is eventually closed.
func TestSubscriberThatNeverAgreesLosesItsLink(t *testing.T) {
	p := newServerAndClient(t, 20)
	l := Link{From: "odd", Zone: "za", Incarnation: 3, ChallengedAt: p.now}
	var err error
	heartbeats, repairs := 0, -p.server.Counters.Snapshots-p.server.Counters.DigestRepairs
	for ; err == nil && heartbeats < 1000; heartbeats++ {
		p.now += 100 * ms
		h := heartbeat{name: "odd", subscribe: true, resume: true, digest: 1, bucketDigests: make([]uint32, bucketCount)}
		err = p.server.Receive(p.now, l, Heartbeat, h.encode())
		p.server.Tick(p.now, nil)
	}
	require.ErrorIs(t, err, ErrDigestMismatch)
	repairs += p.server.Counters.Snapshots + p.server.Counters.DigestRepairs
	require.Equal(t, maxConsecutiveRepairs, repairs)
	p.server.LinkClosed(p.now, l)
	l.ChallengedAt = p.now
	p.server.LinkOpened(p.now, l)
	for range 100 {
		p.now += 100 * ms
		h := heartbeat{name: "odd", subscribe: true, resume: true}
		require.NoError(t, p.server.Receive(p.now, l, Heartbeat, h.encode()), "a new link is not closed at once")
	}
	require.Greater(t, heartbeats, 80, "the link is closed after 8 s or later")
	require.Greater(t, p.server.Counters.RateLimited, 70)
}

// Repairs after which the view agreed do not count towards the limit that closes a subscriber's link.
func TestSuccessfulRepairsDoNotCountAgainstASubscriber(t *testing.T) {
	p := newServerAndClient(t, 20)
	l := Link{From: "odd", Zone: "za", Incarnation: 3, ChallengedAt: p.now}
	for range 3 * maxConsecutiveRepairs {
		p.now += 10 * second
		p.server.now = p.now // not taken for a pause
		h := heartbeat{name: "odd", subscribe: true, resume: true}
		require.NoError(t, p.server.Receive(p.now, l, Heartbeat, h.encode()))
		h = heartbeat{name: "odd", subscribe: true, epoch: 1, sequence: p.server.sequence, digest: p.server.View().Digest()}
		require.NoError(t, p.server.Receive(p.now, l, Heartbeat, h.encode()))
	}
}

// The answer to a heartbeat that was sent before a pause does not make the view current when it is read after the
// pause.
func TestAnswerFromBeforeAPauseConfirmsNothingLater(t *testing.T) {
	p := newServerAndClient(t, 3)
	var dropped []Message
	p.drop = func(m Message) bool {
		dropped = append(dropped, m)
		return true
	}
	p.run(1050 * ms)
	p.now += 30 * second
	for _, m := range dropped {
		require.NoError(t, p.client.Receive(p.now, "m0", 1, m.Kind, m.Body))
	}
	require.Equal(t, 1, p.client.Counters.Pauses)
	require.GreaterOrEqual(t, p.client.View().Age(p.now), 30*second)
	p.drop = func(Message) bool { return false }
	p.run(100 * ms)
	require.Less(t, p.client.View().Age(p.now), second)
}

// The limit of a client's view also applies to the entries that changes add.
func TestClientViewIsBounded(t *testing.T) {
	p := newServerAndClient(t, 4)
	p.client.cfg.MaxEntries = p.client.View().Len()
	e := change{Entry: Entry{Name: "n", Zone: "za", Role: Attached, Incarnation: 77, Home: "m0"}}
	m := p.server.versionMessage()
	m.sequence++
	m.digest = p.client.View().digestAfter([]change{e})
	m.content, m.baseSequence, m.entries = changesSince, p.client.sequence, encodeChanges([]change{e})
	require.ErrorIs(t, p.client.Receive(p.now, "m0", 1, ViewUpdate, m.encode()), ErrTooManyEntries)
	require.Equal(t, 1, p.client.Counters.Oversized)
	p.requireAgreement()
}

// A heartbeat with another name than the link's, a message of another kind, and malformed bytes are rejected and change
// nothing.
func TestInvalidHeartbeatsAreRejected(t *testing.T) {
	p := newServerAndClient(t, 3)
	l := Link{From: "g", Zone: "za", Incarnation: 9, ChallengedAt: p.now}
	h := heartbeat{name: "f", sentAt: p.now}
	require.ErrorIs(t, p.server.Receive(p.now, l, Heartbeat, h.encode()), ErrNameMismatch)
	require.Equal(t, 1, p.server.Counters.NameMismatches)
	require.ErrorIs(t, p.server.Receive(p.now, l, Heartbeat, []byte("garbage")), ErrMalformed)
	require.ErrorIs(t, p.server.Receive(p.now, l, ViewUpdate, nil), ErrUnexpectedKind)
	require.Equal(t, 2, p.server.Counters.Malformed)
	p.run(200 * ms)
	_, ok := p.server.View().Lookup("g")
	require.False(t, ok)
}

// viewUpdateWith encodes a message from the server with full buckets of the current version of the view, after modify
// has changed the message.
func (p *serverAndClient) viewUpdateWith(mask uint64, entries []change, modify func(*viewMessage)) []byte {
	m := p.server.versionMessage()
	m.content, m.bucketMask, m.entries = fullBuckets, mask, encodeChanges(entries)
	modify(&m)
	return m.encode()
}

// Invalid messages from a home are rejected and counted, and leave the view as it is.
func TestInvalidViewMessagesAreRejected(t *testing.T) {
	p := newServerAndClient(t, 20)
	list := p.server.View().entriesIn(allBuckets)
	unmodified := func(*viewMessage) {}
	withEntry := func(e Entry) []change {
		entries := slices.Clone(list)
		at := slices.IndexFunc(entries, func(c change) bool { return c.Name > e.Name })
		return slices.Insert(entries, at, change{Entry: e})
	}
	unknownHome := withEntry(Entry{Name: "n", Zone: "za", Role: Attached, Incarnation: 77, Home: "mx"})
	bomb, compressed := (&compressor{}).compress(make([]byte, 8192*maxEntrySize+1000))
	require.True(t, compressed)
	tooMany := make([]change, DefaultMaxEntries+1)
	for i := range tooMany {
		tooMany[i] = change{Entry: Entry{
			Name: fmt.Sprintf("x%05d", i), Role: Attached, Incarnation: uint64(i + 1), Home: "m0"}}
	}
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	c := p.client
	for _, step := range []struct {
		name   string
		count  *int
		target error
		body   []byte
	}{
		{"an unknown home", &c.Counters.UnknownHomes, ErrUnknownHome, p.viewUpdateWith(allBuckets, unknownHome, unmodified)},
		{"more than the limit", &c.Counters.Oversized, ErrTooManyEntries, p.viewUpdateWith(allBuckets, tooMany, unmodified)},
		{"decompressed more than the limit", &c.Counters.Oversized, ErrTooManyEntries,
			p.viewUpdateWith(allBuckets, nil, func(m *viewMessage) { m.entries, m.compressed = bomb, true })},
		{"not compressed", &c.Counters.Malformed, ErrMalformed,
			p.viewUpdateWith(allBuckets, list, func(m *viewMessage) { m.compressed = true })},
		{"out of order", &c.Counters.Malformed, ErrMalformed, p.viewUpdateWith(allBuckets, reversed, unmodified)},
		{"not in the buckets", &c.Counters.Malformed, ErrMalformed,
			p.viewUpdateWith(1<<(1+bucketOf("m0"))%bucketCount, list[:1], unmodified)},
		{"an unknown content", &c.Counters.Malformed, ErrMalformed,
			p.viewUpdateWith(allBuckets, list, func(m *viewMessage) { m.content = 9 })},
		{"another digest", &c.Counters.DigestMismatches, ErrDigestMismatch,
			p.viewUpdateWith(allBuckets, list[1:], unmodified)},
		{"a snapshot of an empty view", &c.Counters.DigestMismatches, ErrDigestMismatch,
			p.viewUpdateWith(allBuckets, nil, unmodified)},
	} {
		before, view := *step.count, c.View().Entries()
		err := c.Receive(p.now, "m0", 1, ViewUpdate, step.body)
		require.ErrorIs(t, err, step.target, step.name)
		require.Equal(t, before+1, *step.count, step.name)
		require.Equal(t, view, c.View().Entries(), step.name)
	}
	require.ErrorIs(t, c.Receive(p.now, "mx", 1, ViewUpdate, nil), ErrUnknownHome)
	require.ErrorIs(t, c.Receive(p.now, "m0", 1, Heartbeat, nil), ErrUnexpectedKind)
	otherEpoch := p.viewUpdateWith(allBuckets, nil, func(m *viewMessage) { m.epoch = 7 })
	require.NoError(t, c.Receive(p.now, "m0", 1, ViewUpdate, otherEpoch))
	require.NoError(t, c.Receive(p.now, "m0", 7, ViewUpdate, otherEpoch))
	require.Equal(t, 2, c.Counters.StaleEpochs)
	p.requireAgreement()
	p.run(3 * second)
	p.requireAgreement()
}

// Changes that do not lead to the message's digest are not applied. The buckets that differ are requested, and a
// snapshot if that does not help. The link to a home whose digests never agree is closed.
func TestHomeThatNeverAgreesLosesItsLink(t *testing.T) {
	p := newServerAndClient(t, 20)
	e := Entry{Name: "n", Zone: "za", Role: Attached, Incarnation: 77, Home: "m0"}
	wrongUpdate := func() []byte {
		m := p.server.versionMessage()
		m.sequence++
		m.content, m.baseSequence, m.entries = changesSince, p.client.sequence, encodeChanges([]change{{Entry: e}})
		return m.encode()
	}
	require.NoError(t, p.client.Receive(p.now, "m0", 1, ViewUpdate, wrongUpdate()))
	_, ok := p.client.View().Lookup("n")
	require.False(t, ok)
	p.run(2 * second)
	p.requireAgreement()
	require.Equal(t, 1, p.client.Counters.DigestMismatches)
	var err error
	updates := 0
	for ; err == nil && updates < 100; updates++ {
		err = p.client.Receive(p.now, "m0", 1, ViewUpdate, wrongUpdate())
	}
	require.ErrorIs(t, err, ErrDigestMismatch)
	require.Equal(t, maxDigestFailures+1, updates)
	heartbeats := len(p.client.TakeMessages())
	require.LessOrEqual(t, heartbeats, 1, "requests for repairs are rate limited")
}

// A front end that restarts all the time changes the view at a limited rate, and its last process is eventually shown.
func TestFlappingFrontEndIsDamped(t *testing.T) {
	p := newServerAndClient(t, 5)
	p.run(second)
	changes, batches := p.server.Counters.Changes, p.server.ownTable.sequence
	for i := range 600 { // a new process every 100 ms
		p.now += 50 * ms
		p.sendHeartbeatOf(77, uint64(10_000+i))
		p.run(50 * ms)
	}
	changes = p.server.Counters.Changes - changes
	assert.GreaterOrEqual(t, changes, 20)
	assert.LessOrEqual(t, changes, 20+6+1, "in a minute")
	assert.LessOrEqual(t, p.server.ownTable.sequence-batches, uint64(20+6+1), "the table's batches are limited too")
	assert.NotZero(t, p.server.Counters.Damped)
	for range 25 {
		p.sendHeartbeatOf(77, 10_599)
		p.run(second)
	}
	e, _ := p.client.View().Lookup("o0077")
	require.Equal(t, Entry{Name: "o0077", Zone: "za", Role: Attached, Incarnation: 10_599, State: Alive, Home: "m0"}, e)
	p.requireAgreement()
}
