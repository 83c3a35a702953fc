package fleet_test

import (
	"testing"

	"chutechute/attach"
	"chutechute/fleet"
	"chutechute/internal/raftlog"
	"chutechute/ledger"
	"chutechute/peer"
)

// FuzzReceive feeds what a peer may send, once its hello holds, to both roles. Nothing panics; and an attached front end's message
// never becomes one among control members, but for a question in its own name.
func FuzzReceive(f *testing.F) {
	const own, process = 5, 7
	ask := ledger.Command{Kind: 1, Version: 1, Asker: process, Seq: 1, Body: []byte("body")}
	for _, kind := range []peer.Kind{peer.Status, peer.Ask, peer.Answer, peer.Relay, peer.Heartbeat, peer.View, peer.Pull, peer.Table, peer.Forward} {
		f.Add(byte(kind), ask.Encode())
		f.Add(byte(kind), []byte{0xff})
	}
	f.Add(byte(peer.Forward), fleet.Forwarded(process, peer.Ask, ask.Encode()))
	f.Add(byte(peer.Forward), fleet.Forwarded(process, peer.Answer, ledger.Answer{Seq: 1, Result: ledger.NotLeader, Leader: 9}.Encode()))
	controls := []attach.ControlMember{{Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}}
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		now := second
		n := fleet.New(fleet.Config{Name: "n1", Zone: "a", Incarnation: own, Zones: map[string]string{"n2": "b"}, Beat: 2 * tick, Retry: 4 * tick,
			Attach: &attach.Config{Name: "n1", Zone: "a", Incarnation: own, Controls: controls},
			Copies: ledger.Config{ID: 8, Copies: 1, Tick: tick, LogBytes: 1 << 20, Logger: raftlog.New()}}, func(string) {})
		if err := n.Open(now, nil); err != nil {
			t.Fatal(err)
		}
		link := fleet.Link{From: "x1", Zone: "b", Incarnation: process, Greeted: now, Attached: true}
		n.Linked(now, link)
		err := n.Receive(now, link, peer.Kind(kind), body)
		if err == nil && peer.Kind(kind) != peer.Heartbeat && peer.Kind(kind) != peer.Ask {
			t.Fatalf("%s was taken", peer.Kind(kind))
		}
		for _, a := range n.Actions() {
			if m, ok := a.(fleet.Tell); ok && m.Incarnation == 0 && peer.Kind(kind) != peer.Ask {
				t.Fatalf("%s has led to %s to %s", peer.Kind(kind), m.Kind, m.To)
			}
		}
		_ = n.Receive(now, fleet.Link{From: "n2", Incarnation: 6, Greeted: now}, peer.Kind(kind), body) // any error will do
		n.Tick(now + tick)
		n.Actions()

		a := fleet.NewAttached(fleet.AttachedConfig{Retry: 4 * tick, Attach: attach.Config{Name: "x1", Zone: "b", Incarnation: process,
			Controls: controls}}, func(string) {})
		a.Targets(now)
		a.Linked(now, "n2", 6)
		_ = a.Receive(now, fleet.Link{From: "n2", Incarnation: 6}, peer.Kind(kind), body)
		a.Tick(now + tick)
		a.Actions()
	})
}
