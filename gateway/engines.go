package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// HealthCheckEnded passes the result of EngineClient.HealthCheck to the scheduler. elapsed is how long the health check
// took; load is the engine's load report, nil without one.
func (c *Core) HealthCheckEnded(engine string, result scheduler.Result, elapsed monotime.Micros,
	load *scheduler.LoadReport) {
	c.addEvent(scheduler.HealthCheckResult{Engine: engine, Result: result, Elapsed: elapsed, Load: load})
}

// EngineUnresponsive reports to the scheduler that an engine did not answer a call in time. It does not end the attempt
// that waits for the answer.
func (c *Core) EngineUnresponsive(engine string) {
	c.addEvent(scheduler.EngineUnresponsive{Engine: engine})
}

// UpdateEndpoints passes an update of the endpoint list to the scheduler.
func (c *Core) UpdateEndpoints(kind scheduler.UpdateKind, entries []scheduler.Endpoint) {
	c.addEvent(scheduler.EndpointUpdate{Kind: kind, Endpoints: entries})
}
