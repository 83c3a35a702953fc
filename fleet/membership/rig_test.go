package membership

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

const (
	ms     monotime.Micros = 1000
	second                 = 1000 * ms
)

// event is a function to be called at a virtual time. Events at the same time are called in the order of scheduling.
type event struct {
	at    monotime.Micros
	order int
	do    func()
}

// eventQueue is a heap of events; the first is the next to be called.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// messageOverhead is the number of bytes that framing adds to a message.
const messageOverhead = 50

// testLink is a link of a client to a server.
type testLink struct {
	client             *testClient
	server             *testServer
	link               Link
	controlIncarnation uint64 // the server's incarnation
	closed             bool
}

// testServer is a control member of a testFleet. Each start replaces its Server.
type testServer struct {
	challengedAt monotime.Micros // when its process answered its first challenge
	*Server
	cfg      Config
	up       bool
	paused   bool
	backlog  []func() // what arrived while it was paused
	bytesOut int      // sent to clients
}

// testClient is an attached front end of a testFleet. Each restart replaces its Client.
type testClient struct {
	*Client
	cfg               Config
	up                bool
	paused            bool
	backlog           []func() // what arrived while it was paused
	links             map[string]*testLink
	dialing           map[string]bool
	bytesIn, bytesOut int
}

// testFleet runs servers and clients in virtual time over a network that may lose, delay and duplicate messages, and
// that may be partitioned. Opening a link takes some time, and a message is lost if its link is closed before it
// arrives. The seed determines everything.
type testFleet struct {
	t                     testing.TB
	now                   monotime.Micros
	queue                 eventQueue
	order                 int
	random                splitMix64
	servers               []*testServer
	clients               []*testClient
	serversByName         map[string]*testServer
	clientsByName         map[string]*testClient
	lostPerThousand       int // messages
	duplicatedPerThousand int // messages
	maxDelay              monotime.Micros
	partitioned           func(from, to string) bool // whether messages from one to the other are lost
	lastIncarnation       uint64                     // the last process's, without its random bits
	controls              []ControlMember
	queueFull             func(c *testClient) bool // whether servers' queues to it are full
	check                 func()                   // called after each tick
	errors                []error                  // of received messages
}

func newTestFleet(t testing.TB, seed uint64, zones ...string) *testFleet {
	f := &testFleet{
		t:               t,
		random:          splitMix64(seed),
		serversByName:   map[string]*testServer{},
		clientsByName:   map[string]*testClient{},
		lastIncarnation: 100,
		maxDelay:        5 * ms,
		partitioned:     func(_, _ string) bool { return false },
		queueFull:       func(*testClient) bool { return false },
		check:           func() {},
	}
	for i, zone := range zones {
		f.controls = append(f.controls, ControlMember{Name: fmt.Sprintf("m%02d", i), Zone: zone})
	}
	for _, c := range f.controls {
		s := &testServer{cfg: Config{Name: c.Name, Zone: c.Zone, ControlMembers: f.controls, Seed: seed}}
		f.servers = append(f.servers, s)
		f.serversByName[c.Name] = s
		f.startServer(s)
	}
	for _, s := range f.servers {
		f.every(50*ms, func() { f.tickServer(s) })
		f.every(100*ms, func() { f.sendVersions(s) })
	}
	return f
}

func (f *testFleet) schedule(delay monotime.Micros, do func()) {
	f.order++
	heap.Push(&f.queue, event{f.now + delay, f.order, do})
}

// every calls a function at a fixed interval, the first time after a random part of it.
func (f *testFleet) every(interval monotime.Micros, do func()) {
	var again func()
	again = func() {
		do()
		f.schedule(interval, again)
	}
	f.schedule(f.random.between(0, interval), again)
}

