package fleet_test

import (
	"testing"

	"chutechute/fleet"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/raftlog"
)

// FuzzReceive feeds what a peer may send, once its hello holds, to both roles. Nothing panics; and an attached
// front end's message never becomes one among control members, but for a question in its own name.
func FuzzReceive(f *testing.F) {
	const own, process = 5, 7
	ask := replication.Command{StateMachine: 1, Version: 1, Proposer: process, Sequence: 1, Body: []byte("body")}
	for _, kind := range []transport.Kind{transport.ControlHeartbeat, transport.Proposal, transport.Response, transport.Relay, transport.AttachedHeartbeat, transport.ViewUpdate, transport.TablePull, transport.TableUpdate, transport.Forward} {
		f.Add(byte(kind), ask.Encode())
		f.Add(byte(kind), []byte{0xff})
	}
	f.Add(byte(transport.Forward), fleet.EncodeForward(process, transport.Proposal, ask.Encode()))
	f.Add(byte(transport.Forward), fleet.EncodeForward(process, transport.Response, replication.Response{Sequence: 1, Result: replication.NotLeader, Leader: 9}.Encode()))
	controls := []membership.ControlMember{{Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}}
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		now := second
		n := fleet.NewNode(fleet.Config{Name: "n1", Zone: "a", Incarnation: own, Zones: map[string]string{"n2": "b"}, HeartbeatInterval: 2 * tick, RetryInterval: 4 * tick,
			Membership:  &membership.Config{Name: "n1", Zone: "a", Incarnation: own, ControlMembers: controls},
			Replication: replication.Config{ID: 8, Replicas: 1, TickInterval: tick, SnapshotLogBytes: 1 << 20, Logger: raftlog.New()}}, func(string) {})
		if err := n.Recover(now, nil); err != nil {
			t.Fatal(err)
		}
		link := fleet.Link{From: "x1", Zone: "b", Incarnation: process, ChallengedAt: now, Attached: true}
		n.LinkOpened(now, link)
		err := n.Receive(now, link, transport.Kind(kind), body)
		if err == nil && transport.Kind(kind) != transport.AttachedHeartbeat && transport.Kind(kind) != transport.Proposal {
			t.Fatalf("%s was taken", transport.Kind(kind))
		}
		for _, a := range n.Actions() {
			if m, ok := a.(fleet.Send); ok && m.Incarnation == 0 && transport.Kind(kind) != transport.Proposal {
				t.Fatalf("%s has led to %s to %s", transport.Kind(kind), m.Kind, m.To)
			}
		}
		_ = n.Receive(now, fleet.Link{From: "n2", Incarnation: 6, ChallengedAt: now}, transport.Kind(kind), body) // any error will do
		n.Tick(now + tick)
		n.Actions()

		a := fleet.NewAttachedNode(fleet.AttachedConfig{RetryInterval: 4 * tick, Membership: membership.Config{Name: "x1", Zone: "b", Incarnation: process,
			ControlMembers: controls}}, func(string) {})
		a.Targets(now)
		a.LinkOpened(now, "n2", 6)
		_ = a.Receive(now, fleet.Link{From: "n2", Incarnation: 6}, transport.Kind(kind), body)
		a.Tick(now + tick)
		a.Actions()
	})
}
