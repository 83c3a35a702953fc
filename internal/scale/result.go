// Package scale measures how a fleet's control traffic grows with the number of its front ends: the results as files, the script
// of faults that a run goes through, what a run needs of the machine, and the slopes that results fit.
package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// The modes of a result.
const (
	ModeSockets = "sockets" // links over loopback sockets
	ModeVirtual = "virtual" // stepped in virtual time
	ModeMeasure = "measure" // one mechanism by itself
)

// The roles of a result.
const (
	RoleFrontEnd = "front end"      // attached
	RoleControl  = "control member" // named in fleet.members
)

// TargetFrontEnds is the size that slopes are extrapolated to.
const TargetFrontEnds = 2700

// Result is what one run measured.
type Result struct {
	Name      string         `json:"name"`
	Mode      string         `json:"mode"`
	Date      string         `json:"date"`
	Machine   string         `json:"machine"` // cores and processor only
	FrontEnds int            `json:"front_ends"`
	Controls  int            `json:"controls"`
	Zones     int            `json:"zones"`
	Seconds   float64        `json:"seconds"` // measured, after the start
	Seed      uint64         `json:"seed"`
	Faults    string         `json:"faults,omitempty"`
	Roles     []RoleFigures  `json:"roles,omitempty"`
	Spread    *SpreadFigures `json:"spread,omitempty"`
	Points    []Point        `json:"points,omitempty"`
	Notes     []string       `json:"notes,omitempty"`
}

// RoleFigures are the means over the members of one role that were measured.
type RoleFigures struct {
	Role    string `json:"role"`
	Members int    `json:"members"`
	// A second and member, at the link. Bytes are what frames carry; framing is the frames' headers and the hellos.
	MessagesIn  float64 `json:"messages_in"`
	MessagesOut float64 `json:"messages_out"`
	BytesIn     float64 `json:"bytes_in"`
	BytesOut    float64 `json:"bytes_out"`
	FramingIn   float64 `json:"framing_in"`
	FramingOut  float64 `json:"framing_out"`
	CPUMicros   float64 `json:"cpu_micros"`   // of processor a second and member, an idle process's taken off
	MemoryBytes float64 `json:"memory_bytes"` // resident a member, an idle process's taken off
	HeapBytes   float64 `json:"heap_bytes"`   // live heap a member, an idle process's taken off
	Connections float64 `json:"connections"`  // open at a member
}

// SpreadFigures say how long changes took to reach the last member alive, in milliseconds.
type SpreadFigures struct {
	Count     int     `json:"count"`     // changes that reached all
	Unreached int     `json:"unreached"` // changes that had not when the run ended
	MedianMS  float64 `json:"median_ms"`
	P99MS     float64 `json:"p99_ms"`
	MostMS    float64 `json:"most_ms"`
}

// Point is one measurement of a series: what was varied, and the figures by "name unit".
type Point struct {
	Axis    string             `json:"axis"`
	X       float64            `json:"x"`
	Figures map[string]float64 `json:"figures"`
}

// Write writes a result to a file, whose folder is made where it is missing.
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

// Read reads a result's file. A key that Result doesn't have is an error.
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
