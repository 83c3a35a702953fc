package fleet_test

import (
	"testing"

	"chutechute/fleet"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/raftlog"
)

// FuzzReceive feeds what a peer may send, once its hello holds, to both roles. Nothing panics; and an attached front end's message
// never becomes one among control members, but for a question in its own name.
func FuzzReceive(f *testing.F) {
	const own, process = 5, 7
	ask := replication.Command{Kind: 1, Version: 1, Asker: process, Seq: 1, Body: []byte("body")}
	for _, kind := range []transport.Kind{transport.Status, transport.Ask, transport.Answer, transport.Relay, transport.Heartbeat, transport.View, transport.Pull, transport.Table, transport.Forward} {
		f.Add(byte(kind), ask.Encode())
		f.Add(byte(kind), []byte{0xff})
	}
	f.Add(byte(transport.Forward), fleet.Forwarded(process, transport.Ask, ask.Encode()))
	f.Add(byte(transport.Forward), fleet.Forwarded(process, transport.Answer, replication.Answer{Seq: 1, Result: replication.NotLeader, Leader: 9}.Encode()))
	controls := []membership.ControlMember{{Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}}
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		now := second
		n := fleet.New(fleet.Config{Name: "n1", Zone: "a", Incarnation: own, Zones: map[string]string{"n2": "b"}, Beat: 2 * tick, Retry: 4 * tick,
			Attach: &membership.Config{Name: "n1", Zone: "a", Incarnation: own, Controls: controls},
			Copies: replication.Config{ID: 8, Copies: 1, Tick: tick, LogBytes: 1 << 20, Logger: raftlog.New()}}, func(string) {})
		if err := n.Open(now, nil); err != nil {
			t.Fatal(err)
		}
		link := fleet.Link{From: "x1", Zone: "b", Incarnation: process, Greeted: now, Attached: true}
		n.Linked(now, link)
		err := n.Receive(now, link, transport.Kind(kind), body)
		if err == nil && transport.Kind(kind) != transport.Heartbeat && transport.Kind(kind) != transport.Ask {
			t.Fatalf("%s was taken", transport.Kind(kind))
		}
		for _, a := range n.Actions() {
			if m, ok := a.(fleet.Tell); ok && m.Incarnation == 0 && transport.Kind(kind) != transport.Ask {
				t.Fatalf("%s has led to %s to %s", transport.Kind(kind), m.Kind, m.To)
			}
		}
		_ = n.Receive(now, fleet.Link{From: "n2", Incarnation: 6, Greeted: now}, transport.Kind(kind), body) // any error will do
		n.Tick(now + tick)
		n.Actions()

		a := fleet.NewAttached(fleet.AttachedConfig{Retry: 4 * tick, Attach: membership.Config{Name: "x1", Zone: "b", Incarnation: process,
			Controls: controls}}, func(string) {})
		a.Targets(now)
		a.Linked(now, "n2", 6)
		_ = a.Receive(now, fleet.Link{From: "n2", Incarnation: 6}, transport.Kind(kind), body)
		a.Tick(now + tick)
		a.Actions()
	})
}
