package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/counters"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// stubStore is an idempotency store that authorizes and commits at once, and leaves it to the test when registered
// requests are scheduled.
type stubStore struct{ committed func() }

func (*stubStore) Register(monotime.Micros, *Registration) {}

func (*stubStore) Authorize(
	now monotime.Micros, _ *Registration, _ int, _ string, authorized func(monotime.Micros, bool),
) {
	authorized(now, true)
}

func (s *stubStore) Commit(now monotime.Micros, reg *Registration, rows []byte) {
	s.committed = func() { reg.Finish(now, true, rows) }
}

func (*stubStore) Release(monotime.Micros, *Registration, bool) {}
func (*stubStore) Transfer(monotime.Micros, *Registration)      {}
func (*stubStore) OutcomeUnknown(*Registration) bool            { return false }

// stubEngines records the attempts that are started.
type stubEngines struct{ started []*Attempt }

func (e *stubEngines) Start(a *Attempt)    { e.started = append(e.started, a) }
func (*stubEngines) Cancel(*Attempt)       {}
func (*stubEngines) SetPriority(*Attempt)  {}
func (*stubEngines) HealthCheck(string)    {}
func (e *stubEngines) lastStart() *Attempt { return e.started[len(e.started)-1] }

// stubClient records its response.
type stubClient struct{ response string }

func (c *stubClient) Respond([]byte)         { c.response += "served" }
func (c *stubClient) Reject(monotime.Micros) { c.response += "rejected" }
func (c *stubClient) Fail()                  { c.response += "failed" }

// The failure: while a load waits for its turn in the idempotency store, a later request of its order key and of
// another class, which is not registered, is started before it.
func TestUnregisteredRequestWaitsForRegisteredOnesOfItsKey(t *testing.T) {
	const timeout = 3 * monotime.Second
	for name, test := range map[string]struct {
		end     func(c *Core, now monotime.Micros, load *Request, engines *stubEngines, store *stubStore)
		starts  []string
		stamped string // response to the later request, before its attempt ends
	}{
		"load is served": {
			func(c *Core, now monotime.Micros, load *Request, engines *stubEngines, store *stubStore) {
				load.registration.Schedule()
				c.Step(now)
				c.AttemptEnded(now, engines.lastStart(), scheduler.Succeeded, nil, nil)
				c.Step(now)
				assert.Len(t, engines.started, 1, "the load has no response yet")
				store.committed()
			},
			[]string{"load", "stamp"}, "",
		},
		"load is rejected": {
			func(_ *Core, now monotime.Micros, load *Request, _ *stubEngines, _ *stubStore) {
				load.registration.Reject(now, 0)
			},
			[]string{"stamp"}, "",
		},
		"load is canceled": {
			func(c *Core, _ monotime.Micros, load *Request, _ *stubEngines, _ *stubStore) { c.Cancel(load) },
			[]string{"stamp"}, "",
		},
		"load waits for too long": {
			func(c *Core, now monotime.Micros, _ *Request, _ *stubEngines, _ *stubStore) { c.Step(now + timeout) },
			nil, "rejected",
		},
	} {
		t.Run(name, func(t *testing.T) {
			site := strings.Replace(simulationSettings, `"repeat":"unsafe"`, `"repeat":"unsafe","by_arrival":true`, 1)
			conf, err := settings.Parse([]byte(strings.Replace(site, "%v", "false", 1)))
			require.NoError(t, err)
			engines, store := &stubEngines{}, &stubStore{}
			c, err := New(conf, 1, Limits{MaxOpen: 100, MaxRequestBytes: 1 << 20}, engines, &counters.Set{})
			require.NoError(t, err)
			c.UseIdempotencyStore(store)
			c.UpdateEndpoints(scheduler.UpdateChanges, []scheduler.Endpoint{{Engine: "e", Kind: "k", Zone: "a"}})
			now := monotime.Second
			submit := func(class string, timeout monotime.Micros) (*Request, *stubClient) {
				client := &stubClient{}
				r, err := c.Submit(now, &Call{ID: class, Class: class, OrderKey: "key", IdempotencyKey: class,
					ClientTimeout: timeout, EstimatedWork: 1000}, client)
				require.NoError(t, err)
				c.Step(now)
				return r, client
			}
			load, _ := submit("load", 2*timeout)
			_, stamped := submit("stamp", timeout)
			assert.Empty(t, engines.started)
			test.end(c, now, load, engines, store)
			c.Step(now)
			var starts []string
			for _, a := range engines.started {
				starts = append(starts, a.ID)
			}
			assert.Equal(t, test.starts, starts)
			assert.Equal(t, test.stamped, stamped.response)
			if test.stamped == "" {
				c.AttemptEnded(now, engines.lastStart(), scheduler.Succeeded, nil, nil)
				assert.Equal(t, "served", stamped.response)
				assert.Empty(t, c.keyOrder)
			}
		})
	}
}
