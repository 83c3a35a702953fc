package fleet_test

import (
	"fmt"
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
	"chutechute/internal/standin"
)

func TestMain(m *testing.M) { os.Exit(standin.Seeded(m)) }

const (
	ms     monotime.Micros = 1000
	second                 = 1000 * ms
	step                   = 25 * ms
	tick                   = 50 * ms
)

// rig is control members and attached front ends in virtual time. A message takes one step.
type rig struct {
	t        *testing.T
	now      monotime.Micros
	numbers  uint64
	controls map[string]*control
	attached map[string]*attachedFront
	onTheWay []func()
	// lose says which messages are lost; nil: none.
	lose func(from, to string, kind transport.Kind) bool
	sent map[sentMessage]int // how many so far
}

type sentMessage struct {
	from, to string
	kind     transport.Kind
}

type control struct {
	*fleet.Node
	name        string
	incarnation uint64
	up          bool
	kind        *idempotency.Registry
}

type attachedFront struct {
	*fleet.AttachedNode
	name, zone  string
	incarnation uint64
	links       map[string]fleet.Link // by control member, as its side has them
	notes       []string
	up          bool
}

var zones = map[string]string{"n1": "a", "n2": "b", "n3": "c"}

func controlMembers() (list []membership.ControlMember) {
	for _, name := range []string{"n1", "n2", "n3"} {
		list = append(list, membership.ControlMember{Name: name, Zone: zones[name]})
	}
	return list
}

// newRig begins with three control members, to which front ends may attach where allowed.
func newRig(t *testing.T, allowed bool) *rig {
	r := &rig{t: t, now: second, numbers: 1000, controls: map[string]*control{}, attached: map[string]*attachedFront{},
		sent: map[sentMessage]int{}}
	for name := range zones {
		r.controls[name] = r.newControl(name, allowed)
	}
	return r
}

func (r *rig) number() uint64 { r.numbers++; return r.numbers }

func (r *rig) newControl(name string, allowed bool) *control {
	c := &control{name: name, incarnation: r.number(), up: true, kind: idempotency.NewRegistry(idempotency.Options{MaxBytes: 1 << 20, Retention: 60 * second, OrphanTimeout: 3 * second})}
	others := map[string]string{}
	for other, zone := range zones {
		if other != name {
			others[other] = zone
		}
	}
	cfg := fleet.Config{Name: name, Zone: zones[name], Incarnation: c.incarnation, Zones: others, HeartbeatInterval: 2 * tick, RetryInterval: 4 * tick, NewID: r.number,
		Heartbeat: heartbeat.Config{SuspectAfter: 600 * ms, DeadAfter: 3 * second, PauseThreshold: 300 * ms},
		Replication: replication.Config{ID: r.number(), Replicas: 3, TickInterval: tick, ReplaceAfter: 10 * second, SnapshotLogBytes: 1 << 20, Logger: raftlog.New(),
			StateMachines: []replication.StateMachine{c.kind}}}
	if allowed {
		cfg.Membership = &membership.Config{Name: name, Zone: zones[name], Incarnation: c.incarnation, ControlMembers: controlMembers()}
	}
	c.Node = fleet.NewNode(cfg, func(string) {})
	require.NoError(r.t, c.Recover(r.now, nil))
	return c
}

// attach starts an attached front end.
func (r *rig) attach(name, zone string) *attachedFront {
	a := &attachedFront{name: name, zone: zone, incarnation: r.number(), links: map[string]fleet.Link{}, up: true}
	a.AttachedNode = fleet.NewAttachedNode(fleet.AttachedConfig{RetryInterval: 4 * tick, Membership: membership.Config{Name: name, Zone: zone, Incarnation: a.incarnation,
		ControlMembers: controlMembers(), Seed: a.incarnation}}, func(about string) { a.notes = append(a.notes, about) })
	r.attached[name] = a
	return a
}

