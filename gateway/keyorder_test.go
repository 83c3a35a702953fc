package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

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
			c, engines, store := newStubbedCore(t)
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
