package sockets

import (
	"fmt"
	"time"

	"chutechute/internal/scale"
)

// reading is what all processes had counted and used at one time.
type reading struct {
	at      time.Time
	hollows []figures
	reals   []realUse
}

// realUse is what one process of the program has used.
type realUse struct {
	starts   int
	cpu      int64 // microseconds
	resident int64 // bytes
}

func (r *run) read() (n reading, err error) {
	n.at = time.Now()
	for _, h := range r.hollows {
		f, err := h.figures(false)
		if err != nil {
			return n, err
		}
		n.hollows = append(n.hollows, f)
	}
	for _, p := range r.processes {
		u := realUse{starts: p.starts}
		if u.cpu, u.resident, err = p.use(); err != nil {
			return n, err
		}
		n.reals = append(n.reals, u)
	}
	return n, nil
}

// measure counts while the script goes on, and then sees how long changes take.
func (r *run) measure() (*scale.Result, error) {
	steps := r.steps()
	before, err := r.read()
	if err != nil {
		return nil, err
	}
	r.o.Progress("measuring for %g s", r.o.Shape.Seconds)
	if err := r.play(steps, before.at); err != nil {
		return nil, err
	}
	after, err := r.read()
	if err != nil {
		return nil, err
	}
	var heaps []int64
	for _, h := range r.hollows {
		f, err := h.figures(true)
		if err != nil {
			return nil, err
		}
		heaps = append(heaps, f.Heap-h.idle.Heap)
	}
	r.watch.settle()
	r.o.Progress("%d front ends are killed and started again", r.o.Changes)
	if err := r.changes(); err != nil {
		return nil, err
	}
	return r.result(before, after, heaps), nil
}

// result puts together what was measured.
func (r *run) result(before, after reading, heaps []int64) *scale.Result {
	shape := r.o.Shape
	result := &scale.Result{Mode: scale.ModeSockets, Date: time.Now().UTC().Format(time.DateOnly), Machine: scale.Machine(),
		FrontEnds: shape.Total(), Controls: shape.Controls, Zones: shape.Zones, Seconds: after.at.Sub(before.at).Seconds(),
		Seed: shape.Seed, Faults: r.o.Script}
	for _, role := range []string{scale.RoleControl, scale.RoleFrontEnd} {
		if f := r.roleFigures(role, before, after, heaps); f.Members > 0 {
			result.Roles = append(result.Roles, f)
		}
	}
	perMessage(result)
	r.heartbeats(result, before, after)
	r.startFigures(result)
	longest := int64(0)
	for _, f := range after.hollows {
		longest = max(longest, f.LongestTurn)
	}
	result.Notes = append(result.Notes, fmt.Sprintf("the longest turn of a loop that carries hollow front ends took %d ms while measured",
		longest/1000))
	result.Notes = append(result.Notes, r.unseen()...)
	r.spread(result)
	r.realFigures(result, before, after)
	result.Notes = append(result.Notes,
		fmt.Sprintf("%d control members, the first by name and so the record's copies where there are three, are processes of the program; "+
			"roles are of the hollow front ends, in %d processes", len(r.processes), len(r.hollows)),
		fmt.Sprintf("the machine's load average was %s after the measured part: above its cores, other work ran beside", scale.LoadAverage()),
		"processor is the time of the processes of hollow front ends by the system's count, less what they took before any started; "+
			"the share of a loop that carries many is in it")
	if r.o.Worker == nil {
		result.Notes = append(result.Notes,
			"all hollow front ends were in the measuring process: its processor time and memory are not divided by role")
	}
	return result
}

// perMessage adds the processor time for each message that came, which says more than that a second where a busy machine lets
// messages come late.
func perMessage(result *scale.Result) {
	figures := map[string]float64{}
	for i := range result.Roles {
		if f := &result.Roles[i]; f.MessagesIn > 0 {
			figures[f.Role+", processor for a message taken in and one sent us"] = f.CPUMicros / f.MessagesIn
		}
	}
	result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(result.FrontEnds), Figures: figures})
}

