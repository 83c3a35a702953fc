package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
)

// An attached front end's questions reach the record through any control member, and their answers come back.
func TestAttachedAsksTheRecord(t *testing.T) {
	r := newRig(t, true)
	leads, _ := r.leader()
	for i, zone := range []string{"a", "b", "c"} {
		a := r.attach([]string{"x1", "x2", "x3"}[i], zone)
		r.ready(a)
		view, answers := r.take(a, "once-"+a.name)
		r.until(2*second, "an answer", func() bool { return *answers > 0 })
		assert.Equal(t, a.incarnation, view.Owner)
		assert.Equal(t, idempotency.Waiting, view.Phase)
		if a.Home() != leads.name {
			assert.Positive(t, r.sent[sentMessage{a.Home(), leads.name, transport.Forward}])
		}
	}
	r.pass(3 * second)
	for _, c := range r.controls {
		assert.Equal(t, 3, c.kind.Len(), "each copy has them")
		assert.Zero(t, c.Undeliverable)
	}
	for _, a := range r.attached {
		assert.Equal(t, 1, a.Proposals())
	}
}

// Both roles see all of both roles; a process that ends is seen dead, and one that leaves is seen to have left,
// also in the record's eyes.
func TestAttachedAreSeen(t *testing.T) {
	r := newRig(t, true)
	r.leader()
	a, b, c := r.attach("x1", "a"), r.attach("x2", "b"), r.attach("x3", "c")
	for _, x := range []*attachedFront{a, b, c} {
		r.ready(x)
	}
	for _, x := range r.attached {
		for _, y := range r.attached {
			assert.True(t, x.View().Alive(y.incarnation))
			assert.False(t, x.PresumedDead(y.incarnation))
		}
		for _, n := range r.controls {
			assert.True(t, x.View().Alive(n.incarnation))
			assert.True(t, n.View().Alive(x.incarnation))
			assert.False(t, n.PresumedDead(x.incarnation))
		}
	}
	a.up = false
	b.Leave()
	r.pass(step)
	b.up = false
	r.until(8*second, "dead", func() bool { return c.PresumedDead(a.incarnation) && c.PresumedDead(b.incarnation) })
	e, _ := c.View().Lookup("x2")
	assert.Equal(t, membership.Left, e.State)
	for _, n := range r.controls {
		assert.True(t, n.PresumedDead(a.incarnation) && n.PresumedDead(b.incarnation))
		assert.False(t, n.PresumedDead(c.incarnation))
	}
}

// The home ends while a question is out: it is asked again through another, and answered once.
func TestQuestionSurvivesItsHome(t *testing.T) {
	r := newRig(t, true)
	leads, other := r.leader()
	a := r.attach("x1", zones[other.name])
	r.ready(a)
	require.Equal(t, other.name, a.Home(), "its zone's")
	r.lose = func(_, to string, kind transport.Kind) bool { return kind == transport.Response && to == a.name }
	_, answers := r.take(a, "once")
	r.until(second, "an answer that is lost", func() bool { // by its home, or straight from the leader where it has a link with that
		return r.sent[sentMessage{other.name, a.name, transport.Response}]+r.sent[sentMessage{leads.name, a.name, transport.Response}] > 0
	})
	require.Zero(t, *answers)
	r.lose = nil
	other.up = false
	r.until(10*second, "an answer", func() bool { return *answers > 0 })
	assert.NotEqual(t, other.name, a.Home())
	r.pass(2 * second)
	assert.Equal(t, 1, *answers)
	assert.Equal(t, 1, leads.kind.Len(), "a repeat of the question is the same load")
}

// The leader ends while a question is out: the next leader answers it.
func TestQuestionSurvivesTheLeader(t *testing.T) {
	r := newRig(t, true)
	leads, other := r.leader()
	a := r.attach("x1", zones[other.name])
	r.ready(a)
	r.lose = func(_, _ string, kind transport.Kind) bool { return kind == transport.Forward }
	_, answers := r.take(a, "once")
	r.pass(2 * step)
	leads.up = false
	r.lose = nil
	r.until(15*second, "an answer", func() bool { return *answers > 0 })
}

