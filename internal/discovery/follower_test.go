package discovery

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
	"chutechute/internal/ring"
)

// Kinds of frames, as the protocol numbers them.
const (
	heartbeatOnWire = 0
	completeOnWire  = 1
	changesOnWire   = 2
)

func record(id uint32, state, zone byte) []byte {
	b := append(binary.BigEndian.AppendUint32(nil, id), 127, 0, 0, 1, 0, 80, state, zone, 0, 0, 0, 0, 0, 3, 232)
	return append(b, make([]byte, 8)...)
}

func frame(number uint64, kind byte, records ...[]byte) []byte {
	var payload []byte
	for _, r := range records {
		payload = append(payload, r...)
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, number), kind), payload...)
}

// followed is what a follower has accepted.
type followed struct {
	numbers     []uint64
	engines     []string
	connections int
}

// connectionFrames returns the frames of the n-th connection, whose hello has the number of the last event known.
type connectionFrames func(n int, last uint64) [][]byte

// follow simulates the discovery service over one connection after another, until the follower reads one to its end
// without an error, or ten have failed.
func follow(t *testing.T, f *Follower, frames connectionFrames) (got followed) {
	for got.connections = 1; got.connections <= 10; got.connections++ {
		in := ring.New(MaxFrame, &ring.Budget{Max: 2 * MaxFrame})
		for _, b := range frames(got.connections, f.LastEvent) {
			_, err := in.Write(b)
			require.NoError(t, err)
		}
		if err := got.acceptAll(f, in); err == nil {
			return got
		}
	}
	return got
}

// acceptAll has the follower read all frames of a connection, up to the first error.
func (f *followed) acceptAll(follower *Follower, in *ring.Buffer) error {
	for {
		event, isNew, ok, err := follower.Next(in)
		if err != nil || !ok {
			return err
		}
		if !isNew {
			continue
		}
		f.numbers = append(f.numbers, event.Number)
		for _, engine := range event.Engines {
			f.engines = append(f.engines, engine.Engine)
		}
	}
}

func newFollower() *Follower {
	return &Follower{Names: Names{Zones: []string{"a"}, Kinds: []string{"k"}}, LastEvent: 41}
}

// Events that are repeated, out of order or missing on the first connection are each accepted once, in order. A
// follower that skipped an event would never learn of its changes, such as the drain of an engine.
func TestFollowerTakesEachEventOnceInOrder(t *testing.T) {
	event := func(n uint64) []byte { return frame(n, changesOnWire, record(uint32(n), 1, 0)) }
	for name, first := range map[string][][]byte{
		"repeated":  {event(42), event(42), frame(42, heartbeatOnWire), event(43), event(42), event(44)},
		"reordered": {event(43), event(42), event(44)},
		"missing":   {event(42), event(44)},
		"late":      {event(40), event(41), event(42), event(43), event(44)},
	} {
		f := newFollower()
		got := follow(t, f, func(n int, last uint64) (list [][]byte) {
			if n == 1 {
				return first
			}
			for i := last + 1; i <= 44; i++ {
				list = append(list, event(i))
			}
			return list
		})
		assert.Equal(t, []uint64{42, 43, 44}, got.numbers, name)
		assert.LessOrEqual(t, got.connections, 2, name)
		assert.Zero(t, f.Malformed, name)
	}
}

// An event that the service repeats with the same fault, such as a gap in the numbers or a malformed record, does not
// keep the follower from the events after it.
func TestFollowerTakesMalformedEventWhenItComesAgain(t *testing.T) {
	for name, malformed := range map[string][]byte{
		"number left out":       frame(43, changesOnWire, record(7, 1, 0)),
		"unknown zone":          frame(42, changesOnWire, record(7, 1, 0), record(8, 1, 9)),
		"unknown state":         frame(42, changesOnWire, record(8, 7, 0), record(7, 1, 0)),
		"half a record":         frame(42, changesOnWire, record(7, 1, 0), make([]byte, 5)),
		"unknown kind of event": frame(42, 9, record(8, 1, 0)),
	} {
		f := newFollower()
		got := follow(t, f, func(_ int, last uint64) (list [][]byte) {
			if last < 42 {
				list = append(list, malformed)
			}
			return append(list, frame(44, completeOnWire, record(9, 0, 0)))
		})
		assert.Equal(t, uint64(44), got.numbers[len(got.numbers)-1], name)
		assert.Len(t, got.numbers, 2, name)
		assert.Equal(t, 2, got.connections, name)
		assert.Equal(t, 1, f.Malformed, name)
		if name != "unknown kind of event" {
			assert.Equal(t, []string{"s-00000007", "s-00000009"}, got.engines, name)
		}
	}
	f := newFollower() // a stream without valid frames fails on each connection
	got := follow(t, f, func(int, uint64) [][]byte { return [][]byte{{0xff, 0xff, 0xff, 0xff}} })
	assert.Equal(t, 11, got.connections)
	assert.EqualValues(t, 41, f.LastEvent)
}

// When the discovery service fails, all front ends lose their connections at the same moment. Their dials have to be
// spread, with growing delays during the outage, and each front end has to be connected before the service takes the
// events sent since as known.
func TestBackoffSpreadsReconnectsOfAFleet(t *testing.T) {
	const frontEnds, outage = 300, 3 * monotime.Second
	var dials []monotime.Micros
	for seed := range uint64(frontEnds) {
		backoff := NewBackoff(seed)
		at := backoff.ReadTimeout() // the service fails at 0 and is back after the outage
		for {
			at += backoff.NextDelay()
			dials = append(dials, at)
			if at >= outage {
				break
			}
		}
		assert.Less(t, at, 6*monotime.Second)
		assert.GreaterOrEqual(t, at, 2*monotime.Second, "a heartbeat that is a second late closes no connection")
		backoff.Reset()
		assert.Less(t, backoff.NextDelay(), monotime.Second/4, "the delay is short again after a frame")
	}
	busiest := 0
	for _, from := range dials {
		n := 0
		for _, at := range dials {
			if at >= from && at < from+monotime.Second/20 {
				n++
			}
		}
		busiest = max(busiest, n)
	}
	assert.Less(t, busiest, frontEnds/4, "dials within 50 ms")
	assert.Less(t, len(dials), 6*frontEnds)
}
