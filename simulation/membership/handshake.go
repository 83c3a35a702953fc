package membership

import (
	"fmt"

	"chutechute/fleet/transport"
)

// handshake has the sizes in bytes of the messages that open a connection, with their frames.
type handshake struct{ challenge, hello, welcome int }

// handshakeSizes is measured on package transport's own handshake.
var handshakeSizes = measureHandshake()

func measureHandshake() handshake {
	dialer := transport.Dialer{Local: sampleIdentity("front-0001", 1<<62), ExpectedName: "control-01"}
	listener := transport.Listener{
		Local:           sampleIdentity("control-01", 1<<61),
		IsControlMember: func(string) bool { return true },
	}
	challenge := listener.Challenge([16]byte{}, transport.MaxFrameBody)
	dialer.Feed(challenge)
	hello, err := dialer.Process()
	if err != nil {
		panic(fmt.Sprintf("membership: hello: %v", err))
	}
	listener.Feed(hello)
	welcome, _, err := listener.Process()
	if err != nil {
		panic(fmt.Sprintf("membership: welcome: %v", err))
	}
	return handshake{len(challenge), len(hello), len(welcome)}
}

// sampleIdentity is an identity whose encoding has a typical size.
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

// sendHandshake sends a message of the handshake from one end of the link; next runs when it arrives at the other.
func (l *link) sendHandshake(from side, size int, next func()) {
	to := l.member(from.other())
	l.sim.transmit(&l.streams[from], l.member(from), to, kindHello, size, func() {
		to.traffic.countReceived(kindHello, size)
		next()
	})
}

// dial opens the link: connection, challenge, hello, welcome.
func (l *link) dial() {
	l.sim.scheduleAfter(linkOpenTimeout, l.abandonDial)
	l.sendHandshake(frontEndSide, 0, func() { // the connection itself carries nothing that is counted
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

// accept runs in the control member, which challenges.
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

// receiveHello runs in the control member, for which the link is open now.
func (l *link) receiveHello() {
	if l.dialFailed {
		return
	}
	l.open[controlSide] = true
	l.sendHandshake(controlSide, handshakeSizes.welcome, func() { l.frontEnd.execute(l.receiveWelcome) })
	l.control.control.linkOpened(l)
}

// receiveWelcome runs in the attached front end, for which the link is open now.
func (l *link) receiveWelcome() {
	reset := !l.control.running() && !l.target.poweredOff
	if l.dialFailed || l.open[frontEndSide] || reset {
		return
	}
	l.open[frontEndSide] = true
	l.frontEnd.frontEnd.linkOpened(l)
}

// abandonDial ends a dial that has not opened the link.
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
