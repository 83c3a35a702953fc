package simwire

import (
	"encoding/json"
	"strconv"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// Reply encodes the reply to one batch, which is one line. Its zero value is an empty reply.
type Reply struct {
	buffer     []byte
	hasActions bool
}

// Add appends an instance's actions.
func (r *Reply) Add(instance int, actions []scheduler.Action) {
	for _, action := range actions {
		r.addAction(instance, action)
	}
}

// addAction appends one action.
func (r *Reply) addAction(instance int, action scheduler.Action) {
	switch a := action.(type) {
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
		r.seconds(a.RetryAfter)
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
	r.endAction()
}

// AddFailure appends that an instance has failed, and why.
func (r *Reply) AddFailure(instance int, cause string) {
	r.beginAction("broken", instance)
	r.text(cause)
	r.endAction()
}

// Line returns the reply as a line with its newline, and begins the next reply.
func (r *Reply) Line() []byte {
	r.begin()
	line := append(r.buffer, "]}\n"...)
	r.buffer, r.hasActions = nil, false
	return line
}

// begin writes the opening of the line, unless it has been written.
func (r *Reply) begin() {
	if len(r.buffer) == 0 {
		r.buffer = append(r.buffer, `{"cmds":[`...)
	}
}

// beginAction writes an action's name and instance.
func (r *Reply) beginAction(name string, instance int) {
	r.begin()
	if r.hasActions {
		r.buffer = append(r.buffer, ',')
	}
	r.hasActions = true
	r.buffer = append(r.buffer, '[', '"')
	r.buffer = append(r.buffer, name...)
	r.buffer = append(r.buffer, '"')
	r.raw(strconv.Itoa(instance))
}

// endAction writes the end of an action.
func (r *Reply) endAction() { r.buffer = append(r.buffer, ']') }

// raw writes a value that is already JSON.
func (r *Reply) raw(value string) {
	r.buffer = append(r.buffer, ',')
	r.buffer = append(r.buffer, value...)
}

// id writes the id of a request.
func (r *Reply) id(n uint64) { r.raw(strconv.FormatUint(n, 10)) }

// seconds writes a time or a duration in seconds.
func (r *Reply) seconds(t monotime.Micros) {
	r.raw(strconv.FormatFloat(float64(t)/float64(monotime.Second), 'f', -1, 64))
}

// text writes a string.
func (r *Reply) text(s string) {
	b, err := json.Marshal(s)
	if err != nil { // does not happen for a string
		b = []byte(`""`)
	}
	r.raw(string(b))
}