// run advances the time by a span, and calls the events that are due.
func (f *testFleet) run(span monotime.Micros) {
	end := f.now + span
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// newIncarnation returns an incarnation greater than all before.
func (f *testFleet) newIncarnation() uint64 {
	f.lastIncarnation++
	return f.lastIncarnation<<20 | f.random.next()>>44
}

// startServer starts a new process of a server.
func (f *testFleet) startServer(s *testServer) {
	s.cfg.Incarnation = f.newIncarnation()
	s.Server, s.up, s.challengedAt = NewServer(s.cfg), true, f.now+f.maxDelay
}

// stopServer ends a server's process; its links break.
func (f *testFleet) stopServer(s *testServer) {
	s.up = false
	for _, c := range f.clients {
		if l := c.links[s.cfg.Name]; l != nil {
			f.closeLink(l)
		}
	}
}

// membersSeenBy returns the other control members as package heartbeat reports them to one of them.
func (f *testFleet) membersSeenBy(s *testServer) (list []ControlMember) {
	for _, other := range f.servers {
		if other == s {
			continue
		}
		m := ControlMember{
			Name:         other.cfg.Name,
			Zone:         other.cfg.Zone,
			Incarnation:  other.cfg.Incarnation,
			State:        Alive,
			ChallengedAt: other.challengedAt,
		}
		switch partitioned := f.partitioned(other.cfg.Name, s.cfg.Name); {
		case !other.up || other.paused:
			m.State = Dead
		case partitioned && slices.ContainsFunc(f.servers, func(via *testServer) bool {
			return via != other && via != s && via.up &&
				!f.partitioned(other.cfg.Name, via.cfg.Name) && !f.partitioned(via.cfg.Name, s.cfg.Name)
		}):
			m.IndirectlyAlive = true
		case partitioned:
			m.State = Dead
		}
		list = append(list, m)
	}
	return list
}

func (f *testFleet) tickServer(s *testServer) {
	if !s.up || s.paused {
		return
	}
	s.Tick(f.now, f.membersSeenBy(s))
	f.flushServer(s)
	f.check()
}

func (f *testFleet) sendVersions(s *testServer) {
	if !s.up || s.paused {
		return
	}
	body, incarnation := s.Versions(f.now), s.cfg.Incarnation
	for _, other := range f.servers {
		if other != s {
			f.transmit(s.cfg.Name, other.cfg.Name, func() {
				f.runAtServer(other, func() {
					if err := other.ReceiveVersions(f.now, s.cfg.Name, incarnation, body); err != nil {
						f.errors = append(f.errors, err)
					}
				})
			})
		}
	}
}

// transmit sends a message, which may arrive late, twice or not at all.
func (f *testFleet) transmit(from, to string, do func()) {
	copies := 1
	if int(f.random.next()%1000) < f.duplicatedPerThousand {
		copies = 2
	}
	for range copies {
		if f.partitioned(from, to) || int(f.random.next()%1000) < f.lostPerThousand {
			continue
		}
		f.schedule(f.random.between(ms/2, f.maxDelay), do)
	}
}

// runAtServer calls a function at a server and sends the messages that result. A paused server calls it when it
// resumes, a stopped one never.
func (f *testFleet) runAtServer(s *testServer, do func()) {
	switch {
	case !s.up:
	case s.paused:
		s.backlog = append(s.backlog, do)
	default:
		do()
		f.flushServer(s)
	}
}

// runAtClient is runAtServer for a client.
func (f *testFleet) runAtClient(c *testClient, do func()) {
	switch {
	case !c.up:
	case c.paused:
		c.backlog = append(c.backlog, do)
	default:
		do()
		f.flushClient(c)
	}
}

// flushServer sends the messages of a server, and closes the links that it requests to close.
func (f *testFleet) flushServer(s *testServer) {
	incarnation := s.cfg.Incarnation
	for _, m := range s.TakeMessages() {
		if m.Incarnation == 0 {
			other := f.serversByName[m.To]
			f.transmit(s.cfg.Name, m.To, func() {
				f.runAtServer(other, func() {
					if err := other.ReceiveFromControl(f.now, s.cfg.Name, incarnation, m.Kind, m.Body); err != nil {
						f.errors = append(f.errors, err)
					}
				})
			})
			continue
		}
		c := f.clientsByName[m.To]
		if c == nil {
			continue
		}
		l := c.links[s.cfg.Name]
		if c.cfg.Incarnation != m.Incarnation || l == nil || l.closed {
			continue
		}
		if f.queueFull(c) {
			s.QueueFull(f.now, m.To, m.Incarnation)
			continue
		}
		s.bytesOut += len(m.Body) + messageOverhead
		c.bytesIn += len(m.Body) + messageOverhead
		f.transmit(s.cfg.Name, c.cfg.Name, func() { f.deliver(c, l, m) })
	}
	for _, l := range s.TakeLinksToClose() {
		if c := f.clientsByName[l.From]; c != nil {
			if other := c.links[s.cfg.Name]; other != nil && other.link == l {
				f.closeLink(other)
			}
		}
	}
}

func (f *testFleet) deliver(c *testClient, l *testLink, m Message) {
	f.runAtClient(c, func() {
		if l.closed || c.Client == nil {
			return
		}
		if err := c.Receive(f.now, l.server.cfg.Name, l.controlIncarnation, m.Kind, m.Body); err != nil {
			f.errors = append(f.errors, err)
			f.closeLink(l)
		}
	})
}

func (f *testFleet) closeLink(l *testLink) {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.client.links, l.name())
	f.schedule(ms, func() {
		if l.server.cfg.Incarnation == l.controlIncarnation {
			f.runAtServer(l.server, func() { l.server.LinkClosed(f.now, l.link) })
		}
		if l.client.cfg.Incarnation == l.link.Incarnation {
			f.runAtClient(l.client, func() { l.client.LinkClosed(f.now, l.server.cfg.Name) })
		}
	})
}

func (l *testLink) name() string { return l.server.cfg.Name }

// attach adds a client and starts it.
func (f *testFleet) attach(name, zone string) *testClient {
	c := &testClient{cfg: Config{Name: name, Zone: zone, ControlMembers: f.controls, Seed: 1}}
	f.clients = append(f.clients, c)
	f.clientsByName[name] = c
	f.restartClient(c)
	return c
}

