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

// trafficCount is messages and their bytes.
type trafficCount struct {
	messages, bytes, framing int64
}

func (t *trafficCount) add(kind messageKind, size int) {
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

func (t trafficCount) minus(o trafficCount) trafficCount {
	return trafficCount{t.messages - o.messages, t.bytes - o.bytes, t.framing - o.framing}
}

func (t trafficCount) plus(o trafficCount) trafficCount {
	return trafficCount{t.messages + o.messages, t.bytes + o.bytes, t.framing + o.framing}
}

// totalBytes is all bytes on the link.
func (t trafficCount) totalBytes() int64 { return t.bytes + t.framing }

// memberTraffic is what went in and out at one member, by kind.
type memberTraffic struct {
	received, sent [messageKinds]trafficCount
}

func (f *memberTraffic) countReceived(kind messageKind, size int) { f.received[kind].add(kind, size) }
func (f *memberTraffic) countSent(kind messageKind, size int)     { f.sent[kind].add(kind, size) }

func sum(list [messageKinds]trafficCount) (all trafficCount) {
	for _, t := range list {
		all = all.plus(t)
	}
	return all
}

// burstTimes are the times at which a control member accepted a connection of an attached front end or sent a snapshot.
type burstTimes struct {
	accepts, snapshots []monotime.Micros
}

// handshake is the sizes of what opens a connection, frames and all.
type handshake struct{ challenge, hello, welcome int }

// handshakeSizes is measured on package transport's own.
var handshakeSizes = measureHandshake()

func measureHandshake() handshake {
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

// peakWindowSeconds is the span over which the busiest case is averaged.
const peakWindowSeconds = 10

// trafficAccount measures a span of the run.
type trafficAccount struct {
	sim            *simulation
	startedAt      monotime.Micros
	duration       monotime.Micros
	baseline       []memberTraffic // by place, at the beginning
	lastTotals     []int64         // bytes in and out of each attached front end, at the last second
	window         [][peakWindowSeconds]int64
	elapsedSeconds int
	peak           peakWindow
	active         bool
	rejected       map[string]int // messages that were refused, by their error
	marks          []trigger
}

// peakWindow is the ten seconds in which an attached front end had the most traffic.
type peakWindow struct {
	bytes    int64
	frontEnd string
	until    monotime.Micros
}

func (a *trafficAccount) countRejected(err error) {
	if a.rejected == nil {
		a.rejected = map[string]int{}
	}
	a.rejected[err.Error()]++
}

// begin starts to measure.
func (a *trafficAccount) begin(s *simulation) {
	a.sim, a.startedAt, a.active = s, s.now, true
	a.baseline = make([]memberTraffic, len(s.members))
	a.lastTotals = make([]int64, len(s.attachedFrontEnds))
	a.window = make([][peakWindowSeconds]int64, len(s.attachedFrontEnds))
	for i, p := range s.members {
		a.baseline[i] = p.traffic
	}
	for i, p := range s.attachedFrontEnds {
		a.lastTotals[i] = p.totalBytes()
	}
	s.scheduleAfter(monotime.Second, a.countSecond)
}

// totalBytes is all bytes in and out.
func (p *member) totalBytes() int64 {
	return sum(p.traffic.received).totalBytes() + sum(p.traffic.sent).totalBytes()
}

// countSecond ends a second of the windows.
func (a *trafficAccount) countSecond() {
	if !a.active {
		return
	}
	a.elapsedSeconds++
	for i, p := range a.sim.attachedFrontEnds {
		whole := p.totalBytes()
		a.window[i][a.elapsedSeconds%peakWindowSeconds] = whole - a.lastTotals[i]
		a.lastTotals[i] = whole
		total := int64(0)
		for _, bytes := range a.window[i] {
			total += bytes
		}
		if total > a.peak.bytes {
			a.peak = peakWindow{total, p.name, a.sim.now}
		}
	}
	a.sim.scheduleAfter(monotime.Second, a.countSecond)
}

// end stops to measure.
func (a *trafficAccount) end() {
	a.active = false
	a.duration = a.sim.now - a.startedAt
}

// trafficOf sums up what the members of a role had in the measured span.
func (a *trafficAccount) trafficOf(list []*member) (f memberTraffic) {
	for _, p := range list {
		for k := range messageKinds {
			f.received[k] = f.received[k].plus(p.traffic.received[k].minus(a.baseline[p.index].received[k]))
			f.sent[k] = f.sent[k].plus(p.traffic.sent[k].minus(a.baseline[p.index].sent[k]))
		}
	}
	return f
}
