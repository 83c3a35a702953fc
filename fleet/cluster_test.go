package fleet_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/fleet"
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
	"chutechute/internal/raftlog"
	"chutechute/internal/testharness"
)

func TestMain(m *testing.M) { os.Exit(testharness.RunWithFixedSeed(m)) }

const (
	ms            = monotime.Millisecond
	second        = monotime.Second
	stepInterval  = 25 * ms
	tickInterval  = 50 * ms
	retryInterval = 4 * tickInterval
)

// cluster runs control members and attached front ends in virtual time. A message arrives one step after it was sent.
type cluster struct {
	t              *testing.T
	now            monotime.Micros
	lastID         uint64
	controlMembers map[string]*controlMember
	attached       map[string]*attachedFrontEnd
	inFlight       []func() // each delivers a message
	// drop reports whether a message is dropped; nil drops none.
	drop func(from, to string, kind transport.Kind) bool
	sent map[messageRoute]int // number of messages so far, including dropped ones
}

type messageRoute struct {
	from, to string
	kind     transport.Kind
}

type controlMember struct {
	*fleet.Node
	name        string
	incarnation uint64
	running     bool
	registry    *idempotency.Registry
}

type attachedFrontEnd struct {
	*fleet.AttachedNode
	name, zone    string
	incarnation   uint64
	links         map[string]fleet.Link // by the control member's name, as the control member sees them
	notifications []string
	running       bool
}

// zones maps the names of the control members to their zones.
var zones = map[string]string{"n1": "a", "n2": "b", "n3": "c"}

func membershipControlMembers() (members []membership.ControlMember) {
	for _, name := range sortedKeys(zones) {
		members = append(members, membership.ControlMember{Name: name, Zone: zones[name]})
	}
	return members
}

// newCluster returns three control members, to which front ends may attach if acceptsAttached is set.
func newCluster(t *testing.T, acceptsAttached bool) *cluster {
	c := &cluster{
		t:              t,
		now:            second,
		lastID:         1000,
		controlMembers: map[string]*controlMember{},
		attached:       map[string]*attachedFrontEnd{},
		sent:           map[messageRoute]int{},
	}
	for name := range zones {
		c.controlMembers[name] = c.newControlMember(name, acceptsAttached)
	}
	return c
}

func (c *cluster) newID() uint64 {
	c.lastID++
	return c.lastID
}

func (c *cluster) newControlMember(name string, acceptsAttached bool) *controlMember {
	m := &controlMember{name: name, incarnation: c.newID(), running: true}
	m.registry = idempotency.NewRegistry(idempotency.Options{
		MaxBytes:      1 << 20,
		Retention:     60 * second,
		OrphanTimeout: 3 * second,
	})
	otherZones := maps.Clone(zones)
	delete(otherZones, name)
	cfg := fleet.Config{
		Name:              name,
		Zone:              zones[name],
		Incarnation:       m.incarnation,
		PeerZones:         otherZones,
		HeartbeatInterval: 2 * tickInterval,
		RetryInterval:     retryInterval,
		NewID:             c.newID,
		Heartbeat:         heartbeat.Config{SuspectAfter: 600 * ms, DeadAfter: 3 * second, PauseThreshold: 300 * ms},
		Replication: replication.Config{
			ID:               c.newID(),
			Replicas:         3,
			TickInterval:     tickInterval,
			ReplaceAfter:     10 * second,
			SnapshotLogBytes: 1 << 20,
			Logger:           raftlog.New(),
			StateMachines:    []replication.StateMachine{m.registry},
		},
	}
	if acceptsAttached {
		cfg.Membership = &membership.Config{
			Name:           name,
			Zone:           zones[name],
			Incarnation:    m.incarnation,
			ControlMembers: membershipControlMembers(),
		}
	}
	m.Node = fleet.NewNode(cfg, func(string) {})
	require.NoError(c.t, m.Recover(c.now, nil))
	return m
}

