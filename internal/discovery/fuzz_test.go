package discovery

import (
	"testing"

	"chutechute/internal/ring"
)

// Arbitrary bytes from the discovery service, split anywhere, give events with increasing numbers, or an error.
func FuzzFollower(f *testing.F) {
	f.Add(append(frame(41, heartbeatOnWire), frame(42, changesOnWire, record(7, 1, 0))...), 5)
	f.Add(frame(44, completeOnWire, record(7, 1, 9), record(8, 3, 0)), 100)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		follower := newFollower()
		piece = max(1, piece)
		for range 3 { // over three connections
			in := ring.New(MaxFrame, &ring.Budget{Max: MaxFrame})
			for rest := data; len(rest) > 0; {
				n := min(piece, len(rest))
				if _, err := in.Write(rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
				for {
					last := follower.LastEvent
					event, isNew, ok, err := follower.Next(in)
					if err != nil {
						rest = nil
						break
					}
					if !ok {
						break
					}
					if isNew != (follower.LastEvent > last) || isNew && event.Number != follower.LastEvent {
						t.Fatalf("event %d, last %d, then %d, new %v", event.Number, last, follower.LastEvent, isNew)
					}
				}
			}
		}
	})
}