// The record's word that something has changed reaches the process it is for, by the control member that has its link.
func TestNotesReachAttached(t *testing.T) {
	r := newRig(t, true)
	leads, other := r.leader()
	a, b := r.attach("x1", zones[leads.name]), r.attach("x2", zones[other.name])
	r.ready(a)
	r.ready(b)
	first, _ := r.take(a, "once")
	_, answers := r.take(b, "once")
	r.until(2*second, "both answers", func() bool { return *answers > 0 && first.Owner != 0 })
	owner, waits := a, b
	if first.Owner == b.incarnation {
		owner, waits = b, a
	}
	finish := idempotency.Command{Op: idempotency.Complete, IdempotencyKey: "once", Epoch: first.Epoch, Outcome: idempotency.Unregistered}
	owner.Propose(r.now, leads.kind.ID(), 1, finish.Encode(), func(replication.Response) {})
	r.until(2*second, "a note", func() bool { return len(waits.notes) > 0 })
	assert.Equal(t, "once", waits.notes[0])
}

// What comes for a process that has gone is dropped, and counted.
func TestAnswerForAProcessThatHasGone(t *testing.T) {
	r := newRig(t, true)
	leads, other := r.leader()
	a := r.attach("x1", zones[other.name])
	r.ready(a)
	_, answers := r.take(a, "once")
	r.until(second, "the question is on its way", func() bool { return r.sent[sentMessage{other.name, leads.name, transport.Forward}] > 0 })
	for name := range zones { // it is gone before the answer comes
		if _, ok := a.links[name]; ok {
			r.unlink(a, name)
		}
	}
	a.up = false
	r.pass(second)
	assert.Zero(t, *answers)
	assert.Equal(t, 1, leads.kind.Len())
	assert.Positive(t, leads.Undeliverable+other.Undeliverable)
}

// An attached front end may send heartbeats and questions of its own, and nothing else; where none may attach, nothing.
func TestAttachedMaySendNoMore(t *testing.T) {
	r := newRig(t, true)
	leads, other := r.leader()
	a := r.attach("x1", zones[other.name])
	r.ready(a)
	link := a.links[other.name]
	for kind := transport.ControlHeartbeat; kind <= transport.Forward; kind++ {
		if kind == transport.AttachedHeartbeat || kind == transport.Proposal {
			continue
		}
		assert.ErrorIs(t, other.Receive(r.now, link, kind, nil), transport.ErrUnknownKind, kind.String())
	}
	command := replication.Command{StateMachine: 1, Version: 1, Proposer: replication.Incarnation(leads.incarnation), Sequence: 1}
	assert.ErrorIs(t, other.Receive(r.now, link, transport.Proposal, command.Encode()), fleet.ErrProposerMismatch)
	assert.Error(t, other.Receive(r.now, link, transport.Proposal, []byte{0xff}))
	assert.Error(t, other.Receive(r.now, link, transport.AttachedHeartbeat, []byte{0xff}))
	r.pump()
	assert.Zero(t, r.sent[sentMessage{other.name, leads.name, transport.Forward}])
	for kind := transport.Challenge; kind <= transport.Forward; kind++ {
		if kind != transport.ViewUpdate && kind != transport.Response && kind != transport.Notification {
			assert.ErrorIs(t, a.Receive(r.now, fleet.Link{From: other.name, Incarnation: other.incarnation}, kind, nil), transport.ErrUnknownKind, kind.String())
		}
	}

	off := newRig(t, false)
	n, _ := off.leader()
	link = fleet.Link{From: "x1", Incarnation: 5, ChallengedAt: off.now, Attached: true}
	assert.ErrorIs(t, n.Receive(off.now, link, transport.AttachedHeartbeat, nil), fleet.ErrAttachmentDisabled)
	assert.ErrorIs(t, n.Receive(off.now, fleet.Link{From: "n2", Incarnation: off.controls["n2"].incarnation}, transport.TableUpdate, nil), fleet.ErrAttachmentDisabled)
	assert.Nil(t, n.View())
}