// roleFigures are the means of one role's hollow front ends.
func (r *run) roleFigures(role string, before, after reading, heaps []int64) scale.RoleFigures {
	f := scale.RoleFigures{Role: role}
	seconds := after.at.Sub(before.at).Seconds()
	for i, h := range r.hollows {
		if h.role() != role {
			continue
		}
		f.Members += len(h.fronts)
		b, a := before.hollows[i], after.hollows[i]
		t := a.Traffic.Minus(b.Traffic)
		f.MessagesIn += float64(t.MessagesIn) / seconds
		f.MessagesOut += float64(t.MessagesOut) / seconds
		f.BytesIn += float64(t.PayloadIn) / seconds
		f.BytesOut += float64(t.PayloadOut) / seconds
		f.FramingIn += float64(t.BytesIn-t.PayloadIn) / seconds
		f.FramingOut += float64(t.BytesOut-t.PayloadOut) / seconds
		f.CPUMicros += float64(a.CPU-b.CPU)/seconds - h.rate
		f.MemoryBytes += float64(a.Resident - h.idle.Resident)
		f.HeapBytes += float64(heaps[i])
		f.Connections += float64(a.Connections)
	}
	if f.Members > 0 {
		each := 1 / float64(f.Members)
		for _, v := range []*float64{&f.MessagesIn, &f.MessagesOut, &f.BytesIn, &f.BytesOut, &f.FramingIn, &f.FramingOut, &f.CPUMicros,
			&f.MemoryBytes, &f.HeapBytes, &f.Connections} {
			*v *= each
		}
	}
	return f
}

// heartbeatsASecond is what a control member sends to each other where the section's beat_ms is not set. Ticks of 25 ms and a busy
// machine leave somewhat fewer.
const heartbeatsASecond = 10

// heartbeats tells those among control members from all else that comes.
func (r *run) heartbeats(result *scale.Result, before, after reading) {
	var count, size, members float64
	for i, h := range r.hollows {
		if h.role() == scale.RoleControl {
			t := after.hollows[i].Traffic.Minus(before.hollows[i].Traffic)
			count += float64(t.HeartbeatsIn)
			size += float64(t.HeartbeatSize)
			members += float64(len(h.fronts))
		}
	}
	if count == 0 {
		return
	}
	seconds := after.at.Sub(before.at).Seconds()
	due := float64(r.o.Shape.Controls-1) * heartbeatsASecond
	result.Notes = append(result.Notes, fmt.Sprintf("hollow control members took in %.0f%% of %g heartbeats a second from each other",
		100*count/seconds/members/due, float64(heartbeatsASecond)))
	result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(r.o.Shape.Total()), Figures: map[string]float64{
		"a control member, heartbeats in /s": count / seconds / members, "a control member, a heartbeat's payload bytes": size / count}})
}

// startFigures are what the start of all hollow front ends at once cost each, by role.
func (r *run) startFigures(result *scale.Result) {
	if r.started == 0 {
		return
	}
	figures := map[string]float64{}
	for _, role := range []string{scale.RoleControl, scale.RoleFrontEnd} {
		var in, out, cpu, members float64
		for i, h := range r.hollows {
			if h.role() == role {
				f := r.atStart.hollows[i]
				in += float64(f.Traffic.BytesIn)
				out += float64(f.Traffic.BytesOut)
				cpu += float64(f.CPU-h.idle.CPU) - h.rate*r.started.Seconds()
				members += float64(len(h.fronts))
			}
		}
		if members > 0 {
			each := members * r.started.Seconds()
			figures[role+", all started at once, in with framing B/s"] = in / each
			figures[role+", all started at once, out with framing B/s"] = out / each
			figures[role+", all started at once, processor us/s"] = cpu / each
		}
	}
	result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(r.o.Shape.Total()), Figures: figures})
	result.Notes = append(result.Notes,
		fmt.Sprintf("figures of all started at once are means over the first %.1f s", r.started.Seconds()))
}

// spread tells how long starts took to be seen by all, and ends, which have to wait until silence is taken for an end.
func (r *run) spread(result *scale.Result) {
	w := &r.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	result.Spread = scale.SpreadOf(w.starts, w.openStarts)
	if ends := scale.SpreadOf(w.ends, w.openEnds); ends != nil {
		figures := map[string]float64{"ends seen by all, count": float64(ends.Count), "ends not seen by all, count": float64(ends.Unreached)}
		if ends.Count > 0 {
			figures["an end is seen by the last, median ms"] = ends.MedianMS
			figures["an end is seen by the last, most ms"] = ends.MostMS
		}
		result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(r.o.Shape.Total()), Figures: figures})
	}
	if result.Spread != nil {
		result.Notes = append(result.Notes,
			"spread is of starts, as hollow front ends saw them, within a tick of 25 ms; ends stand under points")
	}
}

// realFigures are the means of the processes of the program that ran throughout.
func (r *run) realFigures(result *scale.Result, before, after reading) {
	var cpu, resident, count float64
	for i := range r.processes {
		b, a := before.reals[i], after.reals[i]
		if b.starts == a.starts && b.resident > 0 && a.resident > 0 {
			cpu += float64(a.cpu-b.cpu) / after.at.Sub(before.at).Seconds()
			resident += float64(a.resident)
			count++
		}
	}
	if count > 0 {
		result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(r.o.Shape.Total()), Figures: map[string]float64{
			"a control member's whole process, processor us/s": cpu / count,
			"a control member's whole process, resident bytes": resident / count}})
	}
}
