package idempotencyclient_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet/idempotency"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/replication"
	"chutechute/gateway"
	"chutechute/internal/counters"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/internal/testharness/site"
	"chutechute/scheduler"
)

const (
	self  = 1 // incarnation of the front end under test
	other = 2 // incarnation of another front end

	pollInterval  = 400 * monotime.Millisecond
	clientTimeout = 2000 * monotime.Second
	orphanTimeout = 3 * monotime.Second
	orderKey      = "key"
	statement     = "INSERT INTO s_1.t"
)

// proposal is a command that the front end proposed and that has no response yet.
type proposal struct {
	id   uint64
	body []byte
	done func(replication.Response)
}

// load is a request from its client's point of view. It is also the request's Responder.
type load struct {
	id            string
	attempts      []*gateway.Attempt // all that were started
	answer        string
	runsElsewhere bool // at another front end, whose order it has
}

func (l *load) Respond([]byte)         { l.answer += "served" }
func (l *load) Reject(monotime.Micros) { l.answer += "rejected" }
func (l *load) Fail()                  { l.answer += "failed" }

// frontEnd is the core of a front end and its client of a registry. The test decides when each of its commands is
// committed, and in which order.
type frontEnd struct {
	t         *testing.T
	now       monotime.Micros
	index     uint64 // last one of the log
	registry  *idempotency.Registry
	core      *gateway.Core
	client    *idempotencyclient.Client
	proposals []proposal
	lastID    uint64
	loads     []*load // in the order in which they were submitted
	inFlight  []*gateway.Attempt
	ownerDead bool // the registry's leader presumes the front end dead
}

func newFrontEnd(t *testing.T) *frontEnd {
	t.Helper()
	withHealthChecks := strings.Replace(site.Settings, `"limits":{`, `"limits":{"probes":true,`, 1)
	conf, err := settings.Parse([]byte(withHealthChecks))
	require.NoError(t, err)
	f := &frontEnd{t: t, now: monotime.Second, registry: idempotency.NewRegistry(idempotency.Options{
		MaxBytes: 1 << 24, Retention: 1000 * monotime.Second, OrphanTimeout: orphanTimeout,
	})}
	limits := gateway.Limits{MaxOpen: 100, MaxRequestBytes: 1 << 20}
	f.core, err = gateway.New(conf, 1, limits, engineClient{f}, &counters.Set{})
	require.NoError(t, err)
	f.client = idempotencyclient.New(idempotencyclient.Config{
		Incarnation: self, PollInterval: pollInterval, CommitTimeout: 60 * monotime.Second,
	}, f, f.core)
	f.core.UseIdempotencyStore(f.client)
	f.core.UpdateEndpoints(scheduler.UpdateChanges, []scheduler.Endpoint{
		{Engine: "a", Kind: "k", Zone: "a"}, {Engine: "b", Kind: "k", Zone: "a"}, {Engine: "c", Kind: "k", Zone: "a"},
	})
	f.core.Step(f.now)
	return f
}

// Propose, Cancel and PresumedDead implement idempotencyclient.Proposer.
func (f *frontEnd) Propose(
	_ monotime.Micros, _, _ uint32, body []byte, done func(replication.Response),
) (id uint64) {
	f.lastID++
	f.proposals = append(f.proposals, proposal{f.lastID, body, done})
	return f.lastID
}

func (f *frontEnd) Cancel(id uint64) {
	f.proposals = slices.DeleteFunc(f.proposals, func(p proposal) bool { return p.id == id })
}

func (f *frontEnd) PresumedDead(uint64) bool { return false }

// engineClient implements gateway.EngineClient. The test ends the attempts.
type engineClient struct{ f *frontEnd }

func (e engineClient) Start(a *gateway.Attempt) {
	f := e.f
	for _, l := range f.loads {
		if l.id == a.ID {
			l.attempts = append(l.attempts, a)
			break
		}
		assert.True(f.t, l.answer != "" || l.runsElsewhere,
			"%s was started before %s, received earlier, was answered", a.ID, l.id)
	}
	f.inFlight = append(f.inFlight, a)
}

