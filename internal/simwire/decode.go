// Package simwire translates between the simulator's protocol and the decision
// module's own terms. It decides nothing.
package simwire

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// Item is one thing a batch says to one instance: a start, a stop or an event.
type Item struct {
	Instance int
	Start    *Start
	Stop     bool
	Event    scheduler.Event
}

// Start is the first message to an instance.
type Start struct {
	Seed   uint64
	Config scheduler.Config
}

// Decoder reads batches; it remembers the numbered lists and each instance's names.
type Decoder struct {
	lists    map[int][]scheduler.Endpoint
	settings map[int]*settings.Settings
}

// NewDecoder returns a decoder that has seen nothing.
func NewDecoder() *Decoder {
	return &Decoder{lists: map[int][]scheduler.Endpoint{}, settings: map[int]*settings.Settings{}}
}

// Batch reads one line.
func (d *Decoder) Batch(line []byte) (monotime.Micros, []Item, error) {
	var batch struct {
		Now *float64            `json:"now"`
		In  [][]json.RawMessage `json:"in"`
	}
	if err := json.Unmarshal(line, &batch); err != nil {
		return 0, nil, fmt.Errorf("batch: %w", err)
	}
	if batch.Now == nil {
		return 0, nil, fmt.Errorf("batch: no now")
	}
	items := make([]Item, 0, len(batch.In))
	for i, raw := range batch.In {
		item, keep, err := d.parseMessage(raw)
		if err != nil {
			return 0, nil, fmt.Errorf("message %d: %w", i, err)
		}
		if keep {
			items = append(items, item)
		}
	}
	return secondsToMicros(*batch.Now), items, nil
}

func secondsToMicros(s float64) monotime.Micros { return monotime.Micros(math.Round(s * 1e6)) }

// parseMessage reads one message; a list is kept for later and gives no item.
func (d *Decoder) parseMessage(raw []json.RawMessage) (Item, bool, error) {
	f := &fields{raw: raw, name: "message"}
	f.name = f.text(0)
	if f.err == nil && f.name == "catalog" {
		n := f.integer(1)
		entries, err := parseEndpoints(f, 2)
		d.lists[int(n)] = entries
		return Item{}, false, err
	}
	item := Item{Instance: int(f.integer(1))}
	if f.err != nil {
		return item, false, f.err
	}
	switch f.name {
	case "attach":
		s, n, err := parseStart(f)
		d.settings[item.Instance] = n
		item.Start = s
		return item, true, err
	case "down":
		item.Stop = true
		return item, true, nil
	}
	n, ok := d.settings[item.Instance]
	if !ok {
		return item, false, fmt.Errorf("%s: instance %d was never attached", f.name, item.Instance)
	}
	ev, err := d.parseEvent(f, n)
	if err == nil {
		err = f.err
	}
	item.Event = ev
	return item, ev != nil, err
}

func parseStart(f *fields) (*Start, *settings.Settings, error) {
	var text json.RawMessage
	seed := f.id(2)
	f.read(3, &text)
	if f.err != nil {
		return nil, nil, f.err
	}
	s, err := settings.Parse(text)
	if err != nil {
		return nil, nil, fmt.Errorf("attach: %w", err)
	}
	return &Start{Seed: seed, Config: s.Config}, s, nil
}

var updateKinds = map[string]scheduler.UpdateKind{"Partial": scheduler.UpdateChanges, "Complete": scheduler.UpdateComplete,
	"Persisted": scheduler.UpdateCached, "Error": scheduler.UpdateFailed}

var results = map[string]scheduler.Result{"completed": scheduler.Succeeded, "errored": scheduler.Errored, "saturated": scheduler.Rejected,
	"overdue": scheduler.TimedOut, "refused_conn": scheduler.NoConnection, "severed": scheduler.Reset,
	"recalled": scheduler.Canceled, "superseded": scheduler.NotSent}

func (d *Decoder) parseEvent(f *fields, n *settings.Settings) (scheduler.Event, error) {
	switch f.name {
	case "endpoints":
		return d.parseEndpointUpdate(f)
	case "new_request":
		return parseRequest(f, n)
	case "flowing":
		return scheduler.Started{ID: f.id(2), Attempt: int(f.integer(3))}, nil
	case "response":
		used := int64(0) // milliseconds x 4096, plus units of 4 MB
		if f.isPresent(8) {
			used = int64(max(0, f.number(8)))
		}
		return scheduler.Outcome{ID: f.id(2), Attempt: int(f.integer(3)), Engine: f.text(4), Result: f.result(5),
			Elapsed: f.time(6), Final: f.boolean(7), Load: f.load(9), WorkUsed: monotime.Micros(used>>12) * 1000,
			MemoryUsedMB: float64(used&0xfff) * 4}, nil
	case "client_gone":
		return scheduler.ClientDisconnected{ID: f.id(2)}, nil
	case "note":
		return scheduler.ProgressReport{ID: f.id(2), Value: f.number(3), Kind: scheduler.ProgressKind(f.integer(4)),
			Attempt: int(f.integer(5)), Engine: f.text(6)}, nil
	case "echo":
		return scheduler.HealthCheckResult{Engine: f.text(2), Result: f.result(3), Elapsed: f.time(4), Load: f.load(5)}, nil
	case "memo":
		body, err := base64.StdEncoding.DecodeString(f.text(3))
		if err != nil {
			return nil, fmt.Errorf("memo: body: %w", err)
		}
		return scheduler.PeerMessage{From: int(f.integer(2)), Body: body}, nil
	case "timeout_fired":
		return scheduler.Timer{Token: f.text(2)}, nil
	}
	return nil, fmt.Errorf("unknown message %q", f.name)
}