func sorted[V any](m map[string]V) (names []string) {
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// step lets one step pass.
func (r *rig) step() {
	r.now += step
	list := r.onTheWay
	r.onTheWay = nil
	for _, deliver := range list {
		deliver()
	}
	for _, name := range sorted(r.attached) {
		if a := r.attached[name]; a.up {
			r.follow(a)
			a.Tick(r.now)
		}
	}
	for _, name := range sorted(r.controls) {
		if c := r.controls[name]; c.up {
			c.Tick(r.now)
		}
	}
	r.pump()
}

// follow opens the links that an attached front end wants, and closes the others.
func (r *rig) follow(a *attachedFront) {
	targets := a.Targets(r.now)
	for _, name := range sorted(a.links) {
		if !slices.Contains(targets, name) || !r.controls[name].up {
			r.unlink(a, name)
		}
	}
	for _, name := range targets {
		if _, ok := a.links[name]; ok {
			continue
		}
		c := r.controls[name]
		if !c.up {
			a.LinkClosed(r.now, name)
			continue
		}
		l := fleet.Link{From: a.name, Zone: a.zone, Incarnation: a.incarnation, ChallengedAt: r.now, Attached: true}
		a.links[name] = l
		a.LinkOpened(r.now, name, c.incarnation)
		c.LinkOpened(r.now, l)
	}
}

func (r *rig) unlink(a *attachedFront, name string) {
	l := a.links[name]
	delete(a.links, name)
	a.LinkClosed(r.now, name)
	if c := r.controls[name]; c.up {
		c.LinkClosed(r.now, l)
	}
}

// pump sends what all want.
func (r *rig) pump() {
	for _, name := range sorted(r.attached) {
		a := r.attached[name]
		for _, action := range a.Actions() {
			if a.up {
				r.fromAttached(a, action.(fleet.Send))
			}
		}
	}
	for _, name := range sorted(r.controls) {
		c := r.controls[name]
		for list := c.Actions(); len(list) > 0; list = c.Actions() {
			for _, action := range list {
				r.fromControl(c, action)
			}
		}
	}
}

// lost notes a message, and says whether it is lost.
func (r *rig) lost(from, to string, kind transport.Kind) bool {
	r.sent[sentMessage{from, to, kind}]++
	return r.lose != nil && r.lose(from, to, kind)
}

func (r *rig) fromAttached(a *attachedFront, m fleet.Send) {
	l, ok := a.links[m.To]
	if !ok || r.lost(a.name, m.To, m.Kind) {
		return
	}
	r.onTheWay = append(r.onTheWay, func() {
		if c := r.controls[m.To]; c.up && a.links[m.To] == l {
			require.NoError(r.t, c.Receive(r.now, l, m.Kind, m.Body))
		}
	})
}

func (r *rig) fromControl(c *control, action fleet.Action) {
	switch m := action.(type) {
	case replication.Save:
		c.Persisted(r.now, m.Token, nil)
	case fleet.CloseLink:
		if a := r.attached[m.Link.From]; a != nil && a.links[c.name] == m.Link {
			r.unlink(a, c.name)
		}
	case fleet.Send:
		if !c.up || r.lost(c.name, m.To, m.Kind) {
			return
		}
		if m.Incarnation == 0 {
			r.onTheWay = append(r.onTheWay, func() {
				if o := r.controls[m.To]; o.up {
					require.NoError(r.t, o.Receive(r.now, fleet.Link{From: c.name, Incarnation: c.incarnation, ChallengedAt: second}, m.Kind, m.Body))
				}
			})
			return
		}
		a := r.attached[m.To]
		require.NotNil(r.t, a)
		require.Equal(r.t, a.incarnation, m.Incarnation)
		r.onTheWay = append(r.onTheWay, func() {
			if _, ok := a.links[c.name]; ok && a.up {
				require.NoError(r.t, a.Receive(r.now, fleet.Link{From: c.name, Incarnation: c.incarnation}, m.Kind, m.Body))
			}
		})
	}
}

// until lets time pass until something holds, at most for a span.
func (r *rig) until(span monotime.Micros, about string, holds func() bool) {
	r.t.Helper()
	for end := r.now + span; !holds(); r.step() {
		require.Less(r.t, r.now, end, "not in time: %s", about)
	}
}

// pass lets a span pass.
func (r *rig) pass(span monotime.Micros) {
	for end := r.now + span; r.now < end; {
		r.step()
	}
}

// leader is the control member that leads the record, and one that does not.
func (r *rig) leader() (leads, other *control) {
	r.t.Helper()
	r.until(20*second, "a leader that all know", func() bool {
		leads, other = nil, nil
		for _, name := range sorted(r.controls) {
			switch c := r.controls[name]; {
			case !c.up:
			case c.Replica().IsLeader():
				leads = c
			default:
				other = c
			}
		}
		return leads != nil && other != nil && other.ReplicaName(other.Replica().Leader()) == leads.name
	})
	return leads, other
}

// ready waits until an attached front end has its view from a control member.
func (r *rig) ready(a *attachedFront) {
	r.t.Helper()
	r.until(20*second, "the view of "+a.name, func() bool {
		return a.Home() != "" && a.View().Age(r.now) < 2*second && a.View().Len() == len(r.controls)+len(r.attached)
	})
}

// take asks for a load, and gives where its answer will be.
func (r *rig) take(a *attachedFront, once string) (view *idempotency.Response, answers *int) {
	view, answers = &idempotency.Response{}, new(int)
	command := idempotency.Command{Op: idempotency.Register, IdempotencyKey: once, StatementDigest: []byte("statement"), RequestID: fmt.Sprintf("call-%s", once), TTL: 8_000_000}
	a.Propose(r.now, r.controls["n1"].kind.ID(), 1, command.Encode(), func(answer replication.Response) {
		v, err := idempotency.DecodeResponse(answer.Body)
		require.NoError(r.t, err)
		require.Equal(r.t, replication.Committed, answer.Result)
		*view = v
		*answers++
	})
	return view, answers
}
