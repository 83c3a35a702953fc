package membership

import (
	"fmt"

	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// messageKind says what a message was for, for the account.
type messageKind uint8

const (
	kindHello     messageKind = iota // opens a connection
	kindMember                       // a heartbeat among control members
	kindHeartbeat                    // attached to control
	kindView
	kindPull
	kindTable
	messageKinds
)

func (k messageKind) String() string {
	return [...]string{"hello", "member heartbeat", "heartbeat", "view", "pull", "table"}[k]
}

func kindOf(k membership.Kind) messageKind {
	switch k {
	case membership.Heartbeat:
		return kindHeartbeat
	case membership.ViewUpdate:
		return kindView
	case membership.TablePull:
		return kindPull
	}
	return kindTable
}

// frameHeader is what transport.AppendFrame adds to what it carries.
var frameHeader = len(transport.AppendFrame(nil, transport.ControlHeartbeat, 0, false, nil))

// traffic is messages and their bytes.
type traffic struct {
	messages, bytes, framing int64
}

func (t *traffic) add(kind messageKind, size int) {
	if size == 0 {
		return
	}
	t.messages++
	frames := (size + transport.MaxFrameBody - 1) / transport.MaxFrameBody
	if kind == kindHello { // as in package scale, hellos are no payload
		t.framing += int64(size)
		return
	}
	t.bytes += int64(size)
	t.framing += int64(frames * frameHeader)
}

func (t traffic) minus(o traffic) traffic {
	return traffic{t.messages - o.messages, t.bytes - o.bytes, t.framing - o.framing}
}

func (t traffic) plus(o traffic) traffic {
	return traffic{t.messages + o.messages, t.bytes + o.bytes, t.framing + o.framing}
}

// whole is all bytes on the link.
func (t traffic) whole() int64 { return t.bytes + t.framing }

// flow is what went in and out at one member, by kind.
type flow struct {
	ins, outs [messageKinds]traffic
}

func (f *flow) in(kind messageKind, size int)  { f.ins[kind].add(kind, size) }
func (f *flow) out(kind messageKind, size int) { f.outs[kind].add(kind, size) }

func sum(list [messageKinds]traffic) (all traffic) {
	for _, t := range list {
		all = all.plus(t)
	}
	return all
}

// bursts are the times at which a control member accepted a connection of an attached front end or sent a snapshot.
type bursts struct {
	accepts, snapshots []monotime.Micros
}

// handshake is the sizes of what opens a connection, frames and all.
type handshake struct{ challenge, hello, welcome int }

// hello is measured on package transport's own.
var hello = measureHello()

func measureHello() handshake {
	identity := func(name string, incarnation uint64) *transport.Identity {
		return &transport.Identity{Site: "site", Name: name, Zone: "a", Incarnation: incarnation, ReplicaID: incarnation,
			MinVersion: transport.MinVersion, MaxVersion: transport.MaxVersion, SettingsDigest: make([]byte, 8)}
	}
	d := transport.Dialer{Local: identity("front-0001", 1<<62), ExpectedName: "control-01"}
	l := transport.Listener{Local: identity("control-01", 1<<61), IsControlMember: func(string) bool { return true }}
	challenge := l.Challenge([16]byte{}, transport.MaxFrameBody)
	d.Feed(challenge)
	said, err := d.Process()
	if err != nil {
		panic(fmt.Sprintf("membership: hello: %v", err))
	}
	l.Feed(said)
	welcome, _, err := l.Process()
	if err != nil {
		panic(fmt.Sprintf("membership: welcome: %v", err))
	}
	return handshake{len(challenge), len(said), len(welcome)}
}

// windowSeconds is the span over which the busiest case is averaged.
const windowSeconds = 10

// account measures a span of the run.
type account struct {
	s        *Sim
	began    monotime.Micros
	measured monotime.Micros
	base     []flow  // by place, at the beginning
	last     []int64 // bytes in and out of each attached front end, at the last second
	seconds  [][windowSeconds]int64
	turn     int
	busiest  busiest
	on       bool
	faults   map[string]int // messages that were refused, by their error
	marks    []mark
}

// busiest is the ten seconds in which an attached front end had the most traffic.
type busiest struct {
	bytes int64
	who   string
	until monotime.Micros
}

func (a *account) fault(err error) {
	if a.faults == nil {
		a.faults = map[string]int{}
	}
	a.faults[err.Error()]++
}

// begin starts to measure.
func (a *account) begin(s *Sim) {
	a.s, a.began, a.on = s, s.now, true
	a.base = make([]flow, len(s.places))
	a.last = make([]int64, len(s.attached))
	a.seconds = make([][windowSeconds]int64, len(s.attached))
	for i, p := range s.places {
		a.base[i] = p.flow
	}
	for i, p := range s.attached {
		a.last[i] = p.whole()
	}
	s.after(second, a.second)
}

// whole is all bytes in and out.
func (p *place) whole() int64 { return sum(p.flow.ins).whole() + sum(p.flow.outs).whole() }

// second ends a second of the windows.
func (a *account) second() {
	if !a.on {
		return
	}
	a.turn++
	for i, p := range a.s.attached {
		whole := p.whole()
		a.seconds[i][a.turn%windowSeconds] = whole - a.last[i]
		a.last[i] = whole
		total := int64(0)
		for _, bytes := range a.seconds[i] {
			total += bytes
		}
		if total > a.busiest.bytes {
			a.busiest = busiest{total, p.name, a.s.now}
		}
	}
	a.s.after(second, a.second)
}

// end stops to measure.
func (a *account) end() {
	a.on = false
	a.measured = a.s.now - a.began
}

// role sums up what the members of a role had in the measured span.
func (a *account) role(list []*place) (f flow) {
	for _, p := range list {
		for k := range messageKinds {
			f.ins[k] = f.ins[k].plus(p.flow.ins[k].minus(a.base[p.index].ins[k]))
			f.outs[k] = f.outs[k].plus(p.flow.outs[k].minus(a.base[p.index].outs[k]))
		}
	}
	return f
}