// attach starts an attached front end.
func (c *cluster) attach(name, zone string) *attachedFrontEnd {
	a := &attachedFrontEnd{
		name:        name,
		zone:        zone,
		incarnation: c.newID(),
		links:       map[string]fleet.Link{},
		running:     true,
	}
	cfg := fleet.AttachedConfig{
		RetryInterval: retryInterval,
		Membership: membership.Config{
			Name:           name,
			Zone:           zone,
			Incarnation:    a.incarnation,
			ControlMembers: membershipControlMembers(),
			Seed:           a.incarnation,
		},
	}
	a.AttachedNode = fleet.NewAttachedNode(cfg, func(topic string) { a.notifications = append(a.notifications, topic) })
	c.attached[name] = a
	return a
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// step advances the time by one step, delivers the messages in flight and ticks all front ends.
func (c *cluster) step() {
	c.now += stepInterval
	deliveries := c.inFlight
	c.inFlight = nil
	for _, deliver := range deliveries {
		deliver()
	}
	for _, name := range sortedKeys(c.attached) {
		if a := c.attached[name]; a.running {
			c.updateLinks(a)
			a.Tick(c.now)
		}
	}
	for _, name := range sortedKeys(c.controlMembers) {
		if m := c.controlMembers[name]; m.running {
			m.Tick(c.now)
		}
	}
	c.runActions()
}

// updateLinks opens links to the targets of an attached front end and closes its links to others.
func (c *cluster) updateLinks(a *attachedFrontEnd) {
	targets := a.Targets(c.now)
	for _, name := range sortedKeys(a.links) {
		if !slices.Contains(targets, name) || !c.controlMembers[name].running {
			c.closeLink(a, name)
		}
	}
	for _, name := range targets {
		if _, ok := a.links[name]; !ok {
			c.openLink(a, name)
		}
	}
}

func (c *cluster) openLink(a *attachedFrontEnd, name string) {
	m := c.controlMembers[name]
	if !m.running {
		a.LinkClosed(c.now, name)
		return
	}
	l := fleet.Link{From: a.name, Zone: a.zone, Incarnation: a.incarnation, ChallengedAt: c.now, Attached: true}
	a.links[name] = l
	a.LinkOpened(c.now, name, m.incarnation)
	m.LinkOpened(c.now, l)
}

func (c *cluster) closeLink(a *attachedFrontEnd, name string) {
	l := a.links[name]
	delete(a.links, name)
	a.LinkClosed(c.now, name)
	if m := c.controlMembers[name]; m.running {
		m.LinkClosed(c.now, l)
	}
}

// runActions carries out the actions of all front ends.
func (c *cluster) runActions() {
	for _, name := range sortedKeys(c.attached) {
		a := c.attached[name]
		for _, action := range a.Actions() {
			if a.running {
				c.sendFromAttached(a, action.(fleet.Send))
			}
		}
	}
	for _, name := range sortedKeys(c.controlMembers) {
		m := c.controlMembers[name]
		for actions := m.Actions(); len(actions) > 0; actions = m.Actions() {
			for _, action := range actions {
				c.runControlAction(m, action)
			}
		}
	}
}

// dropped counts a message, and reports whether it is dropped.
func (c *cluster) dropped(from, to string, kind transport.Kind) bool {
	c.sent[messageRoute{from, to, kind}]++
	return c.drop != nil && c.drop(from, to, kind)
}

func (c *cluster) sendFromAttached(a *attachedFrontEnd, message fleet.Send) {
	l, ok := a.links[message.To]
	if !ok || c.dropped(a.name, message.To, message.Kind) {
		return
	}
	c.inFlight = append(c.inFlight, func() {
		if m := c.controlMembers[message.To]; m.running && a.links[message.To] == l {
			require.NoError(c.t, m.Receive(c.now, l, message.Kind, message.Body))
		}
	})
}

func (c *cluster) runControlAction(m *controlMember, action fleet.Action) {
	switch action := action.(type) {
	case replication.Save:
		m.Persisted(c.now, action.Token, nil)
	case fleet.CloseLink:
		if a := c.attached[action.Link.From]; a != nil && a.links[m.name] == action.Link {
			c.closeLink(a, m.name)
		}
	case fleet.Send:
		if !m.running || c.dropped(m.name, action.To, action.Kind) {
			return
		}
		if action.Incarnation == 0 {
			c.sendToControl(m, action)
		} else {
			c.sendToAttached(m, action)
		}
	}
}

func (c *cluster) sendToControl(from *controlMember, message fleet.Send) {
	l := fleet.Link{From: from.name, Incarnation: from.incarnation, ChallengedAt: second}
	c.inFlight = append(c.inFlight, func() {
		if m := c.controlMembers[message.To]; m.running {
			require.NoError(c.t, m.Receive(c.now, l, message.Kind, message.Body))
		}
	})
}

func (c *cluster) sendToAttached(from *controlMember, message fleet.Send) {
	a := c.attached[message.To]
	require.NotNil(c.t, a)
	require.Equal(c.t, a.incarnation, message.Incarnation)
	l := fleet.Link{From: from.name, Incarnation: from.incarnation}
	c.inFlight = append(c.inFlight, func() {
		if _, ok := a.links[from.name]; ok && a.running {
			require.NoError(c.t, a.Receive(c.now, l, message.Kind, message.Body))
		}
	})
}

// waitFor advances the time until a condition is true. It fails the test if that takes longer than the timeout.
func (c *cluster) waitFor(timeout monotime.Micros, description string, condition func() bool) {
	c.t.Helper()
	for deadline := c.now + timeout; !condition(); c.step() {
		require.Less(c.t, c.now, deadline, "timed out waiting for: %s", description)
	}
}

// run advances the time by a duration.
func (c *cluster) run(duration monotime.Micros) {
	for end := c.now + duration; c.now < end; {
		c.step()
	}
}

// waitForLeader waits for a leader of the replicated log that another control member knows, and returns both.
func (c *cluster) waitForLeader() (leader, follower *controlMember) {
	c.t.Helper()
	c.waitFor(20*second, "a leader that another control member knows", func() bool {
		leader, follower = nil, nil
		for _, name := range sortedKeys(c.controlMembers) {
			switch m := c.controlMembers[name]; {
			case !m.running:
			case m.Replica().IsLeader():
				leader = m
			default:
				follower = m
			}
		}
		return leader != nil && follower != nil && follower.ReplicaName(follower.Replica().Leader()) == leader.name
	})
	return leader, follower
}

// waitForView waits until an attached front end has a complete and recent view.
func (c *cluster) waitForView(a *attachedFrontEnd) {
	c.t.Helper()
	c.waitFor(20*second, "the view of "+a.name, func() bool {
		complete := a.View().Len() == len(c.controlMembers)+len(c.attached)
		return a.Home() != "" && a.View().Age(c.now) < 2*second && complete
	})
}

// pendingResponse stores the response to a registration once it arrives.
type pendingResponse struct {
	idempotency.Response
	count int // number of responses so far
}

func (p *pendingResponse) received() bool { return p.count > 0 }

// register proposes to register a request under an idempotency key.
func (c *cluster) register(a *attachedFrontEnd, idempotencyKey string) *pendingResponse {
	pending := &pendingResponse{}
	command := idempotency.Command{
		Op:              idempotency.Register,
		IdempotencyKey:  idempotencyKey,
		StatementDigest: []byte("statement"),
		RequestID:       "call-" + idempotencyKey,
		ClientTimeout:   uint64(8 * second),
	}
	c.propose(a, &command, func(response replication.Response) {
		decoded, err := idempotency.DecodeResponse(response.Body)
		require.NoError(c.t, err)
		require.Equal(c.t, replication.Committed, response.Result)
		pending.Response = decoded
		pending.count++
	})
	return pending
}

// propose proposes a command for the registry.
func (c *cluster) propose(a *attachedFrontEnd, command *idempotency.Command, done func(replication.Response)) {
	a.Propose(c.now, c.controlMembers["n1"].registry.ID(), 1, command.Encode(), done)
}

// proposeAndWait proposes a command for the registry and waits for the response.
func (c *cluster) proposeAndWait(a *attachedFrontEnd, command *idempotency.Command) {
	c.t.Helper()
	done := false
	c.propose(a, command, func(replication.Response) { done = true })
	c.waitFor(2*second, fmt.Sprintf("the response to operation %v", command.Op), func() bool { return done })
}
