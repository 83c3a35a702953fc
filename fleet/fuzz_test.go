package fleet_test

import (
	"testing"

	"chutechute/fleet"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
	"chutechute/internal/raftlog"
)

const (
	controlIncarnation  = 5
	attachedIncarnation = 7
)

var fuzzedControlMembers = []membership.ControlMember{{Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}}

// newFuzzedNode returns a control member to which front ends may attach.
func newFuzzedNode(t *testing.T, now monotime.Micros) *fleet.Node {
	n := fleet.NewNode(fleet.Config{
		Name:              "n1",
		Zone:              "a",
		Incarnation:       controlIncarnation,
		PeerZones:         map[string]string{"n2": "b"},
		HeartbeatInterval: 2 * tickInterval,
		RetryInterval:     retryInterval,
		Membership: &membership.Config{
			Name:           "n1",
			Zone:           "a",
			Incarnation:    controlIncarnation,
			ControlMembers: fuzzedControlMembers,
		},
		Replication: replication.Config{
			ID:               8,
			Replicas:         1,
			TickInterval:     tickInterval,
			SnapshotLogBytes: 1 << 20,
			Logger:           raftlog.New(),
		},
	}, func(string) {})
	if err := n.Recover(now, nil); err != nil {
		t.Fatal(err)
	}
	return n
}

func newFuzzedAttachedNode() *fleet.AttachedNode {
	return fleet.NewAttachedNode(fleet.AttachedConfig{
		RetryInterval: retryInterval,
		Membership: membership.Config{
			Name:           "x1",
			Zone:           "b",
			Incarnation:    attachedIncarnation,
			ControlMembers: fuzzedControlMembers,
		},
	}, func(string) {})
}

// FuzzReceive passes messages that a remote side may send after its handshake to nodes of both roles. Neither panics,
// and no message of an attached front end, except its own proposals, causes messages between control members.
func FuzzReceive(f *testing.F) {
	command := replication.Command{
		StateMachineID: 1,
		Version:        1,
		Proposer:       attachedIncarnation,
		Sequence:       1,
		Body:           []byte("body"),
	}
	for _, kind := range []transport.Kind{
		transport.ControlHeartbeat, transport.Proposal, transport.Response, transport.Relay, transport.AttachedHeartbeat,
		transport.ViewUpdate, transport.TablePull, transport.TableUpdate, transport.Forward,
	} {
		f.Add(byte(kind), command.Encode())
		f.Add(byte(kind), []byte{0xff})
	}
	redirect := replication.Response{Sequence: 1, Result: replication.NotLeader, Leader: 9}
	f.Add(byte(transport.Forward), fleet.EncodeForward(attachedIncarnation, transport.Proposal, command.Encode()))
	f.Add(byte(transport.Forward), fleet.EncodeForward(attachedIncarnation, transport.Response, redirect.Encode()))
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		fuzzNode(t, transport.Kind(kind), body)
		fuzzAttachedNode(transport.Kind(kind), body)
	})
}

func fuzzNode(t *testing.T, kind transport.Kind, body []byte) {
	now := second
	n := newFuzzedNode(t, now)
	link := fleet.Link{From: "x1", Zone: "b", Incarnation: attachedIncarnation, ChallengedAt: now, Attached: true}
	n.LinkOpened(now, link)
	err := n.Receive(now, link, kind, body)
	if err == nil && kind != transport.AttachedHeartbeat && kind != transport.Proposal {
		t.Fatalf("%s from an attached front end was accepted", kind)
	}
	for _, action := range n.Actions() {
		if sent, ok := action.(fleet.Send); ok && sent.Incarnation == 0 && kind != transport.Proposal {
			t.Fatalf("%s from an attached front end caused %s to %s", kind, sent.Kind, sent.To)
		}
	}
	_ = n.Receive(now, fleet.Link{From: "n2", Incarnation: 6, ChallengedAt: now}, kind, body) // an error is allowed
	n.Tick(now + tickInterval)
	n.Actions()
}

func fuzzAttachedNode(kind transport.Kind, body []byte) {
	now := second
	a := newFuzzedAttachedNode()
	a.Targets(now)
	a.LinkOpened(now, "n2", 6)
	_ = a.Receive(now, fleet.Link{From: "n2", Incarnation: 6}, kind, body) // an error is allowed
	a.Tick(now + tickInterval)
	a.Actions()
}
