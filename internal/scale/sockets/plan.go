package sockets

import (
	"fmt"
	"net/netip"
	"time"

	"chutechute/internal/scale"
	"chutechute/internal/testharness/site"
)

// Options are the parameters of a run.
type Options struct {
	Shape        scale.Shape
	RealControls int    // number of control members that are processes of the program
	Program      string // path of the built program; required if RealControls is above 0
	RestartCount int    // number of front ends to kill and start again, one by one, after the measured part
	// StartWindow is the time from the start over which the traffic of starting is counted, in a fleet with attached front
	// ends that all start at once; 0: it is not counted.
	StartWindow time.Duration
	// StartSpread is the time over which the starts of the hollow front ends are spread evenly; 0: all start at once, as
	// far as the machine's cores allow.
	StartSpread time.Duration
	Faults      []scale.Fault
	Script      string // the script that Faults was parsed from
	// Worker is the command line that starts a worker process. If it is empty, workers run within this process.
	Worker []string
	// Progress reports the progress of the run to the user. It must not be nil.
	Progress func(format string, args ...any)
}

// frontEnd is one front end of a run.
type frontEnd struct {
	name       string
	zone       string
	attached   bool
	real       bool           // a process of the program; the others are hollow front ends
	peerAddr   netip.AddrPort // for links of other front ends
	clientAddr netip.AddrPort // for clients; only of a process of the program
}

// Maximum number of front ends in one worker, by role. The traffic of a control member grows with the fleet, and a
// worker has one event loop, which uses one core.
const (
	maxControlsPerWorker = 10
	maxAttachedPerWorker = 200
)

// plan assigns the front ends of a run to processes.
type plan struct {
	frontEnds []*frontEnd
	real      []*frontEnd   // processes of the program
	workers   [][]*frontEnd // the front ends of each worker, all of one role
}

// newPlan names all front ends and assigns them to workers. Zones are assigned in turn, so that each zone has its share
// of both roles. The processes of the program come first by name, so that the replicas are among them and hollow
// control members have the traffic of the membership only.
func newPlan(o *Options) *plan {
	p := &plan{}
	var controls, attached []*frontEnd
	for i := range o.Shape.Total() {
		f := &frontEnd{zone: scale.ZoneName(i % o.Shape.Zones)}
		switch {
		case i < o.Shape.Controls:
			f.name = fmt.Sprintf("c%03d", i+1)
			f.real = i < o.RealControls
		default:
			f.attached, f.name = true, fmt.Sprintf("f%04d", i-o.Shape.Controls+1)
		}
		p.frontEnds = append(p.frontEnds, f)
		switch {
		case f.real:
			p.real = append(p.real, f)
		case f.attached:
			attached = append(attached, f)
		default:
			controls = append(controls, f)
		}
	}
	p.workers = append(splitEvenly(controls, maxControlsPerWorker), splitEvenly(attached, maxAttachedPerWorker)...)
	return p
}

// splitEvenly splits a list into parts of about equal size, with maxSize front ends at most.
func splitEvenly(list []*frontEnd, maxSize int) (parts [][]*frontEnd) {
	count := (len(list) + maxSize - 1) / maxSize
	for i := range count {
		parts = append(parts, list[i*len(list)/count:(i+1)*len(list)/count])
	}
	return parts
}

// Estimates of what a run needs, a little above the measured values.
const (
	spareDescriptors   = 64       // of a process, besides its links
	processBytes       = 40 << 20 // of a process
	connectionBytes    = 32 << 10 // of both ends of a connection
	attachedBytes      = 2 << 20  // of an attached front end
	linksPerAttached   = 2
	descriptorsPerLink = 2 // one for each direction
	imbalanceFactor    = 2 // highest number of attached front ends of a control member, relative to the mean
)

// linksPerControl returns how many connections a control member may have. Attached front ends are not distributed
// evenly over the control members.
func (o *Options) linksPerControl() int {
	return descriptorsPerLink*(o.Shape.Controls-1) + imbalanceFactor*linksPerAttached*o.Shape.Attached()/o.Shape.Controls
}

// requirements returns the resources that the run needs.
func (p *plan) requirements(o *Options) scale.Requirements {
	controls, attached := o.Shape.Controls, o.Shape.Attached()
	links := o.linksPerControl()
	needed := scale.Requirements{Flag: "control", Processes: len(p.real) + len(p.workers)}
	if attached > 0 {
		needed.Flag = "front-ends"
	}
	for _, frontEnds := range p.workers {
		descriptors := links + 1
		if frontEnds[0].attached {
			descriptors = linksPerAttached * descriptorsPerLink
		}
		needed.Descriptors = max(needed.Descriptors, spareDescriptors+descriptors*len(frontEnds))
	}
	needed.Ports = controls + linksPerAttached*attached // at most, for connections to one address
	needed.MemoryBytes = int64(needed.Processes)*processBytes + int64(controls)*int64(links)*connectionBytes +
		int64(attached)*attachedBytes
	return needed
}

// assignAddresses assigns addresses to all front ends, with ports that are free at this time.
func (p *plan) assignAddresses(o *Options) error {
	flag := "control"
	if o.Shape.Attached() > 0 {
		flag = "front-ends"
	}
	var addresses []netip.Addr
	for i := range p.frontEnds {
		addresses = append(addresses, scale.LoopbackAddress(o.Shape.Seed, i))
	}
	for i, f := range p.frontEnds {
		if f.real {
			addresses = append(addresses, scale.LoopbackAddress(o.Shape.Seed, i))
		}
	}
	ports, err := scale.FreePorts(flag, addresses)
	if err != nil {
		return err
	}
	for i, f := range p.frontEnds {
		f.peerAddr = ports[i]
	}
	for i, f := range p.real {
		f.clientAddr = ports[len(p.frontEnds)+i]
	}
	return nil
}

// fleetSection returns the fleet section of the installation.
func (p *plan) fleetSection(shape scale.Shape) map[string]any {
	var members []site.ControlMember
	for _, f := range p.frontEnds {
		if !f.attached {
			members = append(members, site.ControlMember{Name: f.name, Address: f.peerAddr.String(), Zone: f.zone})
		}
	}
	section := map[string]any{"enabled": true, "site": "scale", "members": members}
	if shape.Attached() > 0 {
		section["attached"] = map[string]any{"enabled": true}
	}
	return section
}