func (d *Decoder) parseEndpointUpdate(f *fields) (scheduler.Event, error) {
	kind, ok := updateKinds[f.text(2)]
	if !ok {
		return nil, fmt.Errorf("endpoints: unknown kind %q", f.text(2))
	}
	if kind == scheduler.UpdateFailed {
		return scheduler.EndpointUpdate{Kind: kind}, nil
	}
	entries, ok := d.lists[int(f.integer(3))]
	if !ok {
		return nil, fmt.Errorf("endpoints: no list %d", f.integer(3))
	}
	return scheduler.EndpointUpdate{Kind: kind, Entries: entries}, nil
}

// Bits of a request.
const estimateValidFlag = 1

func parseRequest(f *fields, n *settings.Settings) (scheduler.Event, error) {
	r := scheduler.Request{ID: f.id(2), Tenant: -1, Key: f.optionalText(5), Deadline: f.time(6), MemoryMB: f.optionalNumber(8),
		Group: int(f.optionalNumber(9))}
	class, ok := n.ClassOf[f.text(3)]
	if !ok && f.err == nil {
		return nil, fmt.Errorf("new_request: unknown class %q", f.text(3))
	}
	r.Class = class
	if t := f.optionalText(4); t != "" {
		if r.Tenant, ok = n.TenantOf[t]; !ok {
			return nil, fmt.Errorf("new_request: unknown tenant %q", t)
		}
	}
	if int(f.optionalNumber(10))&estimateValidFlag != 0 {
		r.EstimatedWork = max(0, secondsToMicros(f.optionalNumber(7)))
	}
	return r, nil
}

var engineStates = map[string]scheduler.EngineState{"SERVING": scheduler.Serving, "DRAINING": scheduler.Draining,
	"DELETED": scheduler.Removed}

func parseEndpoints(f *fields, at int) ([]scheduler.Endpoint, error) {
	var rows [][]json.RawMessage
	f.read(at, &rows)
	if f.err != nil {
		return nil, f.err
	}
	entries := make([]scheduler.Endpoint, 0, len(rows))
	for i, row := range rows {
		r := &fields{raw: row, name: fmt.Sprintf("catalog: record %d", i)}
		state, ok := engineStates[r.text(4)]
		e := scheduler.Endpoint{Engine: r.text(0), Zone: r.optionalText(1), Kind: r.optionalText(2), Cell: int(r.optionalNumber(3)),
			State: state, Started: secondsToMicros(r.optionalNumber(6))}
		if r.err != nil {
			return nil, r.err
		}
		if !ok {
			return nil, fmt.Errorf("%s: unknown state %q", r.name, r.text(4))
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// fields reads the values of one message by place; the first error stays.
type fields struct {
	raw  []json.RawMessage
	name string
	err  error
}

func (f *fields) isPresent(i int) bool {
	return i < len(f.raw) && len(f.raw[i]) > 0 && string(f.raw[i]) != "null"
}

func (f *fields) read(i int, to any) {
	if f.err != nil {
		return
	}
	if !f.isPresent(i) {
		f.err = fmt.Errorf("%s: value %d is missing", f.name, i)
		return
	}
	if err := json.Unmarshal(f.raw[i], to); err != nil {
		f.err = fmt.Errorf("%s: value %d: %w", f.name, i, err)
	}
}

func (f *fields) text(i int) (s string)      { f.read(i, &s); return s }
func (f *fields) boolean(i int) (b bool)     { f.read(i, &b); return b }
func (f *fields) id(i int) (n uint64)        { f.read(i, &n); return n }
func (f *fields) time(i int) monotime.Micros { return secondsToMicros(f.number(i)) }

func (f *fields) integer(i int) int64 {
	if f.err == nil && f.isPresent(i) {
		if n, err := strconv.ParseInt(string(f.raw[i]), 10, 32); err == nil {
			return n
		}
		f.err = fmt.Errorf("%s: value %d: %s is no small whole number", f.name, i, f.raw[i])
		return 0
	}
	f.read(i, new(int64))
	return 0
}

func (f *fields) number(i int) (n float64) { f.read(i, &n); return n }

func (f *fields) optionalText(i int) string {
	if !f.isPresent(i) || string(f.raw[i]) == "0" {
		return ""
	}
	return f.text(i)
}

func (f *fields) optionalNumber(i int) float64 {
	if !f.isPresent(i) {
		return 0
	}
	return f.number(i)
}

func (f *fields) result(i int) scheduler.Result {
	r, ok := results[f.text(i)]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: unknown outcome %q", f.name, f.text(i))
	}
	return r
}

func (f *fields) load(i int) *scheduler.LoadReport {
	if !f.isPresent(i) {
		return nil
	}
	var m map[string]float64
	f.read(i, &m)
	get := func(name string) float64 {
		if v, ok := m[name]; ok {
			return v
		}
		return -1
	}
	return &scheduler.LoadReport{Util: get("util"), Queue: get("queue"), Memory: get("x0"), Disk: get("x1")}
}
