package membership

import (
	"errors"
	"slices"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Spans among control members, as package config has them by default.
const (
	controlTick    = 50 * ms
	controlBeat    = 100 * ms
	controlSuspect = 600 * ms
	controlDead    = 3 * second
)

// control is the process of a control member.
type control struct {
	q      *process
	set    *heartbeat.Monitor
	server *membership.Server
	wires  []wire           // to the other control members, by place
	list   []*link          // open ones
	links  map[uint64]*link // the newest of each process
	beatAt monotime.Micros  // by its clock
	sent   int              // snapshots so far
}

func newControl(q *process) *control {
	zones := map[string]string{}
	for _, c := range q.s.controls {
		if c != q.p {
			zones[c.name] = c.zoneName()
		}
	}
	spans := heartbeat.Config{SuspectAfter: controlSuspect, DeadAfter: controlDead, PauseThreshold: controlSuspect / 2}
	return &control{q: q, set: heartbeat.NewMonitor(spans, zones), server: membership.NewServer(q.config()), links: map[uint64]*link{},
		wires: make([]wire, len(q.s.controls))}
}

// begin has time pass for the process, at a phase of its own.
func (c *control) begin() { c.q.s.after(c.q.s.between(0, controlTick), c.ticks) }

func (c *control) ticks() {
	if !c.q.runs() {
		return
	}
	if !c.q.paused {
		c.q.does(c.tick)
	}
	c.q.s.after(monotime.Micros(float64(controlTick)/c.q.rate), c.ticks)
}

func (c *control) tick() {
	now := c.q.local()
	c.set.Tick(now)
	c.server.Tick(now, c.others())
	if now >= c.beatAt {
		c.beatAt = now + controlBeat - controlTick/2 // a tick is never just too early
		c.beat()
	}
	c.pump()
}

// others is the other control members as package fleet/membership takes them.
func (c *control) others() (list []membership.ControlMember) {
	for _, m := range c.set.Peers() {
		o := membership.ControlMember{Name: m.Name, Zone: m.Zone, Incarnation: m.Incarnation, ChallengedAt: m.ChallengedAt}
		switch m.State {
		case heartbeat.Alive:
			o.State = membership.Alive
		case heartbeat.IndirectlyAlive:
			o.State, o.IndirectlyAlive = membership.Alive, true
		case heartbeat.Suspect:
			o.State = membership.Suspect
		case heartbeat.Left:
			o.State = membership.Left
		case heartbeat.NeverSeen, heartbeat.Dead:
			o.State = membership.Dead
		}
		list = append(list, o)
	}
	return list
}

// beat sends a heartbeat to all other control members.
func (c *control) beat() {
	h := controlHeartbeat{incarnation: c.q.incarnation, reports: c.set.Reports(), versions: c.server.Versions(c.q.local())}
	body := h.encode()
	read := func() *controlHeartbeat {
		h, err := decodeHeartbeat(body)
		c.q.s.fail(err)
		return &h
	}
	if c.q.s.meter == nil { // reading it once for all takes a third off a run's time
		shared := read()
		read = func() *controlHeartbeat { return shared }
	}
	for _, o := range c.q.s.controls {
		if o != c.q.p {
			c.tell(o, kindMember, len(body), func(to *control, greeted monotime.Micros) { to.heard(c.q, greeted, read()) })
		}
	}
}

// heard takes a heartbeat.
func (c *control) heard(from *process, greeted monotime.Micros, h *controlHeartbeat) {
	now := c.q.local()
	if !c.set.Observe(now, from.p.name, h.incarnation, greeted, h.leaving, h.reports) {
		return
	}
	if err := c.server.ReceiveVersions(now, from.p.name, h.incarnation, h.versions); err != nil {
		c.q.s.account.fault(err)
	}
	c.pump()
}

// pump sends what the server has to send, and closes what it wants closed.
func (c *control) pump() {
	for {
		list, closing := c.server.Actions(), c.server.LinksToClose()
		if len(list) == 0 && len(closing) == 0 {
			break
		}
		for _, m := range list {
			c.send(m)
		}
		for _, l := range closing {
			c.shut(l)
		}
	}
	for sent := c.server.Counters.Snapshots; c.sent < sent; c.sent++ {
		c.q.p.bursts.snapshots = append(c.q.p.bursts.snapshots, c.q.s.now)
	}
}

func (c *control) send(m membership.Message) {
	if m.Incarnation == 0 {
		from := c.q
		c.tell(c.q.s.byName[m.To], kindOf(m.Kind), len(m.Body), func(to *control, _ monotime.Micros) { to.received(from, m) })
		return
	}
	l := c.links[m.Incarnation]
	if l == nil {
		return
	}
	if !l.send(controlSide, kindOf(m.Kind), len(m.Body), func() { l.front.front.receive(l, m) }) {
		c.server.QueueFull(c.q.local(), m.To, m.Incarnation)
	}
}

// received takes a message of another control member.
func (c *control) received(from *process, m membership.Message) {
	if err := c.server.ReceiveFromControl(c.q.local(), from.p.name, from.incarnation, m.Kind, m.Body); err != nil {
		c.q.s.account.fault(err)
	}
	c.pump()
}

// receive takes a message of an attached front end.
func (c *control) receive(l *link, m membership.Message) {
	if err := c.server.Receive(c.q.local(), l.attached(), m.Kind, m.Body); err != nil {
		if !errors.Is(err, membership.ErrSuperseded) || l.front.runs() { // what a process that has ended sent last is refused as it ought to be
			c.q.s.account.fault(err)
		}
		l.close(controlSide)
	}
	c.pump()
}

// shut closes a link that the server wants closed.
func (c *control) shut(which membership.Link) {
	for _, l := range slices.Clone(c.list) {
		if l.front.incarnation == which.Incarnation && l.greeted == which.ChallengedAt {
			l.close(controlSide)
		}
	}
}

// linked follows a link's opening.
func (c *control) linked(l *link) {
	c.list = append(c.list, l)
	c.links[l.front.incarnation] = l
	c.server.LinkOpened(c.q.local(), l.attached())
	c.pump()
}

// lost follows a link's end.
func (c *control) lost(l *link) {
	if place := slices.Index(c.list, l); place >= 0 {
		c.list = slices.Delete(c.list, place, place+1)
	}
	if c.links[l.front.incarnation] == l {
		delete(c.links, l.front.incarnation)
	}
	c.server.LinkClosed(c.q.local(), l.attached())
	c.pump()
}

// ended follows the process's end.
func (c *control) ended(machine bool) {
	for _, l := range c.list {
		l.open[controlSide] = false
		l.gone(controlSide, machine)
	}
}

// wire is the connection on which a control member sends to another.
type wire struct {
	way     way
	to      *process        // nil: not open
	greeted monotime.Micros // when the other side challenged, by its clock
	dialled monotime.Micros // the last dial; the next one waits
	dialing bool
}

// tell sends to another control member. Where the connection isn't open the message is lost, and a dial begins.
func (c *control) tell(to *place, kind messageKind, size int, deliver func(to *control, greeted monotime.Micros)) {
	s, w := c.q.s, &c.wires[to.index]
	if w.to == nil || !w.to.runs() && !to.off {
		w.to = nil
		c.open(to, w)
		return
	}
	other, greeted := w.to, w.greeted
	s.transmit(&w.way, c.q.p, to, kind, size, func() {
		if other.runs() {
			to.flow.in(kind, size)
			other.does(func() { deliver(other.control, greeted) })
		}
	})
}

// open dials another control member.
func (c *control) open(to *place, w *wire) {
	s := c.q.s
	if w.dialing || w.dialled != 0 && s.now < w.dialled+linkRest/2 {
		return
	}
	w.dialing, w.dialled = true, s.now
	s.after(linkOpen, func() { w.dialing = false })
	s.transmit(&w.way, c.q.p, to, kindHello, hello.hello, func() {
		other := to.proc
		if other == nil {
			w.dialing = false
			return
		}
		to.flow.in(kindHello, hello.hello)
		other.does(func() {
			greeted := other.local()
			s.transmit(&way{}, to, c.q.p, kindHello, hello.challenge+hello.welcome, func() {
				c.q.p.flow.in(kindHello, hello.challenge+hello.welcome)
				w.to, w.greeted, w.dialing = other, greeted, false
			})
		})
	})
}
