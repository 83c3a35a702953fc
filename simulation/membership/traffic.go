package membership

import (
	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
)

// messageKind says what a message is for. Traffic is counted by it.
type messageKind uint8

const (
	kindHello     messageKind = iota // opens a connection
	kindMember                       // a heartbeat among control members
	kindHeartbeat                    // a heartbeat of an attached front end
	kindView                         // a part of the view, to an attached front end
	kindPull                         // a request for changes of a table
	kindTable                        // a part of a table
	messageKinds
)

// String returns the kind's name, which is part of the names of figures.
func (k messageKind) String() string {
	return [...]string{"hello", "member heartbeat", "heartbeat", "view", "pull", "table"}[k]
}

// kindOf is the kind of a message of package fleet/membership.
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

// frameHeaderSize is what transport.AppendFrame adds to a body, in bytes.
var frameHeaderSize = len(transport.AppendFrame(nil, transport.ControlHeartbeat, 0, false, nil))

// trafficCount is a number of messages, and their bytes.
type trafficCount struct {
	messages int64
	bytes    int64 // without framing
	framing  int64 // bytes of frame headers, and of handshakes
}

func (t *trafficCount) add(kind messageKind, size int) {
	if size == 0 {
		return
	}
	t.messages++
	if kind == kindHello { // as in package scale, handshakes are no payload
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

// totalBytes is all bytes, with framing.
func (t trafficCount) totalBytes() int64 { return t.bytes + t.framing }

// memberTraffic is what one member, or all members of a role, received and sent, by kind.
type memberTraffic struct {
	received, sent [messageKinds]trafficCount
}

func (t *memberTraffic) countReceived(kind messageKind, size int) { t.received[kind].add(kind, size) }
func (t *memberTraffic) countSent(kind messageKind, size int)     { t.sent[kind].add(kind, size) }

// totalBytes is all bytes received and sent, with framing.
func (t *memberTraffic) totalBytes() int64 {
	return sumKinds(t.received).totalBytes() + sumKinds(t.sent).totalBytes()
}

// addSince adds what a member's counts have grown by since an earlier time.
func (t *memberTraffic) addSince(now, earlier *memberTraffic) {
	for kind := range messageKinds {
		t.received[kind] = t.received[kind].plus(now.received[kind].minus(earlier.received[kind]))
		t.sent[kind] = t.sent[kind].plus(now.sent[kind].minus(earlier.sent[kind]))
	}
}

func sumKinds(counts [messageKinds]trafficCount) (sum trafficCount) {
	for _, count := range counts {
		sum = sum.plus(count)
	}
	return sum
}
