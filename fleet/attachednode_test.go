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

// The proposals of an attached front end reach the replicated log through any control member, and their responses
// arrive.
func TestProposalsOfAttachedFrontEndsAreCommitted(t *testing.T) {
	c := newCluster(t, true)
	leader, _ := c.waitForLeader()
	for i, zone := range []string{"a", "b", "c"} {
		a := c.attach([]string{"x1", "x2", "x3"}[i], zone)
		c.waitForView(a)
		response := c.register(a, "once-"+a.name)
		c.waitFor(2*second, "a response", response.received)
		assert.Equal(t, a.incarnation, response.Owner)
		assert.Equal(t, idempotency.Waiting, response.Phase)
		if a.Home() != leader.name {
			assert.Positive(t, c.sent[messageRoute{a.Home(), leader.name, transport.Forward}])
		}
	}
	c.run(3 * second)
	for _, m := range c.controlMembers {
		assert.Equal(t, 3, m.registry.Len(), "each replica has all requests")
		assert.Zero(t, m.Undeliverable)
	}
	for _, a := range c.attached {
		assert.Equal(t, 1, a.Proposals())
	}
}

// Front ends of each role have those of both roles in their views. A process that dies or leaves is presumed dead by
// the views and by the failure detector of the replicated log.
func TestFrontEndsOfBothRolesSeeOneAnother(t *testing.T) {
	c := newCluster(t, true)
	c.waitForLeader()
	dying, leaving, remaining := c.attach("x1", "a"), c.attach("x2", "b"), c.attach("x3", "c")
	for _, a := range []*attachedFrontEnd{dying, leaving, remaining} {
		c.waitForView(a)
	}
	for _, a := range c.attached {
		for _, other := range c.attached {
			assert.True(t, a.View().Alive(other.incarnation))
			assert.False(t, a.PresumedDead(other.incarnation))
		}
		for _, m := range c.controlMembers {
			assert.True(t, a.View().Alive(m.incarnation))
			assert.True(t, m.View().Alive(a.incarnation))
			assert.False(t, m.PresumedDead(a.incarnation))
		}
	}
	dying.running = false
	leaving.Leave()
	c.run(stepInterval)
	leaving.running = false
	c.waitFor(8*second, "both presumed dead", func() bool {
		return remaining.PresumedDead(dying.incarnation) && remaining.PresumedDead(leaving.incarnation)
	})
	entry, _ := remaining.View().Lookup("x2")
	assert.Equal(t, membership.Left, entry.State)
	for _, m := range c.controlMembers {
		assert.True(t, m.PresumedDead(dying.incarnation) && m.PresumedDead(leaving.incarnation))
		assert.False(t, m.PresumedDead(remaining.incarnation))
	}
}

// If the home dies while a proposal is pending, the proposal is sent again through another control member and gets one
// response.
func TestProposalSurvivesItsHome(t *testing.T) {
	c := newCluster(t, true)
	leader, follower := c.waitForLeader()
	a := c.attach("x1", zones[follower.name])
	c.waitForView(a)
	require.Equal(t, follower.name, a.Home(), "the control member of its zone")
	c.drop = func(_, to string, kind transport.Kind) bool { return kind == transport.Response && to == a.name }
	response := c.register(a, "once")
	c.waitFor(second, "a response that is dropped", func() bool {
		// from its home, or directly from the leader if it has a link to that
		fromHome := c.sent[messageRoute{follower.name, a.name, transport.Response}]
		fromLeader := c.sent[messageRoute{leader.name, a.name, transport.Response}]
		return fromHome+fromLeader > 0
	})
	require.Zero(t, response.count)
	c.drop = nil
	follower.running = false
	c.waitFor(10*second, "a response", response.received)
	assert.NotEqual(t, follower.name, a.Home())
	c.run(2 * second)
	assert.Equal(t, 1, response.count)
	assert.Equal(t, 1, leader.registry.Len(), "the proposal that is sent again registers the same request")
}

