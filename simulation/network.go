package simulation

import (
	"chutechute/fleet"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

const (
	minMessageDelay        = 100 // µs
	defaultMaxMessageDelay = 2 * ms
	// maxLongDelay is the longest additional delay of one message in longDelayOneIn, while long delays are enabled.
	maxLongDelay   = 20 * second
	longDelayOneIn = 50
	// maxDuplicateDelay is the longest time between the two deliveries of one message in duplicateOneIn, while
	// duplicates are enabled.
	maxDuplicateDelay = 50 * ms
	duplicateOneIn    = 4
)

// directedLink identifies the link from one front end to another, by their indexes.
type directedLink struct{ from, to int }

// network is the state of the network between front ends.
type network struct {
	partitioned map[directedLink]bool
	maxDelay    monotime.Micros
	longDelays  bool // some messages are delayed much longer than maxDelay
	duplicates  bool // some messages are delivered twice
}

func newNetwork() network {
	return network{partitioned: map[directedLink]bool{}, maxDelay: defaultMaxMessageDelay}
}

// heal ends all faults of the network.
func (n *network) heal() {
	clear(n.partitioned)
	n.maxDelay, n.longDelays, n.duplicates = defaultMaxMessageDelay, false, false
}

// send sends a message to another front end. Faults of the network may drop, delay or duplicate it.
func (p *process) send(message fleet.Send) {
	s := p.simulation
	target := s.frontEnd(message.To)
	link := directedLink{from: p.frontEnd.index, to: target.index}
	if s.network.partitioned[link] {
		if message.Kind == transport.Replication {
			s.after(0, func() { p.run(func() { p.node.SendFailed(message.To) }) })
		}
		return
	}
	receiver := target.process // a connection ends with this process, so its successor does not get the message
	deliver := func() {
		if receiver == nil || target.process != receiver || s.network.partitioned[link] {
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

// receive handles a message from another front end's process. The link counts as challenged when the later of the two
// processes started.
func (p *process) receive(sender *process, message fleet.Send) {
	from := fleet.Link{
		From:         sender.frontEnd.name,
		Incarnation:  sender.incarnation,
		ChallengedAt: p.frontEnd.clock.at(max(sender.startedAt, p.startedAt)),
	}
	p.simulation.fail(p.node.Receive(p.now(), from, message.Kind, message.Body))
	p.runTurn()
}
