package membership

import (
	"errors"
	"slices"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Intervals and timeouts of control members. They are the defaults of package config.
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
	peerConnections   []peerConnection // to the other control members, by member index
	openLinks         []*link
	linkByIncarnation map[uint64]*link // the latest link of each attached process
	nextHeartbeat     monotime.Micros  // by the process's clock
	countedSnapshots  int              // snapshots that the member's burstTimes include
}

func newControlProcess(p *process) *controlProcess {
	peerZones := map[string]string{}
	for _, m := range p.sim.controlMembers {
		if m != p.member {
			peerZones[m.name] = m.zoneName()
		}
	}
	monitorConfig := heartbeat.Config{
		SuspectAfter:   suspectAfter,
		DeadAfter:      deadAfter,
		PauseThreshold: suspectAfter / 2,
	}
	return &controlProcess{
		process:           p,
		monitor:           heartbeat.NewMonitor(monitorConfig, peerZones),
		server:            membership.NewServer(p.membershipConfig()),
		linkByIncarnation: map[uint64]*link{},
		peerConnections:   make([]peerConnection, len(p.sim.controlMembers)),
	}
}

// start schedules the ticks, with a random phase.
func (c *controlProcess) start() {
	sim := c.process.sim
	sim.scheduleAfter(sim.randomBetween(0, controlTickInterval), c.scheduledTick)
}

func (c *controlProcess) scheduledTick() {
	if !c.process.running() {
		return
	}
	if !c.process.paused {
		c.process.execute(c.tick)
	}
	interval := monotime.Micros(float64(controlTickInterval) / c.process.clockRate)
	c.process.sim.scheduleAfter(interval, c.scheduledTick)
}

func (c *controlProcess) tick() {
	now := c.process.localTime()
	c.monitor.Tick(now)
	c.server.Tick(now, c.peers())
	if now >= c.nextHeartbeat {
		c.nextHeartbeat = now + heartbeatInterval - controlTickInterval/2 // a tick may come slightly early
		c.sendHeartbeats()
	}
	c.sendPending()
}

func (c *controlProcess) view() *membership.View { return c.server.View() }

func (c *controlProcess) side() side { return controlSide }

func (c *controlProcess) allLinks() []*link { return c.openLinks }

// peers returns the other control members, in the states that the monitor reports.
func (c *controlProcess) peers() (peers []membership.ControlMember) {
	for _, peer := range c.monitor.Peers() {
		peers = append(peers, membership.ControlMember{
			Name:            peer.Name,
			Zone:            peer.Zone,
			Incarnation:     peer.Incarnation,
			ChallengedAt:    peer.ChallengedAt,
			State:           membershipState(peer.State),
			IndirectlyAlive: peer.State == heartbeat.IndirectlyAlive,
		})
	}
	return peers
}

// membershipState converts a peer's state in the monitor to its state in a view.
func membershipState(state heartbeat.State) membership.State {
	switch state {
	case heartbeat.Alive, heartbeat.IndirectlyAlive:
		return membership.Alive
	case heartbeat.Suspect:
		return membership.Suspect
	case heartbeat.Left:
		return membership.Left
	case heartbeat.NeverSeen, heartbeat.Dead:
	}
	return membership.Dead
}

// sendPending sends the server's pending messages and closes the links that it asks to close, until nothing is
// pending.
func (c *controlProcess) sendPending() {
	for {
		messages, closing := c.server.TakeMessages(), c.server.TakeLinksToClose()
		if len(messages) == 0 && len(closing) == 0 {
			break
		}
		for _, message := range messages {
			c.sendMessage(message)
		}
		for _, l := range closing {
			c.closeLink(l)
		}
	}
	c.countSnapshots()
}

// countSnapshots records the current time for each snapshot that the server has sent since the last call.
func (c *controlProcess) countSnapshots() {
	member := c.process.member
	for sent := c.server.Counters.Snapshots; c.countedSnapshots < sent; c.countedSnapshots++ {
		member.burstTimes.snapshots = append(member.burstTimes.snapshots, c.process.sim.now)
	}
}

func (c *controlProcess) sendMessage(message membership.Message) {
	kind, size := kindOf(message.Kind), len(message.Body)
	if message.Incarnation == 0 {
		sender := c.process
		to := sender.sim.memberByName[message.To]
		c.sendToControl(to, kind, size, func(receiver *controlProcess, _ monotime.Micros) {
			receiver.receiveFromControl(sender, message)
		})
		return
	}
	l := c.linkByIncarnation[message.Incarnation]
	if l == nil {
		return
	}
	if !l.send(controlSide, kind, size, func() { l.frontEnd.frontEnd.receive(l, message) }) {
		c.server.QueueFull(c.process.localTime(), message.To, message.Incarnation)
	}
}

// receiveFromControl handles a message from another control member.
func (c *controlProcess) receiveFromControl(from *process, message membership.Message) {
	now := c.process.localTime()
	err := c.server.ReceiveFromControl(now, from.member.name, from.incarnation, message.Kind, message.Body)
	if err != nil {
		c.process.sim.countRejected(err)
	}
	c.sendPending()
}

// receiveFromAttached handles a message from an attached front end.
func (c *controlProcess) receiveFromAttached(l *link, message membership.Message) {
	err := c.server.Receive(c.process.localTime(), l.membershipLink(), message.Kind, message.Body)
	if err != nil {
		// Late messages of an ended process are rejected as superseded, which is correct and not counted.
		expected := errors.Is(err, membership.ErrSuperseded) && !l.frontEnd.running()
		if !expected {
			c.process.sim.countRejected(err)
		}
		l.close(controlSide)
	}
	c.sendPending()
}

// closeLink closes the link that the server identifies.
func (c *controlProcess) closeLink(which membership.Link) {
	for _, l := range slices.Clone(c.openLinks) {
		if l.frontEnd.incarnation == which.Incarnation && l.challengedAt == which.ChallengedAt {
			l.close(controlSide)
		}
	}
}

func (c *controlProcess) linkOpened(l *link) {
	c.openLinks = append(c.openLinks, l)
	c.linkByIncarnation[l.frontEnd.incarnation] = l
	c.server.LinkOpened(c.process.localTime(), l.membershipLink())
	c.sendPending()
}

func (c *controlProcess) linkClosed(l *link) {
	if index := slices.Index(c.openLinks, l); index >= 0 {
		c.openLinks = slices.Delete(c.openLinks, index, index+1)
	}
	if c.linkByIncarnation[l.frontEnd.incarnation] == l {
		delete(c.linkByIncarnation, l.frontEnd.incarnation)
	}
	c.server.LinkClosed(c.process.localTime(), l.membershipLink())
	c.sendPending()
}

func (c *controlProcess) crashed(scope crashScope) {
	for _, l := range c.openLinks {
		l.open[controlSide] = false
		l.notifyCrashed(controlSide, scope)
	}
}
