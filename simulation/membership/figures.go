package membership

import (
	"fmt"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// namedFigures returns the figures that a result has no field for. The last word of a name is the figure's unit.
// docs/capacity quotes many of the names, which include descriptions of triggers, so they must not change.
func (s *simulation) namedFigures(out *Outcome) map[string]float64 {
	figures := map[string]float64{
		"front end in and out B/s":             out.MeanRate,
		"front end busiest 10 s B/s":           out.PeakRate,
		"false deaths count":                   float64(out.FalseDeaths),
		"past processes seen again count":      float64(out.Resurrections),
		"older processes seen late count":      float64(out.OutOfOrder),
		"views agree after the last fault ms":  float64(out.ConvergenceTime / monotime.Millisecond),
		"views still wrong at the end members": float64(len(out.Disagreements)),
	}
	if detection := scale.SummarizeSpread(durations(out.DetectionTimes), 0); detection != nil {
		figures["deaths noticed count"] = float64(detection.Count)
		figures["death noticed median ms"] = detection.MedianMS
		figures["death noticed p99 ms"] = detection.P99MS
		figures["death noticed most ms"] = detection.MaxMS
	}
	for _, burst := range out.Bursts {
		addDistribution(figures, burst.Trigger+": accepts in the first second", burst.Accepts)
		addDistribution(figures, burst.Trigger+": snapshots in the first second", burst.Snapshots)
	}
	if out.MaxObservedFlaps > 0 {
		figures["changes seen of the one that flaps count"] = float64(out.MaxObservedFlaps)
	}
	s.addKindRates(figures, membership.Attached)
	s.addKindRates(figures, membership.Control)
	return figures
}

func addDistribution(figures map[string]float64, name string, d Distribution) {
	figures[name+", all count"] = float64(d.Total)
	figures[name+", mean count"] = d.Mean
	figures[name+", most at one control member count"] = float64(d.Max)
}

// addKindRates adds the rate of each kind of message, in bytes per second and member.
func (s *simulation) addKindRates(figures map[string]float64, role membership.Role) {
	members := s.membersWithRole(role)
	traffic := s.traffic.total(members)
	memberSeconds := inSeconds(s.traffic.duration) * float64(len(members))
	addRate := func(kind messageKind, direction string, count trafficCount) {
		if count.messages > 0 {
			name := fmt.Sprintf("%s: %s %s B/s", roleName(role), kind, direction)
			figures[name] = float64(count.totalBytes()) / memberSeconds
		}
	}
	for kind := range messageKindCount {
		addRate(kind, "in", traffic.received[kind])
		addRate(kind, "out", traffic.sent[kind])
	}
}
