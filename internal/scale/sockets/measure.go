package sockets

import (
	"fmt"
	"time"

	"chutechute/internal/scale"
)

// reading has the counters and the use of resources of all processes at one time.
type reading struct {
	at       time.Time
	workers  []figures
	programs []programUsage
}

// programUsage is the use of resources by one process of the program.
type programUsage struct {
	startCount int   // to detect a restart between two readings
	cpu        int64 // microseconds
	resident   int64 // bytes
}

func (r *run) takeReading() (n reading, err error) {
	n.at = time.Now()
	for _, h := range r.workers {
		f, err := h.figures(false)
		if err != nil {
			return n, err
		}
		n.workers = append(n.workers, f)
	}
	for _, p := range r.processes {
		u := programUsage{startCount: p.startCount}
		if u.cpu, u.resident, err = p.usage(); err != nil {
			return n, err
		}
		n.programs = append(n.programs, u)
	}
	return n, nil
}

// measure takes readings before and after the faults of the script, and then measures how long changes take to be seen
// by all.
func (r *run) measure() (*scale.Result, error) {
	steps := r.faultSteps()
	before, err := r.takeReading()
	if err != nil {
		return nil, err
	}
	r.opts.Progress("measuring for %g s", r.opts.Shape.Seconds)
	if err := r.playFaults(steps, before.at); err != nil {
		return nil, err
	}
	after, err := r.takeReading()
	if err != nil {
		return nil, err
	}
	var heaps []int64
	for _, h := range r.workers {
		f, err := h.figures(true)
		if err != nil {
			return nil, err
		}
		heaps = append(heaps, f.Heap-h.idle.Heap)
	}
	r.tracker.awaitAll()
	r.opts.Progress("killing and restarting %d front ends", r.opts.RestartCount)
	if err := r.measureChanges(); err != nil {
		return nil, err
	}
	return r.buildResult(before, after, heaps), nil
}

// buildResult builds the result of the run.
func (r *run) buildResult(before, after reading, heaps []int64) *scale.Result {
	shape := r.opts.Shape
	result := &scale.Result{Mode: scale.ModeSockets, Date: time.Now().UTC().Format(time.DateOnly),
		Machine: scale.DescribeMachine(), FrontEnds: shape.Total(), Controls: shape.Controls, Zones: shape.Zones,
		Seconds: after.at.Sub(before.at).Seconds(), Seed: shape.Seed, Faults: r.opts.Script}
	for _, role := range []string{scale.RoleControl, scale.RoleFrontEnd} {
		if f := r.roleFigures(role, before, after, heaps); f.Members > 0 {
			result.Roles = append(result.Roles, f)
		}
	}
	addCPUPerMessage(result)
	r.addHeartbeatFigures(result, before, after)
	r.addStartFigures(result)
	longest := int64(0)
	for _, f := range after.workers {
		longest = max(longest, f.LongestTurn)
	}
	result.Notes = append(result.Notes,
		fmt.Sprintf("the longest turn of a worker's event loop took %d ms during the measured part", longest/1000))
	result.Notes = append(result.Notes, r.describePending()...)
	r.addSpread(result)
	r.addProgramFigures(result, before, after)
	result.Notes = append(result.Notes,
		fmt.Sprintf("%d control members are processes of the program, the first by name, which are the replicas if three; "+
			"figures of roles are of the hollow front ends, in %d workers", len(r.processes), len(r.workers)),
		fmt.Sprintf("load average of the machine after the measured part: %s; above the number of cores, other work ran too",
			scale.LoadAverage()),
		"processor is the processor time of the workers as the system counts it, less what they used before their front "+
			"ends started; it includes the shared event loop")
	if r.opts.Worker == nil {
		result.Notes = append(result.Notes,
			"all hollow front ends ran in the measuring process: its processor time and memory are not divided by role")
	}
	return result
}

// addCPUPerMessage adds the processor time per received message. It is more meaningful than the processor time per
// second if a busy machine delays messages.
func addCPUPerMessage(result *scale.Result) {
	figures := map[string]float64{}
	for i := range result.Roles {
		if f := &result.Roles[i]; f.MessagesIn > 0 {
			figures[f.Role+", processor for a message taken in and one sent us"] = f.CPUMicros / f.MessagesIn
		}
	}
	result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(result.FrontEnds), Figures: figures})
}

// roleFigures returns the means over the hollow front ends of one role.
func (r *run) roleFigures(role string, before, after reading, heaps []int64) scale.RoleFigures {
	f := scale.RoleFigures{Role: role}
	seconds := after.at.Sub(before.at).Seconds()
	for i, h := range r.workers {
		if h.role() != role {
			continue
		}
		f.Members += len(h.frontEnds)
		b, a := before.workers[i], after.workers[i]
		t := a.Traffic.Minus(b.Traffic)
		f.MessagesIn += float64(t.MessagesIn) / seconds
		f.MessagesOut += float64(t.MessagesOut) / seconds
		f.BytesIn += float64(t.PayloadIn) / seconds
		f.BytesOut += float64(t.PayloadOut) / seconds
		f.FramingIn += float64(t.BytesIn-t.PayloadIn) / seconds
		f.FramingOut += float64(t.BytesOut-t.PayloadOut) / seconds
		f.CPUMicros += float64(a.CPU-b.CPU)/seconds - h.idleCPURate
		f.MemoryBytes += float64(a.Resident - h.idle.Resident)
		f.HeapBytes += float64(heaps[i])
		f.Connections += float64(a.Connections)
	}
	if f.Members > 0 {
		each := 1 / float64(f.Members)
		for _, v := range []*float64{&f.MessagesIn, &f.MessagesOut, &f.BytesIn, &f.BytesOut, &f.FramingIn, &f.FramingOut,
			&f.CPUMicros, &f.MemoryBytes, &f.HeapBytes, &f.Connections} {
			*v *= each
		}
	}
	return f
}

