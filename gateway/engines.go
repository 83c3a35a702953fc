package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// HealthCheckEnded passes the result of EngineClient.HealthCheck to the scheduler: elapsed is how long the check took,
// load what the engine reported of its load, nil without a report.
func (c *Core) HealthCheckEnded(engine string, result scheduler.Result, elapsed monotime.Micros,
	load *scheduler.LoadReport) {
	c.addEvent(scheduler.HealthCheckResult{Engine: engine, Result: result, Elapsed: elapsed, Load: load})
}

// EngineUnresponsive reports that an engine did not answer in time, whatever becomes of the attempt that waits for it.
func (c *Core) EngineUnresponsive(engine string) {
	c.addEvent(scheduler.EngineUnresponsive{Engine: engine})
}

// UpdateEndpoints passes an update of the list of engines to the scheduler.
func (c *Core) UpdateEndpoints(kind scheduler.UpdateKind, entries []scheduler.Endpoint) {
	c.addEvent(scheduler.EndpointUpdate{Kind: kind, Endpoints: entries})
}
