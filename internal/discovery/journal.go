// Package discovery reads the journal service's events: changes of the list of engines, as frames from
// its stream and as JSON from the configuration. It is fed bytes and knows no socket.
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

const (
	recordSize = 27
	headerSize = 4 + 8 + 1
	// MaxFrame is the longest frame that is taken: a list of some 38,000 engines.
	MaxFrame = 1 << 20
)

// Engine is an engine as the journal names it, with the address at which it listens.
type Engine struct {
	scheduler.Endpoint
	Addr netip.AddrPort
}

// Event is one numbered change of the list.
type Event struct {
	Number  uint64
	Kind    scheduler.UpdateKind
	Engines []Engine
}

// ErrMalformedFrame says that the stream holds no frame of ours: the connection has to end.
var ErrMalformedFrame = errors.New("journal: unreadable frame")

// Names turns places in the settings' lists into names.
type Names struct{ Zones, Kinds []string }

var states = []scheduler.EngineState{scheduler.Serving, scheduler.Draining, scheduler.Removed}

// Hello is what a connection begins with: the number of the last event known.
func Hello(last uint64) []byte { return binary.BigEndian.AppendUint64(nil, last) }

// nextFrame takes the next whole frame from what has come. ok is false until there is one; news is false for the empty frame of each
// second. What of its records can't be read is left out, with an error that names the first.
func (n Names) nextFrame(in *ring.Buffer) (e Event, news, ok bool, err error) {
	if in.Len() < 4 {
		return e, false, false, nil
	}
	data := in.Bytes()
	size := int64(binary.BigEndian.Uint32(data))
	if size < headerSize-4 || size > MaxFrame-4 {
		return e, false, false, fmt.Errorf("%w: length %d", ErrMalformedFrame, size)
	}
	if int64(len(data)) < 4+size {
		return e, false, false, nil
	}
	frame := data[4 : 4+size]
	defer in.Discard(int(4 + size))
	e.Number = binary.BigEndian.Uint64(frame)
	kind, payload := frame[8], frame[9:]
	switch kind {
	case 0:
		return e, false, true, nil
	case 1:
		e.Kind = scheduler.UpdateComplete
	case 2:
		e.Kind = scheduler.UpdateChanges
	default:
		e.Kind = scheduler.UpdateChanges // without any: who goes on without it has missed it
		return e, true, true, fmt.Errorf("%w: kind %d", ErrMalformedFrame, kind)
	}
	if len(payload)%recordSize != 0 {
		err = fmt.Errorf("%w: %d bytes of records", ErrMalformedFrame, len(payload))
	}
	for ; len(payload) >= recordSize; payload = payload[recordSize:] {
		engine, bad := n.parseRecord(payload[:recordSize])
		if bad == nil {
			e.Engines = append(e.Engines, engine)
		} else if err == nil {
			err = bad
		}
	}
	return e, true, true, err
}

func (n Names) parseRecord(b []byte) (Engine, error) {
	be := binary.BigEndian
	state, zone, kind := int(b[10]), int(b[11]), int(b[12])
	if state >= len(states) || zone >= len(n.Zones) || kind >= len(n.Kinds) {
		return Engine{}, fmt.Errorf("%w: state %d, zone %d, kind %d", ErrMalformedFrame, state, zone, kind)
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), be.Uint16(b[8:]))
	return Engine{Addr: addr, Endpoint: scheduler.Endpoint{Engine: fmt.Sprintf("s-%08x", be.Uint32(b)), Zone: n.Zones[zone],
		Kind: n.Kinds[kind], Cell: int(be.Uint16(b[13:])), State: states[state],
		Started: monotime.Micros(be.Uint64(b[19:])) * 1000}}, nil
}

// CachedEvents is the configuration's form of the events so far.
type CachedEvents struct {
	Pos     uint64 `json:"pos"`
	Entries []struct {
		Pos   uint64 `json:"pos"`
		Hosts struct {
			All     bool `json:"all"`
			Targets []struct {
				UID      string          `json:"uid"`
				Endpoint string          `json:"endpoint"`
				AZ       string          `json:"az"`
				Model    string          `json:"model"`
				PodGroup int             `json:"pod_group"`
				State    string          `json:"state"`
				BootMS   monotime.Micros `json:"boot_ms"`
			} `json:"targets"`
		} `json:"hosts"`
	} `json:"entries"`
}

var stateNames = map[string]scheduler.EngineState{"in_service": scheduler.Serving, "terminating": scheduler.Draining,
	"terminated": scheduler.Removed}

// Events reads the known events; an error names the faulty key.
func (k *CachedEvents) Events() ([]Event, error) {
	var events []Event
	for i, entry := range k.Entries {
		e := Event{Number: entry.Pos, Kind: scheduler.UpdateChanges}
		if entry.Hosts.All {
			e.Kind = scheduler.UpdateCached
		}
		for j, t := range entry.Hosts.Targets {
			key := fmt.Sprintf("entries[%d].hosts.targets[%d]", i, j)
			addr, err := netip.ParseAddrPort(t.Endpoint)
			if err != nil || !addr.Addr().Is4() {
				return nil, fmt.Errorf("%s.endpoint: %q is no IPv4 address with a port", key, t.Endpoint)
			}
			state, ok := stateNames[t.State]
			if !ok {
				return nil, fmt.Errorf("%s.state: unknown state %q", key, t.State)
			}
			if t.UID == "" {
				return nil, fmt.Errorf("%s.uid: missing", key)
			}
			e.Engines = append(e.Engines, Engine{Addr: addr, Endpoint: scheduler.Endpoint{Engine: t.UID, Zone: t.AZ, Kind: t.Model,
				Cell: t.PodGroup, State: state, Started: t.BootMS * 1000}})
		}
		events = append(events, e)
	}
	return events, nil
}