func (engineClient) Cancel(*gateway.Attempt) {}

func (engineClient) SetPriority(*gateway.Attempt) {}

func (e engineClient) HealthCheck(engine string) {
	e.f.core.HealthCheckEnded(engine, scheduler.Succeeded, monotime.Millisecond, nil)
}

// detector is the failure detector of the registry's leader.
func (f *frontEnd) detector() failureDetector { return failureDetector{selfDead: f.ownerDead} }

type failureDetector struct{ selfDead bool }

func (d failureDetector) PresumedDead(i replication.Incarnation) bool { return d.selfDead && i == self }
func (failureDetector) Superseded(replication.Incarnation) bool       { return false }
func (failureDetector) Unreachable(replication.Incarnation) bool      { return false }
func (failureDetector) Live() []replication.Incarnation               { return []replication.Incarnation{other} }

// submit submits the next load.
func (f *frontEnd) submit() *load {
	l := &load{id: fmt.Sprintf("load-%d", len(f.loads)+1)}
	f.loads = append(f.loads, l)
	_, err := f.core.Submit(f.now, &gateway.Call{
		ID: l.id, Class: "load", OrderKey: orderKey, IdempotencyKey: "dedupe-" + l.id, ClientTimeout: clientTimeout,
		EstimatedWork: monotime.Second, Statement: []byte(statement),
	}, l)
	require.NoError(f.t, err)
	f.step()
	return l
}

func (f *frontEnd) step() { f.core.Step(f.now) }

// advance lets time pass.
func (f *frontEnd) advance(duration monotime.Micros) {
	f.now += duration
	f.client.Tick(f.now)
	f.step()
}

// apply commits a command and delivers the notifications to the front end.
func (f *frontEnd) apply(proposer replication.Incarnation, body []byte) (response []byte) {
	f.index++
	var topics []string
	at := replication.ApplyContext{Index: f.index, Now: f.now, Notify: func(to replication.Incarnation, topic string) {
		if to == self {
			topics = append(topics, topic)
		}
	}}
	response = f.registry.Apply(at, proposer, body)
	for _, topic := range topics {
		f.client.Notify(f.now, topic)
	}
	return response
}

// commit commits the n-th pending command. If its response is lost, the command stays pending and is proposed again.
func (f *frontEnd) commit(n int, lost bool) {
	p := f.proposals[n]
	response := f.apply(self, p.body)
	if !lost {
		f.Cancel(p.id)
		p.done(replication.Response{Result: replication.Committed, Body: response})
	}
	f.step()
}

// commitAll commits all pending commands, in the order in which they were proposed.
func (f *frontEnd) commitAll() {
	for len(f.proposals) > 0 {
		f.commit(0, false)
	}
}

// end ends the attempt that began first.
func (f *frontEnd) end() {
	a := f.inFlight[0]
	f.inFlight = f.inFlight[1:]
	f.core.AttemptEnded(f.now, a, scheduler.Succeeded, []byte("rows"), nil)
	f.step()
}

// forget makes the leader presume the front end dead for the orphan timeout, and commits those of its commands that
// drop indicates. Each removes the record of an unstarted load.
func (f *frontEnd) forget(drop func() bool) {
	f.ownerDead = true
	f.registry.DueCommands(f.now, f.detector())
	for _, command := range f.registry.DueCommands(f.now+orphanTimeout, f.detector()) {
		if drop() {
			f.apply(0, command)
		}
	}
	f.ownerDead = false
	f.registry.DueCommands(f.now, f.detector())
	f.step()
}

// requireServedOnce lets everything run to its end and checks that each load was started once and served.
func (f *frontEnd) requireServedOnce() {
	for range 100 * len(f.loads) {
		f.commitAll()
		for len(f.inFlight) > 0 {
			f.end()
		}
		f.advance(pollInterval / 4)
	}
	for _, l := range f.loads {
		require.Equal(f.t, "served", l.answer, l.id)
		require.Len(f.t, l.attempts, 1, l.id)
	}
	require.Zero(f.t, f.client.Len())
	require.True(f.t, f.core.Idle())
}
