package sockets

import (
	"fmt"
	"net/netip"
	"time"

	"chutechute/internal/scale"
	"chutechute/internal/testharness/site"
)

// Options are what a run needs besides the fleet's shape.
type Options struct {
	Shape   scale.Shape
	Real    int    // control members that are processes of the program
	Program string // the built program; needed with Real above 0
	Changes int    // front ends that are killed and started again, one by one, after the measured part
	// Start is how long the traffic of a fleet with attached front ends is counted from its start at once on; 0: it is not.
	Start time.Duration
	// Over is the span over which the front ends start evenly; 0: all at once, as far as this machine's cores let them.
	Over   time.Duration
	Faults []scale.Fault
	Script string // that Faults was read from
	// Worker is the command line of a process of hollow front ends; without one they run within this process.
	Worker []string
	// Progress is told of each step.
	Progress func(format string, args ...any)
}

// front is one front end of a run.
type front struct {
	name     string
	zone     string
	attached bool
	real     bool
	address  netip.AddrPort // for other front ends
	listen   netip.AddrPort // for clients; of a real one
}

// Most front ends of one role in one process of hollow ones: a control member's traffic grows with the fleet, and one loop has one
// core.
const (
	mostControlsAProcess = 10
	mostAttachedAProcess = 200
)

// plan is who runs where.
type plan struct {
	fronts []*front
	real   []*front
	groups [][]*front // each a process of hollow front ends of one role
}

// newPlan names all front ends. Zones follow one another, so that each has its share of both roles. The processes of the program are
// the first by name, so that the record's copies are theirs and hollow control members have the membership alone.
func newPlan(o *Options) *plan {
	p := &plan{}
	var controls, attached []*front
	for i := range o.Shape.Total() {
		f := &front{zone: scale.ZoneName(i % o.Shape.Zones)}
		switch {
		case i < o.Shape.Controls:
			f.name = fmt.Sprintf("c%03d", i+1)
			f.real = i < o.Real
		default:
			f.attached, f.name = true, fmt.Sprintf("f%04d", i-o.Shape.Controls+1)
		}
		p.fronts = append(p.fronts, f)
		switch {
		case f.real:
			p.real = append(p.real, f)
		case f.attached:
			attached = append(attached, f)
		default:
			controls = append(controls, f)
		}
	}
	p.groups = append(split(controls, mostControlsAProcess), split(attached, mostAttachedAProcess)...)
	return p
}

// split shares a list out evenly, so many a part at most.
func split(list []*front, most int) (parts [][]*front) {
	count := (len(list) + most - 1) / most
	for i := range count {
		parts = append(parts, list[i*len(list)/count:(i+1)*len(list)/count])
	}
	return parts
}

// What a run is taken to need, a little above what was measured: descriptors of a process besides its links, bytes of a process, of a
// connection's two ends, and of one that is attached.
const (
	spareDescriptors  = 64
	processBytes      = 40 << 20
	connectionBytes   = 32 << 10
	attachedBytes     = 2 << 20
	linksOfAttached   = 2
	descriptorsOfLink = 2 // one for each direction
	unevenness        = 2 // times the mean
)

// linksOfControl is how many connections a control member may have: attached ones spread unevenly.
func (o *Options) linksOfControl() int {
	return descriptorsOfLink*(o.Shape.Controls-1) + unevenness*linksOfAttached*o.Shape.Attached()/o.Shape.Controls
}

// needs is what the run takes of the machine.
func (p *plan) needs(o *Options) scale.Requirements {
	controls, attached := o.Shape.Controls, o.Shape.Attached()
	links := o.linksOfControl()
	n := scale.Requirements{Flag: "control", Processes: len(p.real) + len(p.groups)}
	if attached > 0 {
		n.Flag = "front-ends"
	}
	for _, group := range p.groups {
		each := links + 1
		if group[0].attached {
			each = linksOfAttached * descriptorsOfLink
		}
		n.Descriptors = max(n.Descriptors, spareDescriptors+each*len(group))
	}
	n.Ports = controls + linksOfAttached*attached // to one address at most
	n.MemoryBytes = int64(n.Processes)*processBytes + int64(controls)*int64(links)*connectionBytes + int64(attached)*attachedBytes
	return n
}

// place gives each front end its addresses, that are free now.
func (p *plan) place(o *Options) error {
	flag := "control"
	if o.Shape.Attached() > 0 {
		flag = "front-ends"
	}
	var addresses []netip.Addr
	for i := range p.fronts {
		addresses = append(addresses, scale.LoopbackAddress(o.Shape.Seed, i))
	}
	for i, f := range p.fronts {
		if f.real {
			addresses = append(addresses, scale.LoopbackAddress(o.Shape.Seed, i))
		}
	}
	ports, err := scale.FreePorts(flag, addresses)
	if err != nil {
		return err
	}
	for i, f := range p.fronts {
		f.address = ports[i]
	}
	for i, f := range p.real {
		f.listen = ports[len(p.fronts)+i]
	}
	return nil
}

// section is the installation's on the fleet.
func (p *plan) section(shape scale.Shape) map[string]any {
	var members []site.ControlMember
	for _, f := range p.fronts {
		if !f.attached {
			members = append(members, site.ControlMember{Name: f.name, Address: f.address.String(), Zone: f.zone})
		}
	}
	section := map[string]any{"enabled": true, "site": "scale", "members": members}
	if shape.Attached() > 0 {
		section["attached"] = map[string]any{"enabled": true}
	}
	return section
}
