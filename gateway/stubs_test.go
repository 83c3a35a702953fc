package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/counters"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// stubStore is an idempotency store that leaves it to the test when registered requests are scheduled and when outcomes
// are committed. It authorizes attempts at once, or leaves that to the test too.
type stubStore struct {
	committed  func()
	isSlow     bool
	authorized []func(now monotime.Micros, ok bool) // not called yet
}

func (*stubStore) Register(monotime.Micros, *Registration) {}

func (s *stubStore) Authorize(
	now monotime.Micros, _ *Registration, _ int, _ string, authorized func(monotime.Micros, bool),
) {
	if s.isSlow {
		s.authorized = append(s.authorized, authorized)
		return
	}
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

// newStubbedCore returns a core with stubs, whose classes "load" and "stamp" keep the order of keys, and which knows
// the engine "e".
func newStubbedCore(t *testing.T) (*Core, *stubEngines, *stubStore) {
	t.Helper()
	site := strings.Replace(simulationSettings, `"repeat":"unsafe"`, `"repeat":"unsafe","by_arrival":true`, 1)
	conf, err := settings.Parse([]byte(strings.Replace(site, "%v", "false", 1)))
	require.NoError(t, err)
	engines, store := &stubEngines{}, &stubStore{}
	c, err := New(conf, 1, Limits{MaxOpen: 100, MaxRequestBytes: 1 << 20}, engines, &counters.Set{})
	require.NoError(t, err)
	c.UseIdempotencyStore(store)
	c.UpdateEndpoints(scheduler.UpdateChanges, []scheduler.Endpoint{{Engine: "e", Kind: "k", Zone: "a"}})
	return c, engines, store
}