// heartbeatsPerSecond is the number of heartbeats that a control member sends to each other one if the section does not
// set beat_ms. Ticks of 25 ms and a busy machine reduce it somewhat.
const heartbeatsPerSecond = 10

// addHeartbeatFigures adds figures of the heartbeats among control members, which roleFigures does not separate from
// other messages.
func (r *run) addHeartbeatFigures(result *scale.Result, before, after reading) {
	var count, size, members float64
	for i, h := range r.workers {
		if h.role() == scale.RoleControl {
			t := after.workers[i].Traffic.Minus(before.workers[i].Traffic)
			count += float64(t.HeartbeatsIn)
			size += float64(t.HeartbeatSize)
			members += float64(len(h.frontEnds))
		}
	}
	if count == 0 {
		return
	}
	seconds := after.at.Sub(before.at).Seconds()
	expected := float64(r.opts.Shape.Controls-1) * heartbeatsPerSecond
	result.Notes = append(result.Notes, fmt.Sprintf(
		"hollow control members received %.0f%% of %g heartbeats per second from each other control member",
		100*count/seconds/members/expected, float64(heartbeatsPerSecond)))
	result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(r.opts.Shape.Total()),
		Figures: map[string]float64{
			"a control member, heartbeats in /s":            count / seconds / members,
			"a control member, a heartbeat's payload bytes": size / count}})
}

// addStartFigures adds, for each role, what the start of all front ends at once costs a hollow front end.
func (r *run) addStartFigures(result *scale.Result) {
	if r.startWindow == 0 {
		return
	}
	figures := map[string]float64{}
	for _, role := range []string{scale.RoleControl, scale.RoleFrontEnd} {
		var in, out, cpu, members float64
		for i, h := range r.workers {
			if h.role() == role {
				f := r.startReading.workers[i]
				in += float64(f.Traffic.BytesIn)
				out += float64(f.Traffic.BytesOut)
				cpu += float64(f.CPU-h.idle.CPU) - h.idleCPURate*r.startWindow.Seconds()
				members += float64(len(h.frontEnds))
			}
		}
		if members > 0 {
			memberSeconds := members * r.startWindow.Seconds()
			figures[role+", all started at once, in with framing B/s"] = in / memberSeconds
			figures[role+", all started at once, out with framing B/s"] = out / memberSeconds
			figures[role+", all started at once, processor us/s"] = cpu / memberSeconds
		}
	}
	result.Points = append(result.Points,
		scale.Point{Axis: "front ends", X: float64(r.opts.Shape.Total()), Figures: figures})
	result.Notes = append(result.Notes,
		fmt.Sprintf("figures of all front ends started at once are means over the first %.1f s", r.startWindow.Seconds()))
}

// addSpread adds how long starts and ends took to be seen by all. Ends are separate because they take longer: a silent
// front end is presumed dead only after a timeout.
func (r *run) addSpread(result *scale.Result) {
	t := &r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	result.Spread = scale.SummarizeSpread(t.starts, t.pendingStarts)
	if ends := scale.SummarizeSpread(t.ends, t.pendingEnds); ends != nil {
		figures := map[string]float64{
			"ends seen by all, count":     float64(ends.Count),
			"ends not seen by all, count": float64(ends.Unreached)}
		if ends.Count > 0 {
			figures["an end is seen by the last, median ms"] = ends.MedianMS
			figures["an end is seen by the last, most ms"] = ends.MaxMS
		}
		result.Points = append(result.Points,
			scale.Point{Axis: "front ends", X: float64(r.opts.Shape.Total()), Figures: figures})
	}
	if result.Spread != nil {
		result.Notes = append(result.Notes,
			"spread is of starts, as seen by the hollow front ends, to within a tick of 25 ms; ends are listed under points")
	}
}

// addProgramFigures adds means over the processes of the program that were not restarted or ended by a fault.
func (r *run) addProgramFigures(result *scale.Result, before, after reading) {
	var cpu, resident, count float64
	for i := range r.processes {
		b, a := before.programs[i], after.programs[i]
		if b.startCount == a.startCount && b.resident > 0 && a.resident > 0 {
			cpu += float64(a.cpu-b.cpu) / after.at.Sub(before.at).Seconds()
			resident += float64(a.resident)
			count++
		}
	}
	if count > 0 {
		result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(r.opts.Shape.Total()),
			Figures: map[string]float64{
				"a control member's whole process, processor us/s": cpu / count,
				"a control member's whole process, resident bytes": resident / count}})
	}
}
