package membership

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// fillOutcome fills in what a run showed.
func (s *simulation) fillOutcome(o Options, scenario Scenario, out *Outcome) {
	t := s.groundTruth
	out.FalseDeaths, out.PastBack, out.Older = t.falseDeaths.count, t.resurrections.count, t.outOfOrder.count
	out.Faults = slices.Concat(t.resurrections.descriptions, t.falseDeaths.descriptions, t.outOfOrder.descriptions)
	out.Disagree = t.describeDisagreements()
	out.Bursts = s.countBursts()
	out.Rejected = s.traffic.rejected
	out.BusiestWho = s.traffic.peak.frontEnd
	out.Busiest = float64(s.traffic.peak.bytes) / peakWindowSeconds
	out.Noticed, out.Spreads = t.delays()
	for _, turns := range t.observedFlaps {
		out.Turns = max(out.Turns, turns)
	}
	for _, c := range s.controlMembers {
		if c.process != nil {
			out.Refused += c.process.control.server.Counters.FullQueues
		}
	}
	r := &scale.Result{Name: scenario.Name, Mode: scale.ModeVirtual, FrontEnds: s.shape.Total(), Controls: s.shape.Controls,
		Zones: s.shape.Zones, Seconds: s.shape.Seconds, Seed: s.shape.Seed, Faults: o.Faults}
	out.Result = r
	for _, role := range []membership.Role{membership.Attached, membership.Control} {
		r.Roles = append(r.Roles, s.roleFigures(role))
	}
	front := r.Roles[0]
	out.Rest = front.BytesIn + front.BytesOut + front.FramingIn + front.FramingOut
	r.Spread = scale.SpreadOf(durations(out.Spreads), t.unreached())
	r.Points = append(r.Points, scale.Point{Axis: "front ends", X: float64(s.shape.Total()), Figures: s.namedFigures(out)})
	r.Notes = s.notes(out)
}

// membersWithRole is the places of a role.
func (s *simulation) membersWithRole(role membership.Role) []*member {
	if role == membership.Control {
		return s.controlMembers
	}
	return s.attachedFrontEnds
}

func (s *simulation) roleFigures(role membership.Role) scale.RoleFigures {
	list := s.membersWithRole(role)
	f := s.traffic.trafficOf(list)
	ins, outs := sum(f.received), sum(f.sent)
	seconds := float64(s.traffic.duration) / float64(monotime.Second)
	each := func(v int64) float64 { return float64(v) / seconds / float64(len(list)) }
	figures := scale.RoleFigures{Role: roleName(role), Members: len(list),
		MessagesIn: each(ins.messages), MessagesOut: each(outs.messages),
		BytesIn: each(ins.bytes), BytesOut: each(outs.bytes),
		FramingIn: each(ins.framing), FramingOut: each(outs.framing),
		Connections: s.meanConnections(list)}
	if s.cpuMeter != nil {
		figures.CPUMicros = float64(s.cpuMeter.cpuTime(role).Microseconds()) / seconds / float64(len(list))
	}
	return figures
}

// meanConnections is how many a member has at the end: among control members one each way.
func (s *simulation) meanConnections(list []*member) float64 {
	count := 0
	for _, p := range list {
		if p.process == nil {
			continue
		}
		p.process.eachLink(func(l *link) {
			if l.open[p.process.side()] {
				count++
			}
		})
		if p.role == membership.Control {
			count += 2 * (len(s.controlMembers) - 1)
		}
	}
	return float64(count) / float64(len(list))
}

// delays are how long deaths took to be noticed, and changes to be known.
func (t *groundTruth) delays() (noticed, spreads []monotime.Micros) {
	for _, c := range t.propagated {
		spreads = append(spreads, c.lastKnownAt-c.detectedAt)
		if c.kind == changeEnded {
			noticed = append(noticed, c.detectedAt-c.happenedAt)
		}
	}
	slices.Sort(noticed)
	slices.Sort(spreads)
	return noticed, spreads
}

// unreached is how many noticed changes somebody alive still doesn't know.
func (t *groundTruth) unreached() (count int) {
	for _, list := range t.openChanges {
		for _, c := range list {
			if c.measured && c.pending != nil {
				count++
			}
		}
	}
	return count
}

func durations(list []monotime.Micros) (spans []time.Duration) {
	for _, span := range list {
		spans = append(spans, time.Duration(span)*time.Microsecond)
	}
	return spans
}

// namedFigures are those that a result has no field for; the last word of a name is its unit.
func (s *simulation) namedFigures(out *Outcome) map[string]float64 {
	f := map[string]float64{
		"front end in and out B/s":             out.Rest,
		"front end busiest 10 s B/s":           out.Busiest,
		"false deaths count":                   float64(out.FalseDeaths),
		"past processes seen again count":      float64(out.PastBack),
		"older processes seen late count":      float64(out.Older),
		"views agree after the last fault ms":  float64(out.Settled / monotime.Millisecond),
		"views still wrong at the end members": float64(len(out.Disagree)),
	}
	if noticed := scale.SpreadOf(durations(out.Noticed), 0); noticed != nil {
		f["deaths noticed count"] = float64(noticed.Count)
		f["death noticed median ms"] = noticed.MedianMS
		f["death noticed p99 ms"] = noticed.P99MS
		f["death noticed most ms"] = noticed.MostMS
	}
	for _, b := range out.Bursts {
		addBurstCount(f, b.Of+": accepts in the first second", b.Accepts)
		addBurstCount(f, b.Of+": snapshots in the first second", b.Snapshots)
	}
	if out.Turns > 0 {
		f["changes seen of the one that flaps count"] = float64(out.Turns)
	}
	for _, role := range []membership.Role{membership.Attached, membership.Control} {
		s.addKindRates(f, role)
	}
	return f
}

func addBurstCount(f map[string]float64, name string, l Load) {
	f[name+", all count"] = float64(l.Total)
	f[name+", mean count"] = l.Mean
	f[name+", most at one control member count"] = float64(l.Most)
}

// addKindRates adds the bytes of each kind of message.
func (s *simulation) addKindRates(f map[string]float64, role membership.Role) {
	list := s.membersWithRole(role)
	flow := s.traffic.trafficOf(list)
	each := float64(s.traffic.duration) / float64(monotime.Second) * float64(len(list))
	for k := range messageKinds {
		for _, way := range []struct {
			name string
			t    trafficCount
		}{{"in", flow.received[k]}, {"out", flow.sent[k]}} {
			if way.t.messages > 0 {
				f[fmt.Sprintf("%s: %s %s B/s", roleName(role), k, way.name)] = float64(way.t.totalBytes()) / each
			}
		}
	}
}

// notes say what the figures leave out.
func (s *simulation) notes(out *Outcome) []string {
	list := []string{
		"bytes of TCP, TLS and acknowledgements are not counted",
		"heartbeats among control members lack the fields about the record, about 40 bytes",
	}
	if s.cpuMeter != nil {
		list = append(list, "processor: this process's time, divided by the time that steps of each role took; links cost nothing")
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		list = append(list, fmt.Sprintf("live heap of the whole run over all members of both roles: %d bytes each",
			int(m.HeapAlloc)/len(s.members)))
	}
	for _, word := range out.Faults {
		list = append(list, "fault: "+word)
	}
	for _, word := range out.Disagree {
		list = append(list, "wrong at the end: "+word)
	}
	return list
}
