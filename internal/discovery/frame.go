// Package discovery reads the events of the discovery service, which the settings call the journal: updates of the list
// of engines, as frames of its stream and as JSON of the configuration. It is fed bytes and knows no socket.
package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"chutechute/internal/monotime"
	"chutechute/internal/ring"
	"chutechute/scheduler"
)

// MaxFrame is the size in bytes of the longest frame that is taken: a list of some 38,000 engines.
const MaxFrame = 1 << 20

// Sizes in a frame, in bytes.
const (
	lengthSize  = 4 // the length of what follows it
	numberSize  = 8
	kindSize    = 1
	payloadFrom = numberSize + kindSize // after the length
	recordSize  = 27
)

// Kinds of frames.
const (
	kindHeartbeat = 0 // comes each second, without records
	kindComplete  = 1
	kindChanges   = 2
)

const microsPerMilli = 1000

// Engine is an engine as the discovery service lists it, with the address at which it listens.
type Engine struct {
	scheduler.Endpoint
	Address netip.AddrPort
}

// Event is one numbered update of the endpoint list.
type Event struct {
	Number  uint64
	Kind    scheduler.UpdateKind
	Engines []Engine
}

// ErrMalformedFrame says that the stream holds a frame that can't be read: the connection has to end.
var ErrMalformedFrame = errors.New("discovery: malformed frame")

// Names has the names of zones and kinds of engines, by the numbers that stand for them in a frame.
type Names struct{ Zones, Kinds []string }

// states are the states of engines, by the numbers that stand for them in a frame.
var states = []scheduler.EngineState{scheduler.Serving, scheduler.Draining, scheduler.Removed}

// Hello returns what a front end sends first on a connection: the number of the last event that it knows.
func Hello(last uint64) []byte { return binary.BigEndian.AppendUint64(nil, last) }

// nextFrame takes the next whole frame from what has come. ok is false until there is one; isEvent is false for a
// heartbeat. Records that can't be read are left out, with an error that names the first.
func (n Names) nextFrame(in *ring.Buffer) (event Event, isEvent, ok bool, err error) {
	if in.Len() < lengthSize {
		return event, false, false, nil
	}
	data := in.Bytes()
	size := int64(binary.BigEndian.Uint32(data))
	if size < payloadFrom || size > MaxFrame-lengthSize {
		return event, false, false, fmt.Errorf("%w: length %d", ErrMalformedFrame, size)
	}
	if int64(len(data)) < lengthSize+size {
		return event, false, false, nil
	}
	frame := data[lengthSize : lengthSize+size]
	defer in.Discard(int(lengthSize + size))
	event.Number = binary.BigEndian.Uint64(frame)
	kind, payload := frame[numberSize], frame[payloadFrom:]
	switch kind {
	case kindHeartbeat:
		return event, false, true, nil
	case kindComplete:
		event.Kind = scheduler.UpdateComplete
	case kindChanges:
		event.Kind = scheduler.UpdateChanges
	default:
		event.Kind = scheduler.UpdateChanges // without records: a front end that goes on without it has missed it
		return event, true, true, fmt.Errorf("%w: kind %d", ErrMalformedFrame, kind)
	}
	event.Engines, err = n.parseRecords(payload)
	return event, true, true, err
}

// parseRecords reads the records of a frame. Those that can't be read are left out, with an error that names the first.
func (n Names) parseRecords(payload []byte) (engines []Engine, err error) {
	if len(payload)%recordSize != 0 {
		err = fmt.Errorf("%w: %d bytes of records", ErrMalformedFrame, len(payload))
	}
	for ; len(payload) >= recordSize; payload = payload[recordSize:] {
		engine, recordErr := n.parseRecord(payload[:recordSize])
		if recordErr == nil {
			engines = append(engines, engine)
		} else if err == nil {
			err = recordErr
		}
	}
	return engines, err
}

// parseRecord reads one record, of recordSize bytes.
func (n Names) parseRecord(record []byte) (Engine, error) {
	state, zone, kind := int(record[10]), int(record[11]), int(record[12])
	if state >= len(states) || zone >= len(n.Zones) || kind >= len(n.Kinds) {
		return Engine{}, fmt.Errorf("%w: state %d, zone %d, kind %d", ErrMalformedFrame, state, zone, kind)
	}
	ip, port := netip.AddrFrom4([4]byte(record[4:8])), binary.BigEndian.Uint16(record[8:])
	endpoint := scheduler.Endpoint{
		Engine:  fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(record)),
		Zone:    n.Zones[zone],
		Kind:    n.Kinds[kind],
		Cell:    int(binary.BigEndian.Uint16(record[13:])),
		State:   states[state],
		Started: monotime.Micros(binary.BigEndian.Uint64(record[19:])) * microsPerMilli,
	}
	return Engine{Address: netip.AddrPortFrom(ip, port), Endpoint: endpoint}, nil
}
