// Package simwire translates between the simulator's protocol, which is lines of JSON, and the scheduler's events and
// actions. It makes no decisions.
package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// Message is one message of a batch to one instance of the scheduler: a start, a stop or an event.
type Message struct {
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

// Decoder decodes batches. It keeps the numbered endpoint lists and each instance's settings for later messages.
type Decoder struct {
	lists    map[int][]scheduler.Endpoint
	settings map[int]*settings.Settings // by instance
}

// NewDecoder returns a decoder without endpoint lists or instances.
func NewDecoder() *Decoder {
	return &Decoder{lists: map[int][]scheduler.Endpoint{}, settings: map[int]*settings.Settings{}}
}

var errNoTime = errors.New("simwire: batch: now is missing")

// Batch decodes one line and returns its time and its messages in their order. An error names the invalid message and
// value, and no messages are returned with it.
func (d *Decoder) Batch(line []byte) (monotime.Micros, []Message, error) {
	var batch struct {
		Now *float64            `json:"now"`
		In  [][]json.RawMessage `json:"in"`
	}
	if err := json.Unmarshal(line, &batch); err != nil {
		return 0, nil, fmt.Errorf("simwire: batch: %w", err)
	}
	if batch.Now == nil {
		return 0, nil, errNoTime
	}
	messages := make([]Message, 0, len(batch.In))
	for i, values := range batch.In {
		message, ok, err := d.parseMessage(values)
		if err != nil {
			return 0, nil, fmt.Errorf("simwire: message %d: %w", i, err)
		}
		if ok {
			messages = append(messages, message)
		}
	}
	return secondsToMicros(*batch.Now), messages, nil
}

// secondsToMicros converts a time or a duration in seconds.
func secondsToMicros(seconds float64) monotime.Micros {
	return monotime.Micros(math.Round(seconds * float64(monotime.Second)))
}

// parseMessage decodes one message. ok is false for an endpoint list, which is kept for later messages.
func (d *Decoder) parseMessage(values []json.RawMessage) (message Message, ok bool, err error) {
	f := &fields{values: values, name: "message"}
	f.name = f.text(0)
	if f.err == nil && f.name == "catalog" {
		list := f.integer(1)
		endpoints, err := parseEndpoints(f, 2)
		d.lists[int(list)] = endpoints
		return Message{}, false, err
	}
	message.Instance = int(f.integer(1))
	if f.err != nil {
		return message, false, f.err
	}
	switch f.name {
	case "attach":
		start, instanceSettings, err := parseStart(f)
		d.settings[message.Instance] = instanceSettings
		message.Start = start
		return message, true, err
	case "down":
		message.Stop = true
		return message, true, nil
	}
	instanceSettings, ok := d.settings[message.Instance]
	if !ok {
		return message, false, fmt.Errorf("%s: instance %d was never attached", f.name, message.Instance)
	}
	message.Event, err = d.parseEvent(f, instanceSettings)
	if err == nil {
		err = f.err
	}
	return message, message.Event != nil, err
}

// parseStart decodes the first message to an instance.
func parseStart(f *fields) (*Start, *settings.Settings, error) {
	var text json.RawMessage
	seed := f.id(2)
	f.read(3, &text)
	if f.err != nil {
		return nil, nil, f.err
	}
	parsed, err := settings.Parse(text)
	if err != nil {
		return nil, nil, fmt.Errorf("attach: %w", err)
	}
	return &Start{Seed: seed, Config: parsed.Config}, parsed, nil
}
