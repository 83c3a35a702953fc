package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// fields decodes the values of one message by their index. The first error stays in err; after it all values are zero.
type fields struct {
	values []json.RawMessage
	name   string // of the message, for errors
	err    error
}

// isPresent reports whether there is a value other than null.
func (f *fields) isPresent(index int) bool {
	return index < len(f.values) && len(f.values[index]) > 0 && string(f.values[index]) != "null"
}

// read decodes a mandatory value.
func (f *fields) read(index int, to any) {
	if f.err != nil {
		return
	}
	if !f.isPresent(index) {
		f.err = fmt.Errorf("%s: value %d is missing", f.name, index)
		return
	}
	if err := json.Unmarshal(f.values[index], to); err != nil {
		f.err = fmt.Errorf("%s: value %d: %w", f.name, index, err)
	}
}

func (f *fields) text(index int) (s string)      { f.read(index, &s); return s }
func (f *fields) boolean(index int) (b bool)     { f.read(index, &b); return b }
func (f *fields) id(index int) (n uint64)        { f.read(index, &n); return n }
func (f *fields) number(index int) (n float64)   { f.read(index, &n); return n }
func (f *fields) time(index int) monotime.Micros { return secondsToMicros(f.number(index)) }

// integer decodes a 32-bit integer.
func (f *fields) integer(index int) int64 {
	if f.err == nil && f.isPresent(index) {
		text := string(f.values[index])
		n, err := strconv.ParseInt(text, 10, 32)
		if err == nil {
			return n
		}
		f.err = fmt.Errorf("%s: value %d: %s is not a 32-bit integer", f.name, index, text)
		return 0
	}
	f.read(index, new(int64))
	return 0
}

// optionalText decodes a string; it is empty if the value is missing, null or 0.
func (f *fields) optionalText(index int) string {
	if !f.isPresent(index) || string(f.values[index]) == "0" {
		return ""
	}
	return f.text(index)
}

// optionalNumber decodes a number; it is 0 if the value is missing or null.
func (f *fields) optionalNumber(index int) float64 {
	if !f.isPresent(index) {
		return 0
	}
	return f.number(index)
}

// result decodes the result of an attempt or a health check.
func (f *fields) result(index int) scheduler.Result {
	result, ok := results[f.text(index)]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: unknown outcome %q", f.name, f.text(index))
	}
	return result
}

// notReported replaces a value that is missing in a load report.
const notReported = -1

// load decodes an engine's load report; it is nil if the value is missing or null.
func (f *fields) load(index int) *scheduler.LoadReport {
	if !f.isPresent(index) {
		return nil
	}
	var reported map[string]float64
	f.read(index, &reported)
	valueOf := func(name string) float64 {
		if value, ok := reported[name]; ok {
			return value
		}
		return notReported
	}
	return &scheduler.LoadReport{
		Utilization: valueOf("util"),
		Queue:       valueOf("queue"),
		Memory:      valueOf("x0"),
		Disk:        valueOf("x1"),
	}
}
