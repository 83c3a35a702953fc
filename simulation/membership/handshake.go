package membership

import (
	"fmt"

	"chutechute/fleet/transport"
)

// handshakeMessageSizes holds the sizes in bytes of the messages that open a connection, including framing.
type handshakeMessageSizes struct{ challenge, hello, welcome int }

// handshakeSizes is measured with the handshake of package transport.
var handshakeSizes = measureHandshake()

func measureHandshake() handshakeMessageSizes {
	dialer := transport.Dialer{Local: sampleIdentity("front-0001", 1<<62), ExpectedName: "control-01"}
	listener := transport.Listener{
		Local:           sampleIdentity("control-01", 1<<61),
		IsControlMember: func(string) bool { return true },
	}
	challenge := listener.Challenge([16]byte{}, transport.MaxFrameBody)
	dialer.Feed(challenge)
	hello, err := dialer.Process()
	if err != nil {
		panic(fmt.Sprintf("membership: handshake: hello: %v", err))
	}
	listener.Feed(hello)
	welcome, _, err := listener.Process()
	if err != nil {
		panic(fmt.Sprintf("membership: handshake: welcome: %v", err))
	}
	return handshakeMessageSizes{len(challenge), len(hello), len(welcome)}
}

// sampleIdentity returns an identity whose encoding has a typical size.
func sampleIdentity(name string, incarnation uint64) *transport.Identity {
	const digestSize = 8
	return &transport.Identity{
		Site:           "site",
		Name:           name,
		Zone:           "a",
		Incarnation:    incarnation,
		ReplicaID:      incarnation,
		MinVersion:     transport.MinVersion,
		MaxVersion:     transport.MaxVersion,
		SettingsDigest: make([]byte, digestSize),
	}
}

// sendHandshake sends a handshake message from one end of the link, and calls next when it arrives at the other.
func (l *link) sendHandshake(from side, size int, next func()) {
	to := l.member(from.other())
	l.sim.transmit(&l.streams[from], l.member(from), to, kindHandshake, size, func() {
		to.traffic.countReceived(kindHandshake, size)
		next()
	})
}

// dial opens the link: it connects, and then challenge, hello and welcome follow.
func (l *link) dial() {
	l.sim.scheduleAfter(linkOpenTimeout, l.abandonDial)
	l.sendHandshake(frontEndSide, 0, func() { // connecting is not counted as traffic
		switch {
		case l.target.poweredOff:
		case l.target.process == nil: // connection refused
			l.sim.scheduleAfter(l.sim.network.latency(l.target, l.frontEnd.member), l.abandonDial)
		default:
			l.control = l.target.process
			l.control.execute(l.accept)
		}
	})
}

// accept runs in the control member, which sends the challenge.
func (l *link) accept() {
	if l.dialFailed {
		return
	}
	l.challengedAt = l.control.localTime()
	l.target.burstTimes.accepts = append(l.target.burstTimes.accepts, l.sim.now)
	l.sendHandshake(controlSide, handshakeSizes.challenge, func() { l.frontEnd.execute(l.sendHello) })
}

// sendHello runs in the attached front end.
func (l *link) sendHello() {
	l.sendHandshake(frontEndSide, handshakeSizes.hello, func() { l.control.execute(l.receiveHello) })
}

// receiveHello runs in the control member, which considers the link open from now on.
func (l *link) receiveHello() {
	if l.dialFailed {
		return
	}
	l.open[controlSide] = true
	l.sendHandshake(controlSide, handshakeSizes.welcome, func() { l.frontEnd.execute(l.receiveWelcome) })
	l.control.control.linkOpened(l)
}

// receiveWelcome runs in the attached front end, which considers the link open from now on.
func (l *link) receiveWelcome() {
	reset := !l.control.running() && !l.target.poweredOff
	if l.dialFailed || l.open[frontEndSide] || reset {
		return
	}
	l.open[frontEndSide] = true
	l.frontEnd.frontEnd.linkOpened(l)
}

// abandonDial ends a dial, unless it has opened the link.
func (l *link) abandonDial() {
	if l.dialFailed || l.open[frontEndSide] {
		return
	}
	l.dialFailed = true
	l.frontEnd.execute(func() { l.frontEnd.role.linkClosed(l) })
	if l.open[controlSide] {
		l.notifyClosed(frontEndSide)
	}
}
