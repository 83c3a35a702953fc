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

// event is something that happens at a time in the rig; events at equal times happen in the order of scheduling.
type event struct {
	at    monotime.Micros
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// messageOverhead is the bytes that framing adds to a message.
const messageOverhead = 50

// rigLink is an open link of a client to a server, as both sides know it.
type rigLink struct {
	client             *rigClient
	server             *rigServer
	link               Link
	controlIncarnation uint64 // the server's incarnation
	closed             bool
}

type rigServer struct {
	challengedAt monotime.Micros // when its process answered its first challenge
	*Server
	cfg      Config
	up       bool
	paused   bool
	backlog  []func()
	bytesOut int // sent to clients
}

type rigClient struct {
	*Client
	cfg               Config
	up                bool
	paused            bool
	backlog           []func()
	links             map[string]*rigLink
	dialing           map[string]bool
	bytesIn, bytesOut int
}

// rig is servers and clients over a network that may lose, delay and duplicate messages. Links are opened by a dial
// that takes a while; a message is lost with its link. Everything is determined by the seed.
type rig struct {
	t                     testing.TB
	now                   monotime.Micros
	queue                 events
	order                 int
	random                splitMix64
	servers               []*rigServer
	clients               []*rigClient
	names                 map[string]*rigServer
	byName                map[string]*rigClient
	lostPerThousand       int // messages
	duplicatedPerThousand int // messages
	maxDelay              monotime.Micros
	cut                   func(from, to string) bool
	next                  uint64 // incarnation
	controls              []ControlMember
	queueFull             func(c *rigClient) bool // the queue to it is full
	check                 func()
	errors                []error
}

func newRig(t testing.TB, seed uint64, zones ...string) *rig {
	r := &rig{
		t:         t,
		random:    splitMix64(seed),
		names:     map[string]*rigServer{},
		byName:    map[string]*rigClient{},
		next:      100,
		maxDelay:  5 * ms,
		cut:       func(_, _ string) bool { return false },
		queueFull: func(*rigClient) bool { return false },
		check:     func() {},
	}
	for i, zone := range zones {
		r.controls = append(r.controls, ControlMember{Name: fmt.Sprintf("m%02d", i), Zone: zone})
	}
	for _, c := range r.controls {
		s := &rigServer{cfg: Config{Name: c.Name, Zone: c.Zone, ControlMembers: r.controls, Seed: seed}}
		r.servers = append(r.servers, s)
		r.names[c.Name] = s
		r.start(s)
	}
	for _, s := range r.servers {
		r.every(50*ms, func() { r.tickServer(s) })
		r.every(100*ms, func() { r.sendVersions(s) })
	}
	return r
}

func (r *rig) schedule(delay monotime.Micros, do func()) {
	r.order++
	heap.Push(&r.queue, event{r.now + delay, r.order, do})
}

func (r *rig) every(delay monotime.Micros, do func()) {
	var again func()
	again = func() {
		do()
		r.schedule(delay, again)
	}
	r.schedule(r.random.between(0, delay), again)
}

// run advances the time.
func (r *rig) run(delay monotime.Micros) {
	end := r.now + delay
	for len(r.queue) > 0 && r.queue[0].at <= end {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
	r.now = end
}

func (r *rig) incarnation() uint64 {
	r.next++
	return r.next<<20 | r.random.next()>>44
}

// start begins a server's next process.
func (r *rig) start(s *rigServer) {
	s.cfg.Incarnation = r.incarnation()
	s.Server, s.up, s.challengedAt = NewServer(s.cfg), true, r.now+r.maxDelay
}

func (r *rig) stop(s *rigServer) {
	s.up = false
	for _, c := range r.clients {
		if l := c.links[s.cfg.Name]; l != nil {
			r.closeLink(l)
		}
	}
}

// membersSeenBy is the control members as one of them sees them: without a cut as they are.
func (r *rig) membersSeenBy(s *rigServer) (list []ControlMember) {
	for _, other := range r.servers {
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
		switch cut := r.cut(other.cfg.Name, s.cfg.Name); {
		case !other.up || other.paused:
			m.State = Dead
		case cut && slices.ContainsFunc(r.servers, func(via *rigServer) bool {
			return via != other && via != s && via.up && !r.cut(other.cfg.Name, via.cfg.Name) && !r.cut(via.cfg.Name, s.cfg.Name)
		}):
			m.IndirectlyAlive = true
		case cut:
			m.State = Dead
		}
		list = append(list, m)
	}
	return list
}

func (r *rig) tickServer(s *rigServer) {
	if !s.up || s.paused {
		return
	}
	s.Tick(r.now, r.membersSeenBy(s))
	r.flushServer(s)
	r.check()
}

func (r *rig) sendVersions(s *rigServer) {
	if !s.up || s.paused {
		return
	}
	body, incarnation := s.Versions(r.now), s.cfg.Incarnation
	for _, other := range r.servers {
		if other != s {
			r.transmit(s.cfg.Name, other.cfg.Name, func() {
				r.atServer(other, func() {
					if err := other.ReceiveVersions(r.now, s.cfg.Name, incarnation, body); err != nil {
						r.errors = append(r.errors, err)
					}
				})
			})
		}
	}
}

// transmit delivers a message, perhaps late, twice or not at all.
func (r *rig) transmit(from, to string, do func()) {
	times := 1
	if int(r.random.next()%1000) < r.duplicatedPerThousand {
		times = 2
	}
	for range times {
		if r.cut(from, to) || int(r.random.next()%1000) < r.lostPerThousand {
			continue
		}
		r.schedule(r.random.between(ms/2, r.maxDelay), do)
	}
}

func (r *rig) atServer(s *rigServer, do func()) {
	switch {
	case !s.up:
	case s.paused:
		s.backlog = append(s.backlog, do)
	default:
		do()
		r.flushServer(s)
	}
}

func (r *rig) atClient(c *rigClient, do func()) {
	switch {
	case !c.up:
	case c.paused:
		c.backlog = append(c.backlog, do)
	default:
		do()
		r.flushClient(c)
	}
}

func (r *rig) flushServer(s *rigServer) {
	incarnation := s.cfg.Incarnation
	for _, m := range s.TakeMessages() {
		if m.Incarnation == 0 {
			other := r.names[m.To]
			r.transmit(s.cfg.Name, m.To, func() {
				r.atServer(other, func() {
					if err := other.ReceiveFromControl(r.now, s.cfg.Name, incarnation, m.Kind, m.Body); err != nil {
						r.errors = append(r.errors, err)
					}
				})
			})
			continue
		}
		c := r.byName[m.To]
		if c == nil {
			continue
		}
		l := c.links[s.cfg.Name]
		if c.cfg.Incarnation != m.Incarnation || l == nil || l.closed {
			continue
		}
		if r.queueFull(c) {
			s.QueueFull(r.now, m.To, m.Incarnation)
			continue
		}
		s.bytesOut += len(m.Body) + messageOverhead
		c.bytesIn += len(m.Body) + messageOverhead
		r.transmit(s.cfg.Name, c.cfg.Name, func() { r.deliver(c, l, m) })
	}
	for _, l := range s.LinksToClose() {
		if c := r.byName[l.From]; c != nil {
			if other := c.links[s.cfg.Name]; other != nil && other.link == l {
				r.closeLink(other)
			}
		}
	}
}

func (r *rig) deliver(c *rigClient, l *rigLink, m Message) {
	r.atClient(c, func() {
		if l.closed || c.Client == nil {
			return
		}
		if err := c.Receive(r.now, l.server.cfg.Name, l.controlIncarnation, m.Kind, m.Body); err != nil {
			r.errors = append(r.errors, err)
			r.closeLink(l)
		}
	})
}

func (r *rig) closeLink(l *rigLink) {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.client.links, l.name())
	r.schedule(ms, func() {
		if l.server.cfg.Incarnation == l.controlIncarnation {
			r.atServer(l.server, func() { l.server.LinkClosed(r.now, l.link) })
		}
		if l.client.cfg.Incarnation == l.link.Incarnation {
			r.atClient(l.client, func() { l.client.LinkClosed(r.now, l.server.cfg.Name) })
		}
	})
}

func (l *rigLink) name() string { return l.server.cfg.Name }

// attach adds a client.
func (r *rig) attach(name, zone string) *rigClient {
	c := &rigClient{cfg: Config{Name: name, Zone: zone, ControlMembers: r.controls, Seed: 1}}
	r.clients = append(r.clients, c)
	r.byName[name] = c
	r.restart(c)
	return c
}

// restart begins a client's next process; the links of the one before break.
func (r *rig) restart(c *rigClient) {
	r.halt(c)
	c.cfg.Incarnation = r.incarnation()
	c.Client, c.up, c.paused, c.backlog = NewClient(c.cfg), true, false, nil
	c.links, c.dialing = map[string]*rigLink{}, map[string]bool{}
	r.tickClient(c, c.cfg.Incarnation)
}

func (r *rig) halt(c *rigClient) {
	c.up = false
	for _, s := range r.servers {
		if l := c.links[s.cfg.Name]; l != nil {
			r.closeLink(l)
		}
	}
}

// tickClient ticks a client whenever it is due.
func (r *rig) tickClient(c *rigClient, incarnation uint64) {
	if !c.up || c.cfg.Incarnation != incarnation {
		return
	}
	if !c.paused {
		c.Tick(r.now)
		r.flushClient(c)
		r.check()
	}
	r.schedule(max(ms, min(c.Next()-r.now, 100*ms)), func() { r.tickClient(c, incarnation) })
}

func (r *rig) flushClient(c *rigClient) {
	r.dial(c)
	for _, m := range c.TakeMessages() {
		l := c.links[m.To]
		if l == nil || l.closed {
			continue
		}
		c.bytesOut += len(m.Body) + messageOverhead
		r.transmit(c.cfg.Name, m.To, func() {
			if l.closed || l.server.cfg.Incarnation != l.controlIncarnation {
				return
			}
			r.atServer(l.server, func() {
				if err := l.server.Receive(r.now, l.link, m.Kind, m.Body); err != nil {
					r.errors = append(r.errors, err)
					r.closeLink(l)
				}
			})
		})
	}
}

// dial opens the links that a client wants, and closes those that it doesn't.
func (r *rig) dial(c *rigClient) {
	targets := c.Targets(r.now)
	for _, s := range r.servers {
		name := s.cfg.Name
		wanted := slices.Contains(targets, name)
		if l := c.links[name]; l != nil && !wanted {
			r.closeLink(l)
		}
		if !wanted || c.links[name] != nil || c.dialing[name] {
			continue
		}
		c.dialing[name] = true
		incarnation := c.cfg.Incarnation
		r.schedule(r.random.between(ms, 4*ms), func() { r.finishDial(c, s, incarnation) })
	}
}

func (r *rig) finishDial(c *rigClient, s *rigServer, incarnation uint64) {
	if c.cfg.Incarnation != incarnation || !c.up {
		return
	}
	name := s.cfg.Name
	delete(c.dialing, name)
	if !s.up || s.paused || c.paused || r.cut(c.cfg.Name, name) || r.cut(name, c.cfg.Name) {
		r.atClient(c, func() { c.LinkClosed(r.now, name) })
		return
	}
	l := &rigLink{client: c, server: s, controlIncarnation: s.cfg.Incarnation,
		link: Link{From: c.cfg.Name, Zone: c.cfg.Zone, Incarnation: incarnation, ChallengedAt: r.now - ms/2}}
	c.links[name] = l
	r.atServer(s, func() { s.LinkOpened(r.now, l.link) })
	if !l.closed {
		r.atClient(c, func() { c.LinkOpened(r.now, name, l.controlIncarnation) })
	}
}

// resumeClient continues a client that was stopped as by SIGSTOP, with all that was queued meanwhile.
func (r *rig) resumeClient(c *rigClient) {
	c.paused = false
	list := c.backlog
	c.backlog = nil
	for _, do := range list {
		r.atClient(c, do)
	}
}

func (r *rig) resumeServer(s *rigServer) {
	s.paused = false
	list := s.backlog
	s.backlog = nil
	for _, do := range list {
		r.atServer(s, do)
	}
}

func (r *rig) client(name string) *rigClient { return r.byName[name] }

// requireAgreement checks that all views are the same and show every running process Alive, under its incarnation.
func (r *rig) requireAgreement() {
	r.t.Helper()
	first := r.servers[slices.IndexFunc(r.servers, func(s *rigServer) bool { return s.up })].View()
	for _, s := range r.servers {
		if s.up {
			r.requireSame(first, s.View(), "server "+s.cfg.Name)
		}
	}
	for _, c := range r.clients {
		if !c.up {
			continue
		}
		r.requireSame(first, c.View(), "client "+c.cfg.Name)
		require.Less(r.t, c.View().Age(r.now), 3*second, c.cfg.Name)
		e, _ := first.Lookup(c.cfg.Name)
		require.Equal(r.t, c.cfg.Incarnation, e.Incarnation, c.cfg.Name)
		require.Equal(r.t, Alive, e.State, c.cfg.Name)
		require.Equal(r.t, c.Home(), e.Home, c.cfg.Name)
	}
}

func (r *rig) requireSame(a, b *View, who string) {
	r.t.Helper()
	require.Equal(r.t, a.Entries(), b.Entries(), who)
	require.Equal(r.t, a.Digest(), b.Digest(), who)
}
