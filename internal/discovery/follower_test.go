package discovery

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
	"chutechute/internal/ring"
)

const (
	whole   = 1
	changes = 2
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

// follow plays the journal service's side of one connection after another, each from the event after the last one known, and
// gives the numbers taken and how many connections it took. A connection holds what comes after that by the service's list.
func follow(t *testing.T, f *Follower, connection func(n int, last uint64) [][]byte) (taken []uint64, engines []string, conns int) {
	for conns = 1; conns <= 10; conns++ {
		in := ring.New(MaxFrame, &ring.Budget{Most: 2 * MaxFrame})
		failed := false
		for _, b := range connection(conns, f.Last) {
			_, err := in.Write(b)
			require.NoError(t, err)
		}
		for {
			e, news, ok, err := f.Next(in)
			if failed = err != nil; failed || !ok {
				break
			}
			if news {
				taken = append(taken, e.Number)
				for _, en := range e.Engines {
					engines = append(engines, en.Engine)
				}
			}
		}
		if !failed {
			return taken, engines, conns
		}
	}
	return taken, engines, conns
}

func follower() *Follower {
	return &Follower{Names: Names{Zones: []string{"a"}, Kinds: []string{"k"}}, Last: 41}
}

// Events that come again, out of order or with one missing are each taken once, in order: a drain that was passed over for its
// successor was never heard of.
func TestFollowerTakesEachEventOnceInOrder(t *testing.T) {
	event := func(n uint64) []byte { return frame(n, changes, record(uint32(n), 1, 0)) }
	for name, first := range map[string][][]byte{
		"repeated":  {event(42), event(42), frame(42, 0), event(43), event(42), event(44)},
		"reordered": {event(43), event(42), event(44)},
		"missing":   {event(42), event(44)},
		"late":      {event(40), event(41), event(42), event(43), event(44)},
	} {
		f := follower()
		taken, _, conns := follow(t, f, func(n int, last uint64) (list [][]byte) {
			if n == 1 {
				return first
			}
			for i := last + 1; i <= 44; i++ {
				list = append(list, event(i))
			}
			return list
		})
		assert.Equal(t, []uint64{42, 43, 44}, taken, name)
		assert.LessOrEqual(t, conns, 2, name)
		assert.Zero(t, f.Malformed, name)
	}
}

// What the service has just so, with a number left out or a record that can't be read, does not keep the front end from all that
// comes after it.
func TestFollowerTakesMalformedEventWhenItComesAgain(t *testing.T) {
	for name, odd := range map[string][]byte{
		"number left out":       frame(43, changes, record(7, 1, 0)),
		"unknown zone":          frame(42, changes, record(7, 1, 0), record(8, 1, 9)),
		"unknown state":         frame(42, changes, record(8, 7, 0), record(7, 1, 0)),
		"half a record":         frame(42, changes, record(7, 1, 0), make([]byte, 5)),
		"unknown kind of event": frame(42, 9, record(8, 1, 0)),
	} {
		f := follower()
		taken, engines, conns := follow(t, f, func(_ int, last uint64) (list [][]byte) {
			if last < 42 {
				list = append(list, odd)
			}
			return append(list, frame(44, whole, record(9, 0, 0)))
		})
		assert.Equal(t, uint64(44), taken[len(taken)-1], name)
		assert.Len(t, taken, 2, name)
		assert.Equal(t, 2, conns, name)
		assert.Equal(t, 1, f.Malformed, name)
		if name != "unknown kind of event" {
			assert.Equal(t, []string{"s-00000007", "s-00000009"}, engines, name)
		}
	}
	f := follower() // and a stream that is none of ours ends each time
	_, _, conns := follow(t, f, func(int, uint64) [][]byte { return [][]byte{{0xff, 0xff, 0xff, 0xff}} })
	assert.Equal(t, 11, conns)
	assert.EqualValues(t, 41, f.Last)
}

// When the journal service goes, all front ends lose it in one moment. They dial it again apart from each other, ever less often
// while it is away, and each has been heard well before what it has to tell counts as told.
func TestBackoffSpreadsReconnectsOfAFleet(t *testing.T) {
	const fronts, away = 300, 3 * monotime.Second
	var dials []monotime.Micros
	for seed := range uint64(fronts) {
		r := NewBackoff(seed)
		at := r.ReadTimeout() // it fell silent at 0 and is back after a while
		for {
			at += r.NextDelay()
			dials = append(dials, at)
			if at >= away {
				break
			}
		}
		assert.Less(t, at, 6*monotime.Second)
		assert.GreaterOrEqual(t, at, 2*monotime.Second, "an empty frame that is a second late is no silence")
		r.Reset()
		assert.Less(t, r.NextDelay(), monotime.Second/4, "and is dialled soon after a break once it has been heard")
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
	assert.Less(t, busiest, fronts/4, "dials within 50 ms")
	assert.Less(t, len(dials), 6*fronts)
}
