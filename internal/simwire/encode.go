package simwire

import (
	"encoding/json"
	"strconv"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// Reply builds the answer to one batch.
type Reply struct {
	buffer     []byte
	hasActions bool
}

// Add appends an instance's actions.
func (r *Reply) Add(instance int, actions []scheduler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.StartAttempt:
			r.beginAction("place", instance)
			r.id(a.ID)
			r.text(a.Engine)
			r.seconds(a.Timeout)
		case scheduler.AttemptParameters:
			r.beginAction("allot", instance)
			r.id(a.ID)
			r.raw(strconv.FormatFloat(a.GrantMB, 'f', -1, 64))
			r.raw(strconv.Itoa(a.Priority))
		case scheduler.Cancel:
			r.beginAction("stop_attempt", instance)
			r.id(a.ID)
			r.raw(strconv.Itoa(a.Attempt))
		case scheduler.Reject:
			r.beginAction("push_back", instance)
			r.id(a.ID)
			r.seconds(a.After)
		case scheduler.Fail:
			r.beginAction("report_failure", instance)
			r.id(a.ID)
		case scheduler.HealthCheck:
			r.beginAction("ask_load", instance)
			r.text(a.Engine)
		case scheduler.Subscribe:
			r.beginAction("subscribe", instance)
			r.raw("true")
		case scheduler.FetchList:
			r.beginAction("list_all", instance)
		case scheduler.SetTimer:
			r.beginAction("remind", instance)
			r.seconds(a.At)
			r.text(a.Token)
		case scheduler.Log:
			r.beginAction("remark", instance)
			r.text(a.Text)
		}
		r.buffer = append(r.buffer, ']')
	}
}

// Broken reports that an instance's decisions cannot go on.
func (r *Reply) Broken(instance int, what string) {
	r.beginAction("broken", instance)
	r.text(what)
	r.buffer = append(r.buffer, ']')
}

// Line ends the reply, gives it as a line, and starts the next.
func (r *Reply) Line() []byte {
	if len(r.buffer) == 0 {
		r.buffer = append(r.buffer, `{"cmds":[`...)
	}
	line := append(r.buffer, "]}\n"...)
	r.buffer, r.hasActions = nil, false
	return line
}

func (r *Reply) beginAction(name string, instance int) {
	if len(r.buffer) == 0 {
		r.buffer = append(r.buffer, `{"cmds":[`...)
	}
	if r.hasActions {
		r.buffer = append(r.buffer, ',')
	}
	r.hasActions = true
	r.buffer = append(r.buffer, '[', '"')
	r.buffer = append(r.buffer, name...)
	r.buffer = append(r.buffer, '"')
	r.raw(strconv.Itoa(instance))
}

func (r *Reply) raw(s string) {
	r.buffer = append(r.buffer, ',')
	r.buffer = append(r.buffer, s...)
}

func (r *Reply) id(n uint64) { r.raw(strconv.FormatUint(n, 10)) }

func (r *Reply) seconds(t monotime.Micros) { r.raw(strconv.FormatFloat(float64(t)/1e6, 'f', -1, 64)) }

func (r *Reply) text(s string) {
	b, err := json.Marshal(s)
	if err != nil { // a string always marshals
		b = []byte(`""`)
	}
	r.raw(string(b))
}
