package simulation

import (
	"chutechute/fleet"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

const (
	minMessageDelay        = 100 // µs
	defaultMaxMessageDelay = 2 * ms
	// maxLongDelay and longDelayOneIn are of the messages that come much later, where that fault is on.
	maxLongDelay   = 20 * second
	longDelayOneIn = 50
	// maxDuplicateDelay and duplicateOneIn are of the messages that come twice, where that fault is on.
	maxDuplicateDelay = 50 * ms
	duplicateOneIn    = 4
)

// direction is a way between two front ends, by their indexes.
type direction struct{ from, to int }

// network is the state of the network between front ends.
type network struct {
	partitioned map[direction]bool
	maxDelay    monotime.Micros
	longDelays  bool // a few messages come much later
	duplicates  bool // some messages come twice
}

func newNetwork() network {
	return network{partitioned: map[direction]bool{}, maxDelay: defaultMaxMessageDelay}
}

// heal ends all faults of the network.
func (n *network) heal() {
	clear(n.partitioned)
	n.maxDelay, n.longDelays, n.duplicates = defaultMaxMessageDelay, false, false
}

// send sends a message to another front end. It may be lost, late or doubled, as the faults of the network are.
func (p *process) send(message fleet.Send) {
	s := p.simulation
	target := s.frontEnd(message.To)
	way := direction{from: p.frontEnd.index, to: target.index}
	if s.network.partitioned[way] {
		if message.Kind == transport.Replication {
			s.after(0, func() { p.run(func() { p.node.SendFailed(message.To) }) })
		}
		return
	}
	receiver := target.process // a connection ends with the process that it leads to
	deliver := func() {
		if receiver == nil || target.process != receiver || s.network.partitioned[way] {
			return
		}
		receiver.run(func() { receiver.receive(p, message) })
	}
	delay := s.random.between(minMessageDelay, s.network.maxDelay)
	if s.network.longDelays && s.random.oneIn(longDelayOneIn) {
		delay += s.random.between(0, maxLongDelay)
	}
	s.after(delay, deliver)
	if s.network.duplicates && s.random.oneIn(duplicateOneIn) {
		s.after(delay+s.random.between(0, maxDuplicateDelay), deliver)
	}
}

// receive takes a message from another front end's process. That process was challenged as soon as both ran.
func (p *process) receive(sender *process, message fleet.Send) {
	from := fleet.Link{
		From:         sender.frontEnd.name,
		Incarnation:  sender.incarnation,
		ChallengedAt: p.frontEnd.clock.at(max(sender.startedAt, p.startedAt)),
	}
	p.simulation.fail(p.node.Receive(p.now(), from, message.Kind, message.Body))
	p.runLoop()
}
