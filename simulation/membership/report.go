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

// outcome returns what the run has shown. The findings are taken first: describing the disagreements compares all views
// once more, which may add findings.
func (s *simulation) outcome(o Options, scenario Scenario, convergenceTime monotime.Micros) *Outcome {
	out := &Outcome{ForbidsFalseDeaths: scenario.forbidsFalseDeaths, ConvergenceTime: convergenceTime}
	s.groundTruth.addFindings(out)
	out.Disagreements = s.groundTruth.describeDisagreements()
	out.DetectionTimes, out.PropagationDelays = s.groundTruth.delays()
	out.MaxObservedFlaps = s.groundTruth.maxObservedFlaps()
	out.Bursts = s.bursts()
	out.FullQueues = s.fullQueues()
	out.RejectedMessages = s.rejected
	out.PeakRate = float64(s.traffic.peak.bytes) / peakWindowSeconds
	out.PeakFrontEnd = s.traffic.peak.frontEnd
	s.addResult(o, scenario, out)
	return out
}

// addFindings adds the errors of views that were found during the run.
func (t *groundTruth) addFindings(out *Outcome) {
	out.FalseDeaths = t.falseDeaths.count
	out.Resurrections = t.resurrections.count
	out.OutOfOrder = t.outOfOrder.count
	out.Findings = slices.Concat(t.resurrections.descriptions, t.falseDeaths.descriptions, t.outOfOrder.descriptions)
}

// addResult adds the Result to an outcome that has all else, and the mean rate.
func (s *simulation) addResult(o Options, scenario Scenario, out *Outcome) {
	attached := s.roleFigures(membership.Attached)
	control := s.roleFigures(membership.Control)
	out.MeanRate = attached.BytesIn + attached.BytesOut + attached.FramingIn + attached.FramingOut
	out.Result = &scale.Result{
		Name:      scenario.Name,
		Mode:      scale.ModeVirtual,
		FrontEnds: s.shape.Total(),
		Controls:  s.shape.Controls,
		Zones:     s.shape.Zones,
		Seconds:   s.shape.Seconds,
		Seed:      s.shape.Seed,
		Faults:    o.Faults,
		Roles:     []scale.RoleFigures{attached, control},
		Spread:    scale.SpreadOf(durations(out.PropagationDelays), s.groundTruth.unreached()),
		Points:    []scale.Point{{Axis: "front ends", X: float64(s.shape.Total()), Figures: s.namedFigures(out)}},
		Notes:     s.notes(out),
	}
}

// maxObservedFlaps is the most changes of the flapping member that any control member observed.
func (t *groundTruth) maxObservedFlaps() (highest int) {
	for _, count := range t.observedFlaps {
		highest = max(highest, count)
	}
	return highest
}

// fullQueues is how many queues to attached front ends were full, at the control members that run.
func (s *simulation) fullQueues() (count int) {
	for _, m := range s.controlMembers {
		if m.process != nil {
			count += m.process.control.server.Counters.FullQueues
		}
	}
	return count
}

// roleName is a role's name in results.
func roleName(role membership.Role) string {
	if role == membership.Control {
		return scale.RoleControl
	}
	return scale.RoleFrontEnd
}

func (s *simulation) roleFigures(role membership.Role) scale.RoleFigures {
	members := s.membersWithRole(role)
	traffic := s.traffic.total(members)
	received, sent := sumKinds(traffic.received), sumKinds(traffic.sent)
	mean := func(total int64) float64 { return s.traffic.perSecondAndMember(float64(total), len(members)) }
	figures := scale.RoleFigures{
		Role:        roleName(role),
		Members:     len(members),
		MessagesIn:  mean(received.messages),
		MessagesOut: mean(sent.messages),
		BytesIn:     mean(received.bytes),
		BytesOut:    mean(sent.bytes),
		FramingIn:   mean(received.framing),
		FramingOut:  mean(sent.framing),
		Connections: s.meanConnections(members),
	}
	if s.cpuMeter != nil {
		figures.CPUMicros = mean(s.cpuMeter.cpuTime(role).Microseconds())
	}
	return figures
}

// meanConnections is how many open connections a member has at the end. Control members have two with each other.
func (s *simulation) meanConnections(members []*member) float64 {
	count := 0
	for _, m := range members {
		if m.process == nil {
			continue
		}
		m.process.eachLink(func(l *link) {
			if l.open[m.process.side()] {
				count++
			}
		})
		if m.role == membership.Control {
			count += 2 * (len(s.controlMembers) - 1)
		}
	}
	return float64(count) / float64(len(members))
}

func durations(list []monotime.Micros) (durations []time.Duration) {
	for _, duration := range list {
		durations = append(durations, time.Duration(duration)*time.Microsecond)
	}
	return durations
}

// notes says what the figures leave out, and describes what was wrong.
func (s *simulation) notes(out *Outcome) []string {
	notes := []string{
		"bytes of TCP, TLS and acknowledgements are not counted",
		"heartbeats among control members lack the fields about the record, about 40 bytes",
	}
	if s.cpuMeter != nil {
		notes = append(notes,
			"processor: this process's time, divided by the time that steps of each role took; links cost nothing",
			s.heapNote())
	}
	for _, description := range out.Findings {
		notes = append(notes, "fault: "+description)
	}
	for _, description := range out.Disagreements {
		notes = append(notes, "wrong at the end: "+description)
	}
	return notes
}

// heapNote tells the live heap, which is collected first.
func (s *simulation) heapNote() string {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return fmt.Sprintf("live heap of the whole run over all members of both roles: %d bytes each",
		int(stats.HeapAlloc)/len(s.members))
}
