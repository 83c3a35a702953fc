package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// The failure: a load that waits for its authorization is sent to the engine that was chosen before the wait, although
// that one drains, was removed or has failed meanwhile. It is sent to another one, once.
func TestEngineIsChosenAgainAfterTheWaitForAuthorization(t *testing.T) {
	endpoint := func(name string, state scheduler.EngineState, started monotime.Micros) scheduler.Endpoint {
		return scheduler.Endpoint{Engine: name, Kind: "k", Zone: "a", State: state, Started: started}
	}
	for name, test := range map[string]struct {
		change func(c *Core, load *Request)
		want   []string // the engines that the load is sent to
	}{
		"nothing": {func(*Core, *Request) {}, []string{"e"}},
		"drain": {func(c *Core, _ *Request) {
			c.UpdateEndpoints(scheduler.UpdateChanges, []scheduler.Endpoint{endpoint("e", scheduler.Draining, 0)})
		}, []string{"other"}},
		"removal": {func(c *Core, _ *Request) {
			c.UpdateEndpoints(scheduler.UpdateChanges, []scheduler.Endpoint{endpoint("e", scheduler.Removed, 0)})
		}, []string{"other"}},
		"list without it": {func(c *Core, _ *Request) {
			c.UpdateEndpoints(scheduler.UpdateComplete, []scheduler.Endpoint{endpoint("other", scheduler.Serving, 0)})
		}, []string{"other"}},
		"ejection":      {func(c *Core, _ *Request) { c.EngineUnresponsive("e") }, []string{"other"}},
		"client leaves": {func(c *Core, load *Request) { c.Cancel(load) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c, engines, store := newStubbedCore(t)
			store.isSlow = true
			now := monotime.Second
			client := &stubClient{}
			load, err := c.Submit(now, &Call{ID: "load", Class: "load", IdempotencyKey: "load", OrderKey: "key",
				ClientTimeout: 5 * monotime.Second, EstimatedWork: 1000}, client)
			require.NoError(t, err)
			load.registration.Schedule()
			c.Step(now)
			require.Len(t, store.authorized, 1)
			c.UpdateEndpoints(scheduler.UpdateChanges, []scheduler.Endpoint{endpoint("other", scheduler.Serving, 0)})
			test.change(c, load)
			now += monotime.Second
			c.Step(now)
			store.isSlow = false
			store.authorized[0](now, true)
			c.Step(now)
			var sentTo []string
			for _, a := range engines.started {
				sentTo = append(sentTo, a.Engine)
			}
			assert.Equal(t, test.want, sentTo)
			if len(sentTo) > 0 {
				c.AttemptEnded(now, engines.lastStart(), scheduler.Succeeded, nil, nil)
				store.committed()
				assert.Equal(t, "served", client.response)
			}
			c.Step(now)
			assert.True(t, c.Idle())
		})
	}
}
