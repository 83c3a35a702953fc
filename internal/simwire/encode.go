package simwire

import (
	"encoding/json"
	"strconv"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// Reply builds the answer to one batch.
type Reply struct {
	buf  []byte
	some bool
}

// Add appends an instance's actions.
func (r *Reply) Add(instance int, actions []scheduler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.StartAttempt:
			r.open("place", instance)
			r.id(a.ID)
			r.text(a.Engine)
			r.seconds(a.Timeout)
		case scheduler.AttemptParameters:
			r.open("allot", instance)
			r.id(a.ID)
			r.raw(strconv.FormatFloat(a.GrantMB, 'f', -1, 64))
			r.raw(strconv.Itoa(a.Priority))
		case scheduler.Cancel:
			r.open("stop_attempt", instance)
			r.id(a.ID)
			r.raw(strconv.Itoa(a.Attempt))
		case scheduler.Reject:
			r.open("push_back", instance)
			r.id(a.ID)
			r.seconds(a.After)
		case scheduler.Fail:
			r.open("report_failure", instance)
			r.id(a.ID)
		case scheduler.HealthCheck:
			r.open("ask_load", instance)
			r.text(a.Engine)
		case scheduler.Subscribe:
			r.open("subscribe", instance)
			r.raw("true")
		case scheduler.FetchList:
			r.open("list_all", instance)
		case scheduler.SetTimer:
			r.open("remind", instance)
			r.seconds(a.At)
			r.text(a.Token)
		case scheduler.Log:
			r.open("remark", instance)
			r.text(a.Text)
		}
		r.buf = append(r.buf, ']')
	}
}

// Broken reports that an instance's decisions cannot go on.
func (r *Reply) Broken(instance int, what string) {
	r.open("broken", instance)
	r.text(what)
	r.buf = append(r.buf, ']')
}

// Line ends the reply, gives it as a line, and starts the next.
func (r *Reply) Line() []byte {
	if len(r.buf) == 0 {
		r.buf = append(r.buf, `{"cmds":[`...)
	}
	line := append(r.buf, "]}\n"...)
	r.buf, r.some = nil, false
	return line
}

func (r *Reply) open(name string, instance int) {
	if len(r.buf) == 0 {
		r.buf = append(r.buf, `{"cmds":[`...)
	}
	if r.some {
		r.buf = append(r.buf, ',')
	}
	r.some = true
	r.buf = append(r.buf, '[', '"')
	r.buf = append(r.buf, name...)
	r.buf = append(r.buf, '"')
	r.raw(strconv.Itoa(instance))
}

func (r *Reply) raw(s string) {
	r.buf = append(r.buf, ',')
	r.buf = append(r.buf, s...)
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