// If the leader dies while a proposal is pending, the next leader responds.
func TestProposalSurvivesTheLeader(t *testing.T) {
	c := newCluster(t, true)
	leader, follower := c.waitForLeader()
	a := c.attach("x1", zones[follower.name])
	c.waitForView(a)
	c.drop = func(_, _ string, kind transport.Kind) bool { return kind == transport.Forward }
	response := c.register(a, "once")
	c.run(2 * stepInterval)
	leader.running = false
	c.drop = nil
	c.waitFor(15*second, "a response", response.received)
}

// A notification of the replicated log reaches the process of an attached front end that it is addressed to, through a
// control member that has a link to that process.
func TestNotificationsReachAttachedFrontEnds(t *testing.T) {
	c := newCluster(t, true)
	leader, follower := c.waitForLeader()
	a, b := c.attach("x1", zones[leader.name]), c.attach("x2", zones[follower.name])
	c.waitForView(a)
	c.waitForView(b)
	first := c.register(a, "once")
	later := c.register(b, "once")
	c.waitFor(2*second, "both responses", func() bool { return later.received() && first.Owner != 0 })
	owner, waiting := a, b
	if first.Owner == b.incarnation {
		owner, waiting = b, a
	}
	complete := idempotency.Command{
		Op:             idempotency.Complete,
		IdempotencyKey: "once",
		Epoch:          first.Epoch,
		Outcome:        idempotency.Unregistered,
	}
	c.propose(owner, &complete, func(replication.Response) {})
	c.waitFor(2*second, "a notification", func() bool { return len(waiting.notifications) > 0 })
	assert.Equal(t, "once", waiting.notifications[0])
}

// A response for a process that has disconnected is dropped, and counted.
func TestResponseForADisconnectedProcessIsDropped(t *testing.T) {
	c := newCluster(t, true)
	leader, follower := c.waitForLeader()
	a := c.attach("x1", zones[follower.name])
	c.waitForView(a)
	response := c.register(a, "once")
	c.waitFor(second, "the forwarded proposal", func() bool {
		return c.sent[messageRoute{follower.name, leader.name, transport.Forward}] > 0
	})
	for name := range zones { // it disconnects before the response arrives
		if _, ok := a.links[name]; ok {
			c.closeLink(a, name)
		}
	}
	a.running = false
	c.run(second)
	assert.Zero(t, response.count)
	assert.Equal(t, 1, leader.registry.Len())
	assert.Positive(t, leader.Undeliverable+follower.Undeliverable)
}

// An attached front end may send only heartbeats and its own proposals, and accepts only views, responses and
// notifications.
func TestAttachedFrontEndsMaySendHeartbeatsAndProposalsOnly(t *testing.T) {
	c := newCluster(t, true)
	leader, follower := c.waitForLeader()
	a := c.attach("x1", zones[follower.name])
	c.waitForView(a)
	link := a.links[follower.name]
	for kind := transport.ControlHeartbeat; kind <= transport.Forward; kind++ {
		if kind == transport.AttachedHeartbeat || kind == transport.Proposal {
			continue
		}
		assert.ErrorIs(t, follower.Receive(c.now, link, kind, nil), transport.ErrUnknownKind, kind.String())
	}
	otherProposer := replication.Command{
		StateMachineID: 1,
		Version:        1,
		Proposer:       replication.Incarnation(leader.incarnation),
		Sequence:       1,
	}
	err := follower.Receive(c.now, link, transport.Proposal, otherProposer.Encode())
	assert.ErrorIs(t, err, fleet.ErrProposerMismatch)
	assert.Error(t, follower.Receive(c.now, link, transport.Proposal, []byte{0xff}))
	assert.Error(t, follower.Receive(c.now, link, transport.AttachedHeartbeat, []byte{0xff}))
	c.runActions()
	assert.Zero(t, c.sent[messageRoute{follower.name, leader.name, transport.Forward}])
	link = fleet.Link{From: follower.name, Incarnation: follower.incarnation}
	for kind := transport.Challenge; kind <= transport.Forward; kind++ {
		if kind == transport.ViewUpdate || kind == transport.Response || kind == transport.Notification {
			continue
		}
		assert.ErrorIs(t, a.Receive(c.now, link, kind, nil), transport.ErrUnknownKind, kind.String())
	}

	c = newCluster(t, false)
	leader, _ = c.waitForLeader()
	link = fleet.Link{From: "x1", Incarnation: 5, ChallengedAt: c.now, Attached: true}
	err = leader.Receive(c.now, link, transport.AttachedHeartbeat, nil)
	assert.ErrorIs(t, err, fleet.ErrAttachmentDisabled)
	link = fleet.Link{From: "n2", Incarnation: c.controlMembers["n2"].incarnation}
	err = leader.Receive(c.now, link, transport.TableUpdate, nil)
	assert.ErrorIs(t, err, fleet.ErrAttachmentDisabled)
	assert.Nil(t, leader.View())
}

