// Package discovery parses the events of the discovery service, which the settings call the journal. Events are updates
// of the endpoint list: frames of the service's stream, or JSON in the configuration. The package does no input or
// output itself.
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

// MaxFrame is the maximum size of a frame in bytes, enough for a list of some 38,000 engines.
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
	kindHeartbeat = 0 // sent each second, without records
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

// ErrMalformedFrame reports a frame that can't be parsed. The connection has to be closed.
var ErrMalformedFrame = errors.New("discovery: malformed frame")

// Names lists the names of zones and engine kinds, indexed by their numbers in a frame.
type Names struct{ Zones, Kinds []string }

// states lists the engine states, indexed by their numbers in a frame.
var states = []scheduler.EngineState{scheduler.Serving, scheduler.Draining, scheduler.Removed}

// Hello returns the first message on a connection: the number of the last event that the front end knows.
func Hello(last uint64) []byte { return binary.BigEndian.AppendUint64(nil, last) }

// nextFrame removes the next frame from the input buffer. ok is false while it is incomplete. isEvent is false for a
// heartbeat. Malformed records are skipped, and the error describes the first of them.
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
		event.Kind = scheduler.UpdateChanges // without engines: a follower that accepts it has missed its changes
		return event, true, true, fmt.Errorf("%w: kind %d", ErrMalformedFrame, kind)
	}
	event.Engines, err = n.parseRecords(payload)
	return event, true, true, err
}

// parseRecords parses the records of a frame. Malformed ones are skipped, and the error describes the first of them.
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

// parseRecord parses one record of recordSize bytes.
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
