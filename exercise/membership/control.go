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
	controlTickInterval = 50 * monotime.Millisecond
	heartbeatInterval   = 100 * monotime.Millisecond
	suspectAfter        = 600 * monotime.Millisecond
	deadAfter           = 3 * monotime.Second
)

// controlProcess is the process of a control member.
type controlProcess struct {
	process           *process
	monitor           *heartbeat.Monitor
	server            *membership.Server
	peerConnections   []peerConnection // to the other control members, by place
	openLinks         []*link          // open ones
	linkByIncarnation map[uint64]*link // the newest of each process
	nextHeartbeat     monotime.Micros  // by its clock
	countedSnapshots  int              // snapshots so far
}

func newControlProcess(q *process) *controlProcess {
	zones := map[string]string{}
	for _, c := range q.sim.controlMembers {
		if c != q.member {
			zones[c.name] = c.zoneName()
		}
	}
	spans := heartbeat.Config{SuspectAfter: suspectAfter, DeadAfter: deadAfter, PauseThreshold: suspectAfter / 2}
	return &controlProcess{process: q, monitor: heartbeat.NewMonitor(spans, zones), server: membership.NewServer(q.membershipConfig()), linkByIncarnation: map[uint64]*link{},
		peerConnections: make([]peerConnection, len(q.sim.controlMembers))}
}

// startTicking has time pass for the process, at a phase of its own.
func (c *controlProcess) startTicking() {
	c.process.sim.scheduleAfter(c.process.sim.randomBetween(0, controlTickInterval), c.scheduledTick)
}

func (c *controlProcess) scheduledTick() {
	if !c.process.running() {
		return
	}
	if !c.process.paused {
		c.process.execute(c.tick)
	}
	c.process.sim.scheduleAfter(monotime.Micros(float64(controlTickInterval)/c.process.clockRate), c.scheduledTick)
}

func (c *controlProcess) tick() {
	now := c.process.localTime()
	c.monitor.Tick(now)
	c.server.Tick(now, c.peers())
	if now >= c.nextHeartbeat {
		c.nextHeartbeat = now + heartbeatInterval - controlTickInterval/2 // a tick is never just too early
		c.sendHeartbeats()
	}
	c.sendPending()
}