// A forwarded message is an error, after which the link is closed, if it is a proposal that does not come from its
// proposer, is of a kind that is never forwarded, or is malformed.
func TestForwardedMessagesAreChecked(t *testing.T) {
	c := newCluster(t, true)
	leader, follower := c.waitForLeader()
	link := fleet.Link{From: follower.name, Incarnation: follower.incarnation, ChallengedAt: second}
	command := replication.Command{StateMachineID: 1, Version: 1, Proposer: 7, Sequence: 1}
	for want, body := range map[error][]byte{
		fleet.ErrProposerMismatch: fleet.EncodeForward(8, transport.Proposal, command.Encode()),
		transport.ErrUnknownKind:  fleet.EncodeForward(7, transport.ControlHeartbeat, nil),
	} {
		assert.ErrorIs(t, leader.Receive(c.now, link, transport.Forward, body), want)
	}
	assert.Error(t, leader.Receive(c.now, link, transport.Forward, []byte{0xff}))
	malformed := fleet.EncodeForward(7, transport.Proposal, []byte{0xff})
	assert.Error(t, leader.Receive(c.now, link, transport.Forward, malformed))
}

// The requests that an attached front end has in flight are never offered to other front ends. A leader that presumes
// its process dead does not change the owner of those that have started, and expires those that have not.
func TestRequestsOfADeadAttachedFrontEndAreNotOffered(t *testing.T) {
	c := newCluster(t, true)
	leader, _ := c.waitForLeader()
	a := c.attach("x1", "a")
	c.waitForView(a)
	started := c.register(a, "started")
	waiting := c.register(a, "waiting")
	c.waitFor(2*second, "responses", waiting.received)
	c.proposeAndWait(a, &idempotency.Command{
		Op:             idempotency.AuthorizeAttempt,
		IdempotencyKey: "started",
		Epoch:          started.Epoch,
		Attempt:        1,
		Engine:         "s-1",
		RequestID:      "call-started",
	})
	a.running = false
	c.waitFor(6*second, "presumed dead", func() bool { return leader.PresumedDead(a.incarnation) })
	c.run(3500 * ms)
	records := map[string]idempotency.RecordStatus{}
	for _, record := range leader.registry.Records() {
		records[record.IdempotencyKey] = record
	}
	assert.Equal(t, "started", records["started"].Phase)
	assert.Equal(t, started.Epoch, records["started"].Epoch, "it was offered to no front end")
	assert.NotEqual(t, "waiting", records["waiting"].Phase)
}

// A request that an attached front end transfers while it leaves is offered to a control member.
func TestTransferredRequestsOfAttachedFrontEndsAreOffered(t *testing.T) {
	c := newCluster(t, true)
	leader, _ := c.waitForLeader()
	a := c.attach("x1", "a")
	c.waitForView(a)
	response := c.register(a, "once")
	c.waitFor(2*second, "a response", response.received)
	c.proposeAndWait(a, &idempotency.Command{
		Op:             idempotency.AuthorizeAttempt,
		IdempotencyKey: "once",
		Epoch:          response.Epoch,
		Attempt:        1,
		Engine:         "s-1",
		RequestID:      "call-once",
	})
	c.proposeAndWait(a, &idempotency.Command{Op: idempotency.Transfer, IdempotencyKey: "once", Epoch: response.Epoch})
	c.waitFor(3*second, "an owner", func() bool {
		for _, m := range c.controlMembers {
			if leader.registry.Records()[0].Owner == fmt.Sprintf("%016x", m.incarnation) {
				return true
			}
		}
		return false
	})
}
