package decide

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
)

// less takes another tally's measures off.
func (t tally) less(o tally) tally {
	return tally{count: t.count - o.count, latency: t.latency - o.latency, estimate: t.estimate - o.estimate}
}

// ledger is what gateways tell each other: what is in hand, what waits, and what was measured.
type ledger struct {
	threads map[uint16]int // in hand, by engine
	classes []tally
}

// tally is what a class has waiting, in threads, and its sums of measured latencies and their estimates.
type tally struct {
	waits, count      int
	latency, estimate float64
}

const (
	messageForm = 1 // the first byte of every message
	messageMost = 256
	messageHead = 4
	tallySize   = 11
	threadsSize = 3
)

// The kinds of messages.
const (
	kindReport = 'r' // one gateway's ledger
	kindSum    = 's' // that of all
)

func newLedger(classes int) *ledger {
	return &ledger{threads: map[uint16]int{}, classes: make([]tally, classes)}
}

// add adds another ledger to this one.
func (l *ledger) add(o *ledger) {
	for key, n := range o.threads {
		l.threads[key] += n
	}
	for i, t := range o.classes {
		m := &l.classes[i]
		m.waits, m.count = m.waits+t.waits, m.count+t.count
		m.latency, m.estimate = m.latency+t.latency, m.estimate+t.estimate
	}
}

// waits is the threads that wait, over all classes.
func (l *ledger) waits() (n int) {
	for _, t := range l.classes {
		n += t.waits
	}
	return n
}

// exchange gathers messages into ledgers.
type exchange struct {
	sum  *ledger // of the reports of this slot, where this gateway collects
	part *ledger // of a sum that comes in several messages
}

// take reads a message of the slot and returns a sum once it is complete; what has another form is ignored.
func (x *exchange) take(body []byte, slot byte, classes int) *ledger {
	kind, at, more, l, ok := decodeLedger(body, classes)
	switch {
	case !ok || at != slot:
	case kind == kindReport && x.sum != nil:
		x.sum.add(l)
	case kind == kindSum:
		if x.part != nil {
			l.add(x.part)
		}
		x.part = l
		if !more {
			x.part = nil
			return l
		}
	}
	return nil
}

// encode writes the ledger into as many messages as it needs; all but the last are marked as going on.
func (l *ledger) encode(kind, slot byte) (bodies [][]byte) {
	keys := slices.Sorted(maps.Keys(l.threads))
	classes := l.classes
	for {
		body := []byte{messageForm, kind, slot, 0}
		for _, t := range classes {
			body = binary.BigEndian.AppendUint16(body, uint16(min(t.waits, math.MaxUint16)))
			body = append(body, byte(min(t.count, math.MaxUint8)))
			body = binary.BigEndian.AppendUint32(body, math.Float32bits(float32(t.latency)))
			body = binary.BigEndian.AppendUint32(body, math.Float32bits(float32(t.estimate)))
		}
		part := keys[:min(len(keys), (messageMost-len(body))/threadsSize)]
		keys = keys[len(part):]
		for _, key := range part {
			body = append(binary.BigEndian.AppendUint16(body, key), byte(min(l.threads[key], math.MaxUint8)))
		}
		bodies = append(bodies, body)
		if len(keys) == 0 || len(part) == 0 {
			return bodies
		}
		body[3] = 1
		classes = make([]tally, len(l.classes))
	}
}

// decodeLedger reads a message; ok is false for what has another form.
func decodeLedger(body []byte, classes int) (kind, slot byte, more bool, l *ledger, ok bool) {
	rest := len(body) - messageHead - classes*tallySize
	if rest < 0 || rest%threadsSize != 0 || len(body) > messageMost || body[0] != messageForm {
		return 0, 0, false, nil, false
	}
	l = newLedger(classes)
	at := messageHead
	for i := range l.classes {
		t := tally{waits: int(binary.BigEndian.Uint16(body[at:])), count: int(body[at+2]),
			latency:  float64(math.Float32frombits(binary.BigEndian.Uint32(body[at+3:]))),
			estimate: float64(math.Float32frombits(binary.BigEndian.Uint32(body[at+7:])))}
		if !(t.latency > 0 && t.estimate > 0 && t.latency+t.estimate < math.MaxFloat32) {
			t.count, t.latency, t.estimate = 0, 0, 0
		}
		l.classes[i] = t
		at += tallySize
	}
	for ; at < len(body); at += threadsSize {
		l.threads[binary.BigEndian.Uint16(body[at:])] = int(body[at+2])
	}
	return body[1], body[2], body[3] != 0, l, true
}

// key names an engine in messages.
func (e *engine) key() uint16 { return uint16(e.hash >> 48) }

// tell sends a ledger to one gateway or Everyone.
func (d *Dispatcher) tell(kind, slot byte, to int, l *ledger) {
	for _, body := range l.encode(kind, slot) {
		d.do(Tell{To: to, Body: body})
	}
}