// peers is the other control members as package fleet/membership takes them.
func (c *controlProcess) peers() (list []membership.ControlMember) {
	for _, m := range c.monitor.Peers() {
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

// sendHeartbeats sends a heartbeat to all other control members.
func (c *controlProcess) sendHeartbeats() {
	h := controlHeartbeat{incarnation: c.process.incarnation, reports: c.monitor.Reports(), versions: c.server.Versions(c.process.localTime())}
	body := h.encode()
	read := func() *controlHeartbeat {
		h, err := decodeHeartbeat(body)
		c.process.sim.fail(err)
		return &h
	}
	if c.process.sim.cpuMeter == nil { // reading it once for all takes a third off a run's time
		shared := read()
		read = func() *controlHeartbeat { return shared }
	}
	for _, o := range c.process.sim.controlMembers {
		if o != c.process.member {
			c.sendToControl(o, kindMember, len(body), func(to *controlProcess, greeted monotime.Micros) { to.receiveHeartbeat(c.process, greeted, read()) })
		}
	}
}

// receiveHeartbeat takes a heartbeat.
func (c *controlProcess) receiveHeartbeat(from *process, greeted monotime.Micros, h *controlHeartbeat) {
	now := c.process.localTime()
	if !c.monitor.Observe(now, from.member.name, h.incarnation, greeted, h.leaving, h.reports) {
		return
	}
	if err := c.server.ReceiveVersions(now, from.member.name, h.incarnation, h.versions); err != nil {
		c.process.sim.traffic.countRejected(err)
	}
	c.sendPending()
}

// sendPending sends what the server has to send, and closes what it wants closed.
func (c *controlProcess) sendPending() {
	for {
		list, closing := c.server.Actions(), c.server.LinksToClose()
		if len(list) == 0 && len(closing) == 0 {
			break
		}
		for _, m := range list {
			c.sendMessage(m)
		}
		for _, l := range closing {
			c.closeLink(l)
		}
	}
	for sent := c.server.Counters.Snapshots; c.countedSnapshots < sent; c.countedSnapshots++ {
		c.process.member.burstTimes.snapshots = append(c.process.member.burstTimes.snapshots, c.process.sim.now)
	}
}

func (c *controlProcess) sendMessage(m membership.Message) {
	if m.Incarnation == 0 {
		from := c.process
		c.sendToControl(c.process.sim.memberByName[m.To], kindOf(m.Kind), len(m.Body), func(to *controlProcess, _ monotime.Micros) { to.receiveFromControl(from, m) })
		return
	}
	l := c.linkByIncarnation[m.Incarnation]
	if l == nil {
		return
	}
	if !l.send(controlSide, kindOf(m.Kind), len(m.Body), func() { l.frontEnd.frontEnd.receive(l, m) }) {
		c.server.QueueFull(c.process.localTime(), m.To, m.Incarnation)
	}
}

// receiveFromControl takes a message of another control member.
func (c *controlProcess) receiveFromControl(from *process, m membership.Message) {
	if err := c.server.ReceiveFromControl(c.process.localTime(), from.member.name, from.incarnation, m.Kind, m.Body); err != nil {
		c.process.sim.traffic.countRejected(err)
	}
	c.sendPending()
}

// receiveFromAttached takes a message of an attached front end.
func (c *controlProcess) receiveFromAttached(l *link, m membership.Message) {
	if err := c.server.Receive(c.process.localTime(), l.membershipLink(), m.Kind, m.Body); err != nil {
		if !errors.Is(err, membership.ErrSuperseded) || l.frontEnd.running() { // what a process that has ended sent last is refused as it ought to be
			c.process.sim.traffic.countRejected(err)
		}
		l.close(controlSide)
	}
	c.sendPending()
}

// closeLink closes a link that the server wants closed.
func (c *controlProcess) closeLink(which membership.Link) {
	for _, l := range slices.Clone(c.openLinks) {
		if l.frontEnd.incarnation == which.Incarnation && l.challengedAt == which.ChallengedAt {
			l.close(controlSide)
		}
	}
}

// linkOpened follows a link's opening.
func (c *controlProcess) linkOpened(l *link) {
	c.openLinks = append(c.openLinks, l)
	c.linkByIncarnation[l.frontEnd.incarnation] = l
	c.server.LinkOpened(c.process.localTime(), l.membershipLink())
	c.sendPending()
}

// linkClosed follows a link's end.
func (c *controlProcess) linkClosed(l *link) {
	if place := slices.Index(c.openLinks, l); place >= 0 {
		c.openLinks = slices.Delete(c.openLinks, place, place+1)
	}
	if c.linkByIncarnation[l.frontEnd.incarnation] == l {
		delete(c.linkByIncarnation, l.frontEnd.incarnation)
	}
	c.server.LinkClosed(c.process.localTime(), l.membershipLink())
	c.sendPending()
}

// processEnded follows the process's end.
func (c *controlProcess) processEnded(machine bool) {
	for _, l := range c.openLinks {
		l.open[controlSide] = false
		l.processEnded(controlSide, machine)
	}
}

// peerConnection is the connection on which a control member sends to another.
type peerConnection struct {
	stream       stream
	remote       *process        // nil: not open
	challengedAt monotime.Micros // when the other side challenged, by its clock
	lastDial     monotime.Micros // the last dial; the next one waits
	dialing      bool
}

// sendToControl sends to another control member. Where the connection isn't open the message is lost, and a dial begins.
func (c *controlProcess) sendToControl(to *member, kind messageKind, size int, deliver func(to *controlProcess, greeted monotime.Micros)) {
	s, w := c.process.sim, &c.peerConnections[to.index]
	if w.remote == nil || !w.remote.running() && !to.poweredOff {
		w.remote = nil
		c.dialControl(to, w)
		return
	}
	other, greeted := w.remote, w.challengedAt
	s.transmit(&w.stream, c.process.member, to, kind, size, func() {
		if other.running() {
			to.traffic.countReceived(kind, size)
			other.execute(func() { deliver(other.control, greeted) })
		}
	})
}

// dialControl dials another control member.
func (c *controlProcess) dialControl(to *member, w *peerConnection) {
	s := c.process.sim
	if w.dialing || w.lastDial != 0 && s.now < w.lastDial+maxRedialDelay/2 {
		return
	}
	w.dialing, w.lastDial = true, s.now
	s.scheduleAfter(linkOpenTimeout, func() { w.dialing = false })
	s.transmit(&w.stream, c.process.member, to, kindHello, handshakeSizes.hello, func() {
		other := to.process
		if other == nil {
			w.dialing = false
			return
		}
		to.traffic.countReceived(kindHello, handshakeSizes.hello)
		other.execute(func() {
			greeted := other.localTime()
			s.transmit(&stream{}, to, c.process.member, kindHello, handshakeSizes.challenge+handshakeSizes.welcome, func() {
				c.process.member.traffic.countReceived(kindHello, handshakeSizes.challenge+handshakeSizes.welcome)
				w.remote, w.challengedAt, w.dialing = other, greeted, false
			})
		})
	})
}
