package simwire

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// updateKinds maps names in the protocol to the kinds of endpoint updates.
var updateKinds = map[string]scheduler.UpdateKind{
	"Partial":   scheduler.UpdateChanges,
	"Complete":  scheduler.UpdateComplete,
	"Persisted": scheduler.UpdateCached,
	"Error":     scheduler.UpdateFailed,
}

// results maps names in the protocol to the results of attempts.
var results = map[string]scheduler.Result{
	"completed":    scheduler.Succeeded,
	"errored":      scheduler.Errored,
	"saturated":    scheduler.Rejected,
	"overdue":      scheduler.TimedOut,
	"refused_conn": scheduler.NoConnection,
	"severed":      scheduler.Reset,
	"recalled":     scheduler.Canceled,
	"superseded":   scheduler.NotSent,
}

// engineStates maps names in the protocol to the states of engines.
var engineStates = map[string]scheduler.EngineState{
	"SERVING":  scheduler.Serving,
	"DRAINING": scheduler.Draining,
	"DELETED":  scheduler.Removed,
}

// parseEvent decodes one event for an instance. The event is invalid if f.err is set.
func (d *Decoder) parseEvent(f *fields, instanceSettings *settings.Settings) (scheduler.Event, error) {
	switch f.name {
	case "endpoints":
		return d.parseEndpointUpdate(f)
	case "new_request":
		return parseRequest(f, instanceSettings)
	case "flowing":
		return scheduler.Started{ID: f.id(2), Attempt: int(f.integer(3))}, nil
	case "response":
		return parseOutcome(f), nil
	case "client_gone":
		return scheduler.ClientDisconnected{ID: f.id(2)}, nil
	case "note":
		return parseProgress(f), nil
	case "echo":
		return parseHealthCheckResult(f), nil
	case "memo":
		return parsePeerMessage(f)
	case "timeout_fired":
		return scheduler.Timer{Token: f.text(2)}, nil
	}
	return nil, fmt.Errorf("unknown message %q", f.name)
}

// What an attempt used is one number: milliseconds of work in the upper bits, units of memory in the lower ones.
const (
	memoryUnitBits = 12
	memoryUnitMask = 1<<memoryUnitBits - 1
	memoryUnitMB   = 4
)

// parseOutcome decodes the end of an attempt.
func parseOutcome(f *fields) scheduler.Outcome {
	used := int64(0)
	if f.isPresent(8) {
		used = int64(max(0, f.number(8)))
	}
	return scheduler.Outcome{
		ID:           f.id(2),
		Attempt:      int(f.integer(3)),
		Engine:       f.text(4),
		Result:       f.result(5),
		Elapsed:      f.time(6),
		Final:        f.boolean(7),
		Load:         f.load(9),
		WorkUsed:     monotime.Micros(used>>memoryUnitBits) * monotime.Millisecond,
		MemoryUsedMB: float64(used&memoryUnitMask) * memoryUnitMB,
	}
}

// parseProgress decodes a progress report.
func parseProgress(f *fields) scheduler.ProgressReport {
	return scheduler.ProgressReport{
		ID:      f.id(2),
		Value:   f.number(3),
		Kind:    scheduler.ProgressKind(f.integer(4)),
		Attempt: int(f.integer(5)),
		Engine:  f.text(6),
	}
}

// parseHealthCheckResult decodes the result of a health check.
func parseHealthCheckResult(f *fields) scheduler.HealthCheckResult {
	return scheduler.HealthCheckResult{Engine: f.text(2), Result: f.result(3), Elapsed: f.time(4), Load: f.load(5)}
}

// parsePeerMessage decodes a message from another front end.
func parsePeerMessage(f *fields) (scheduler.Event, error) {
	body, err := base64.StdEncoding.DecodeString(f.text(3))
	if err != nil {
		return nil, fmt.Errorf("memo: body: %w", err)
	}
	return scheduler.PeerMessage{From: int(f.integer(2)), Body: body}, nil
}

// parseEndpointUpdate decodes an update of the endpoint list, which refers to an earlier list by its number.
func (d *Decoder) parseEndpointUpdate(f *fields) (scheduler.Event, error) {
	kind, ok := updateKinds[f.text(2)]
	if !ok {
		return nil, fmt.Errorf("endpoints: unknown kind %q", f.text(2))
	}
	if kind == scheduler.UpdateFailed {
		return scheduler.EndpointUpdate{Kind: kind}, nil
	}
	endpoints, ok := d.lists[int(f.integer(3))]
	if !ok {
		return nil, fmt.Errorf("endpoints: no list %d", f.integer(3))
	}
	return scheduler.EndpointUpdate{Kind: kind, Endpoints: endpoints}, nil
}

// estimateValidFlag is the bit of a request's flags that marks its estimate of work as valid.
const estimateValidFlag = 1

// parseRequest decodes a client's request.
func parseRequest(f *fields, instanceSettings *settings.Settings) (scheduler.Event, error) {
	request := scheduler.Request{
		ID:         f.id(2),
		Tenant:     -1,
		Key:        f.optionalText(5),
		Deadline:   f.time(6),
		MemoryMB:   f.optionalNumber(8),
		TableGroup: int(f.optionalNumber(9)),
	}
	class, ok := instanceSettings.ClassIndex[f.text(3)]
	if !ok && f.err == nil {
		return nil, fmt.Errorf("new_request: unknown class %q", f.text(3))
	}
	request.Class = class
	if tenant := f.optionalText(4); tenant != "" {
		if request.Tenant, ok = instanceSettings.TenantIndex[tenant]; !ok {
			return nil, fmt.Errorf("new_request: unknown tenant %q", tenant)
		}
	}
	if int(f.optionalNumber(10))&estimateValidFlag != 0 {
		request.EstimatedWork = max(0, secondsToMicros(f.optionalNumber(7)))
	}
	return request, nil
}

// parseEndpoints decodes the endpoint list in one value of a message.
func parseEndpoints(f *fields, index int) ([]scheduler.Endpoint, error) {
	var records [][]json.RawMessage
	f.read(index, &records)
	if f.err != nil {
		return nil, f.err
	}
	endpoints := make([]scheduler.Endpoint, 0, len(records))
	for i, values := range records {
		record := &fields{values: values, name: fmt.Sprintf("catalog: record %d", i)}
		endpoint, err := parseEndpoint(record)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

// parseEndpoint decodes one record of an endpoint list.
func parseEndpoint(record *fields) (scheduler.Endpoint, error) {
	state, ok := engineStates[record.text(4)]
	endpoint := scheduler.Endpoint{
		Engine:  record.text(0),
		Zone:    record.optionalText(1),
		Kind:    record.optionalText(2),
		Cell:    int(record.optionalNumber(3)),
		State:   state,
		Started: secondsToMicros(record.optionalNumber(6)),
	}
	if record.err != nil {
		return endpoint, record.err
	}
	if !ok {
		return endpoint, fmt.Errorf("%s: unknown state %q", record.name, record.text(4))
	}
	return endpoint, nil
}
