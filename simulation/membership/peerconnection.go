package membership

import "chutechute/internal/monotime"

// peerRedialDelay is the minimum time between two dials from one control member to another.
const peerRedialDelay = maxRedialDelay / 2

// peerConnection is the connection on which one control member sends to another.
type peerConnection struct {
	stream       stream
	remote       *process        // nil if the connection is not open
	challengedAt monotime.Micros // by the clock of remote
	lastDial     monotime.Micros // 0 before the first
	dialing      bool
}

// deliverToControl delivers a message to another control member. challengedAt is the time at which the receiver
// challenged the sender, by the receiver's clock.
type deliverToControl func(receiver *controlProcess, challengedAt monotime.Micros)

// sendToControl sends a message to another control member. If the connection is not open, the message is lost and a
// dial begins.
func (c *controlProcess) sendToControl(to *member, kind messageKind, size int, deliver deliverToControl) {
	connection := &c.peerConnections[to.index]
	if connection.remote == nil || !connection.remote.running() && !to.poweredOff {
		connection.remote = nil
		c.dialControl(to, connection)
		return
	}
	receiver, challengedAt := connection.remote, connection.challengedAt
	c.process.sim.transmit(&connection.stream, c.process.member, to, kind, size, func() {
		if receiver.running() {
			to.traffic.countReceived(kind, size)
			receiver.execute(func() { deliver(receiver.control, challengedAt) })
		}
	})
}

// dialControl dials another control member, unless a dial is in progress or the last one began within peerRedialDelay.
func (c *controlProcess) dialControl(to *member, connection *peerConnection) {
	sim := c.process.sim
	tooRecent := connection.lastDial != 0 && sim.now < connection.lastDial+peerRedialDelay
	if connection.dialing || tooRecent {
		return
	}
	connection.dialing = true
	connection.lastDial = sim.now
	sim.scheduleAfter(linkOpenTimeout, func() { connection.dialing = false })
	sim.transmit(&connection.stream, c.process.member, to, kindHandshake, handshakeSizes.hello, func() {
		remote := to.process
		if remote == nil {
			connection.dialing = false
			return
		}
		to.traffic.countReceived(kindHandshake, handshakeSizes.hello)
		remote.execute(func() { c.answerDial(remote, connection) })
	})
}

// answerDial runs in the control member that was dialed. It sends challenge and welcome as one message, whose arrival
// opens the connection.
func (c *controlProcess) answerDial(remote *process, connection *peerConnection) {
	challengedAt := remote.localTime()
	size := handshakeSizes.challenge + handshakeSizes.welcome
	dialer := c.process.member
	remote.sim.transmit(&stream{}, remote.member, dialer, kindHandshake, size, func() {
		dialer.traffic.countReceived(kindHandshake, size)
		connection.remote = remote
		connection.challengedAt = challengedAt
		connection.dialing = false
	})
}
