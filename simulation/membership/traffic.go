package membership

import (
	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
)

// messageKind is the purpose of a message, by which traffic is counted.
type messageKind uint8

const (
	kindHandshake        messageKind = iota // opens a connection
	kindControlHeartbeat                    // a heartbeat among control members
	kindHeartbeat                           // a heartbeat of an attached front end
	kindView                                // a part of the view, to an attached front end
	kindPull                                // a request for changes of a table
	kindTable                               // a part of a table
	messageKindCount
)

// String returns the kind's name, which is part of the names of figures.
func (k messageKind) String() string {
	return [...]string{"hello", "member heartbeat", "heartbeat", "view", "pull", "table"}[k]
}

// kindOf returns the kind of a message of package fleet/membership.
func kindOf(kind membership.Kind) messageKind {
	switch kind {
	case membership.Heartbeat:
		return kindHeartbeat
	case membership.ViewUpdate:
		return kindView
	case membership.TablePull:
		return kindPull
	}
	return kindTable
}

// frameHeaderSize is the number of bytes that transport.AppendFrame adds to a body.
var frameHeaderSize = len(transport.AppendFrame(nil, transport.ControlHeartbeat, 0, false, nil))

// trafficCount counts messages and their bytes.
type trafficCount struct {
	messages int64
	bytes    int64 // without framing
	framing  int64 // bytes of frame headers and handshakes
}

func (t *trafficCount) add(kind messageKind, size int) {
	if size == 0 {
		return
	}
	t.messages++
	if kind == kindHandshake { // handshakes count as framing, as in package scale
		t.framing += int64(size)
		return
	}
	frames := (size + transport.MaxFrameBody - 1) / transport.MaxFrameBody
	t.bytes += int64(size)
	t.framing += int64(frames * frameHeaderSize)
}

func (t trafficCount) plus(other trafficCount) trafficCount {
	return trafficCount{t.messages + other.messages, t.bytes + other.bytes, t.framing + other.framing}
}

func (t trafficCount) minus(other trafficCount) trafficCount {
	return trafficCount{t.messages - other.messages, t.bytes - other.bytes, t.framing - other.framing}
}

// totalBytes returns the bytes including framing.
func (t trafficCount) totalBytes() int64 { return t.bytes + t.framing }

// memberTraffic is the traffic of one member, or of all members of a role, by kind.
type memberTraffic struct {
	received, sent [messageKindCount]trafficCount
}

func (t *memberTraffic) countReceived(kind messageKind, size int) { t.received[kind].add(kind, size) }
func (t *memberTraffic) countSent(kind messageKind, size int)     { t.sent[kind].add(kind, size) }

// totalBytes returns the bytes received and sent, including framing.
func (t *memberTraffic) totalBytes() int64 {
	return sumKinds(t.received).totalBytes() + sumKinds(t.sent).totalBytes()
}

// addSince adds the traffic of a member from an earlier time until now.
func (t *memberTraffic) addSince(now, earlier *memberTraffic) {
	for kind := range messageKindCount {
		t.received[kind] = t.received[kind].plus(now.received[kind].minus(earlier.received[kind]))
		t.sent[kind] = t.sent[kind].plus(now.sent[kind].minus(earlier.sent[kind]))
	}
}

func sumKinds(counts [messageKindCount]trafficCount) (sum trafficCount) {
	for _, count := range counts {
		sum = sum.plus(count)
	}
	return sum
}
