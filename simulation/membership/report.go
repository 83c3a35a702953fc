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

// outcome returns the results of the run. It copies the findings first, because describing the disagreements compares
// all views once more, which may add findings.
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

// addFindings adds the errors that were found in views during the run.
func (t *groundTruth) addFindings(out *Outcome) {
	out.FalseDeaths = t.falseDeaths.count
	out.Resurrections = t.resurrections.count
	out.OutOfOrder = t.outOfOrder.count
	out.Findings = slices.Concat(t.resurrections.descriptions, t.falseDeaths.descriptions, t.outOfOrder.descriptions)
}

// addResult adds the mean rate and the Result, which is derived from the rest of the outcome.
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
		Spread:    scale.SummarizeSpread(durations(out.PropagationDelays), s.groundTruth.unreached()),
		Points:    []scale.Point{{Axis: "front ends", X: float64(s.shape.Total()), Figures: s.namedFigures(out)}},
		Notes:     s.notes(out),
	}
}

// maxObservedFlaps returns the highest number of changes of the flapping member that any control member observed.
func (t *groundTruth) maxObservedFlaps() (highest int) {
	for _, count := range t.observedFlaps {
		highest = max(highest, count)
	}
	return highest
}

// fullQueues returns how often queues to attached front ends were full, at the control members that are running.
func (s *simulation) fullQueues() (count int) {
	for _, m := range s.controlMembers {
		if m.process != nil {
			count += m.process.control.server.Counters.FullQueues
		}
	}
	return count
}

// roleName returns a role's name in results.
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

// meanConnections returns the mean number of open connections of a member at the end. Each pair of control members has
// two.
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

// notes returns what the figures omit, and the descriptions of findings and disagreements.
func (s *simulation) notes(out *Outcome) []string {
	notes := []string{
		"bytes of TCP, TLS and acknowledgements are not counted",
		"heartbeats among control members lack the fields of the replicated log, about 40 bytes",
	}
	if s.cpuMeter != nil {
		notes = append(notes,
			"the processor time of this process is divided in proportion to the time in steps; links are omitted",
			s.heapNote())
	}
	for _, description := range out.Findings {
		notes = append(notes, "fault: "+description)
	}
	for _, description := range out.Disagreements {
		notes = append(notes, "disagreement at the end: "+description)
	}
	return notes
}

// heapNote reports the size of the live heap after a garbage collection.
func (s *simulation) heapNote() string {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return fmt.Sprintf("live heap of the whole simulation, divided by the number of members of both roles: %d bytes",
		int(stats.HeapAlloc)/len(s.members))
}