// restartClient starts a new process of a client; the links of the previous one break.
func (f *testFleet) restartClient(c *testClient) {
	f.stopClient(c)
	c.cfg.Incarnation = f.newIncarnation()
	c.Client, c.up, c.paused, c.backlog = NewClient(c.cfg), true, false, nil
	c.links, c.dialing = map[string]*testLink{}, map[string]bool{}
	f.tickClient(c, c.cfg.Incarnation)
}

// stopClient ends a client's process, without announcing it; its links break.
func (f *testFleet) stopClient(c *testClient) {
	c.up = false
	for _, s := range f.servers {
		if l := c.links[s.cfg.Name]; l != nil {
			f.closeLink(l)
		}
	}
}

// tickClient ticks a client whenever that is due, until its process ends.
func (f *testFleet) tickClient(c *testClient, incarnation uint64) {
	if !c.up || c.cfg.Incarnation != incarnation {
		return
	}
	if !c.paused {
		c.Tick(f.now)
		f.flushClient(c)
		f.check()
	}
	f.schedule(max(ms, min(c.Next()-f.now, 100*ms)), func() { f.tickClient(c, incarnation) })
}

// flushClient dials the targets of a client, and sends its messages.
func (f *testFleet) flushClient(c *testClient) {
	f.dial(c)
	for _, m := range c.TakeMessages() {
		l := c.links[m.To]
		if l == nil || l.closed {
			continue
		}
		c.bytesOut += len(m.Body) + messageOverhead
		f.transmit(c.cfg.Name, m.To, func() {
			if l.closed || l.server.cfg.Incarnation != l.controlIncarnation {
				return
			}
			f.runAtServer(l.server, func() {
				if err := l.server.Receive(f.now, l.link, m.Kind, m.Body); err != nil {
					f.errors = append(f.errors, err)
					f.closeLink(l)
				}
			})
		})
	}
}

// dial opens links to the targets of a client that it has no link to, and closes its links to other servers.
func (f *testFleet) dial(c *testClient) {
	targets := c.Targets(f.now)
	for _, s := range f.servers {
		name := s.cfg.Name
		wanted := slices.Contains(targets, name)
		if l := c.links[name]; l != nil && !wanted {
			f.closeLink(l)
		}
		if !wanted || c.links[name] != nil || c.dialing[name] {
			continue
		}
		c.dialing[name] = true
		incarnation := c.cfg.Incarnation
		f.schedule(f.random.between(ms, 4*ms), func() { f.finishDial(c, s, incarnation) })
	}
}

func (f *testFleet) finishDial(c *testClient, s *testServer, incarnation uint64) {
	if c.cfg.Incarnation != incarnation || !c.up {
		return
	}
	name := s.cfg.Name
	delete(c.dialing, name)
	if !s.up || s.paused || c.paused || f.partitioned(c.cfg.Name, name) || f.partitioned(name, c.cfg.Name) {
		f.runAtClient(c, func() { c.LinkClosed(f.now, name) })
		return
	}
	l := &testLink{client: c, server: s, controlIncarnation: s.cfg.Incarnation,
		link: Link{From: c.cfg.Name, Zone: c.cfg.Zone, Incarnation: incarnation, ChallengedAt: f.now - ms/2}}
	c.links[name] = l
	f.runAtServer(s, func() { s.LinkOpened(f.now, l.link) })
	if !l.closed {
		f.runAtClient(c, func() { c.LinkOpened(f.now, name, l.controlIncarnation) })
	}
}

// resumeClient resumes a paused client, as SIGCONT does after SIGSTOP. What arrived meanwhile is received first.
func (f *testFleet) resumeClient(c *testClient) {
	c.paused = false
	backlog := c.backlog
	c.backlog = nil
	for _, do := range backlog {
		f.runAtClient(c, do)
	}
}

func (f *testFleet) resumeServer(s *testServer) {
	s.paused = false
	backlog := s.backlog
	s.backlog = nil
	for _, do := range backlog {
		f.runAtServer(s, do)
	}
}

func (f *testFleet) client(name string) *testClient { return f.clientsByName[name] }

// requireAgreement checks that all views are the same, that clients' views were confirmed recently, and that every
// running client is shown Alive with its incarnation and home.
func (f *testFleet) requireAgreement() {
	f.t.Helper()
	first := f.servers[slices.IndexFunc(f.servers, func(s *testServer) bool { return s.up })].View()
	for _, s := range f.servers {
		if s.up {
			f.requireSameView(first, s.View(), "server "+s.cfg.Name)
		}
	}
	for _, c := range f.clients {
		if !c.up {
			continue
		}
		f.requireSameView(first, c.View(), "client "+c.cfg.Name)
		require.Less(f.t, c.View().Age(f.now), 3*second, c.cfg.Name)
		e, _ := first.Lookup(c.cfg.Name)
		require.Equal(f.t, c.cfg.Incarnation, e.Incarnation, c.cfg.Name)
		require.Equal(f.t, Alive, e.State, c.cfg.Name)
		require.Equal(f.t, c.Home(), e.Home, c.cfg.Name)
	}
}

func (f *testFleet) requireSameView(a, b *View, owner string) {
	f.t.Helper()
	require.Equal(f.t, a.Entries(), b.Entries(), owner)
	require.Equal(f.t, a.Digest(), b.Digest(), owner)
}