// A control member that passes on a question in another's name, or something that is none, loses its link.
func TestForwardedIsChecked(t *testing.T) {
	r := newRig(t, true)
	leads, other := r.leader()
	link := fleet.Link{From: other.name, Incarnation: other.incarnation, ChallengedAt: second}
	ask := replication.Command{StateMachine: 1, Version: 1, Proposer: 7, Sequence: 1}
	for want, body := range map[error][]byte{
		fleet.ErrProposerMismatch: fleet.EncodeForward(8, transport.Proposal, ask.Encode()),
		transport.ErrUnknownKind:  fleet.EncodeForward(7, transport.ControlHeartbeat, nil),
	} {
		assert.ErrorIs(t, leads.Receive(r.now, link, transport.Forward, body), want)
	}
	assert.Error(t, leads.Receive(r.now, link, transport.Forward, []byte{0xff}))
	assert.Error(t, leads.Receive(r.now, link, transport.Forward, fleet.EncodeForward(7, transport.Proposal, []byte{0xff})))
}

// What an attached front end has under way is never offered to others: a leader that sees its process dead leaves
// it alone, and lets what has not begun lapse.
func TestLoadsOfAttachedAreNotOffered(t *testing.T) {
	r := newRig(t, true)
	leads, _ := r.leader()
	a := r.attach("x1", "a")
	r.ready(a)
	view, _ := r.take(a, "started")
	_, answers := r.take(a, "waiting")
	r.until(2*second, "answers", func() bool { return *answers > 0 })
	start := idempotency.Command{Op: idempotency.AuthorizeAttempt, IdempotencyKey: "started", Epoch: view.Epoch, Attempt: 1, Engine: "s-1", RequestID: "call-started"}
	var begun bool
	a.Propose(r.now, leads.kind.ID(), 1, start.Encode(), func(replication.Response) { begun = true })
	r.until(2*second, "a start", func() bool { return begun })
	a.up = false
	r.until(6*second, "gone", func() bool { return leads.PresumedDead(a.incarnation) })
	r.pass(3500 * ms)
	phases := map[string]idempotency.RecordStatus{}
	for _, l := range leads.kind.Records() {
		phases[l.IdempotencyKey] = l
	}
	assert.Equal(t, "started", phases["started"].Phase)
	assert.Equal(t, view.Epoch, phases["started"].Epoch, "it has been offered to nobody")
	assert.NotEqual(t, "waiting", phases["waiting"].Phase)
}

// A load that an attached front end hands on, as it ends as planned, is offered to a control member.
func TestAttachedHandsOnItsLoads(t *testing.T) {
	r := newRig(t, true)
	leads, _ := r.leader()
	a := r.attach("x1", "a")
	r.ready(a)
	view, answers := r.take(a, "once")
	r.until(2*second, "an answer", func() bool { return *answers > 0 })
	done := 0
	for _, c := range []idempotency.Command{
		{Op: idempotency.AuthorizeAttempt, IdempotencyKey: "once", Epoch: view.Epoch, Attempt: 1, Engine: "s-1", RequestID: "call-once"},
		{Op: idempotency.Transfer, IdempotencyKey: "once", Epoch: view.Epoch},
	} {
		done = 0
		a.Propose(r.now, leads.kind.ID(), 1, c.Encode(), func(replication.Response) { done++ })
		r.until(2*second, "done", func() bool { return done > 0 })
	}
	r.until(3*second, "an owner", func() bool {
		for _, n := range r.controls {
			if leads.kind.Records()[0].Owner == fmt.Sprintf("%016x", n.incarnation) {
				return true
			}
		}
		return false
	})
}
