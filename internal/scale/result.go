// Package scale has what measurements of a fleet's control traffic share: result files, scripts of faults, checks of
// the machine's limits, and fits that show how figures grow with the number of front ends.
package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Modes of a result.
const (
	ModeSockets = "sockets" // a fleet over loopback sockets
	ModeVirtual = "virtual" // a simulated fleet in virtual time
	ModeMeasure = "measure" // a measurement of one mechanism
)

// Roles of a result.
const (
	RoleFrontEnd = "front end"      // attached front end
	RoleControl  = "control member" // named in fleet.members
)

// TargetFrontEnds is the number of front ends that fits are extrapolated to.
const TargetFrontEnds = 2700

// Result is the result of one run, as its JSON file has it.
type Result struct {
	Name      string         `json:"name"`
	Mode      string         `json:"mode"`
	Date      string         `json:"date"`
	Machine   string         `json:"machine"` // number of cores and processor model
	FrontEnds int            `json:"front_ends"`
	Controls  int            `json:"controls"`
	Zones     int            `json:"zones"`
	Seconds   float64        `json:"seconds"` // duration of the measured part, which follows the start
	Seed      uint64         `json:"seed"`
	Faults    string         `json:"faults,omitempty"`
	Roles     []RoleFigures  `json:"roles,omitempty"`
	Spread    *SpreadFigures `json:"spread,omitempty"`
	Points    []Point        `json:"points,omitempty"`
	Notes     []string       `json:"notes,omitempty"`
}

// RoleFigures are means over the measured front ends of one role.
type RoleFigures struct {
	Role    string `json:"role"`
	Members int    `json:"members"`
	// Rates per second and member, counted at the links. Bytes are the bodies of messages; framing is frame headers and
	// handshakes.
	MessagesIn  float64 `json:"messages_in"`
	MessagesOut float64 `json:"messages_out"`
	BytesIn     float64 `json:"bytes_in"`
	BytesOut    float64 `json:"bytes_out"`
	FramingIn   float64 `json:"framing_in"`
	FramingOut  float64 `json:"framing_out"`
	CPUMicros   float64 `json:"cpu_micros"`   // microseconds per second and member, less those of an idle process
	MemoryBytes float64 `json:"memory_bytes"` // resident memory per member, less that of an idle process
	HeapBytes   float64 `json:"heap_bytes"`   // live heap per member, less that of an idle process
	Connections float64 `json:"connections"`  // open connections per member
}

// SpreadFigures summarize how long changes took to be seen by all running front ends, in milliseconds.
type SpreadFigures struct {
	Count     int     `json:"count"`     // changes that all front ends saw
	Unreached int     `json:"unreached"` // changes that some front ends had not seen at the end of the run
	MedianMS  float64 `json:"median_ms"`
	P99MS     float64 `json:"p99_ms"`
	MaxMS     float64 `json:"most_ms"`
}

// Point is one measurement of a series. Axis is the quantity that varies, X its value; the keys of Figures are
// "name unit".
type Point struct {
	Axis    string             `json:"axis"`
	X       float64            `json:"x"`
	Figures map[string]float64 `json:"figures"`
}

// Write writes a result to a file, and creates the file's directory if it does not exist.
func Write(path string, r *Result) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	return nil
}

// Read reads a result from a file. An unknown key is an error.
func Read(path string) (*Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	r := &Result{}
	if err := decoder.Decode(r); err != nil {
		return nil, fmt.Errorf("scale: %s: %w", path, err)
	}
	return r, nil
}
