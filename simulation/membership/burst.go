package membership

import (
	"slices"

	"chutechute/internal/monotime"
)

// Burst counts what control members do in the second after a fault. The second begins with the first accepted
// connection after the fault, and for snapshots with the first snapshot.
type Burst struct {
	Trigger   string       // the fault
	Accepts   Distribution // accepted connections of attached front ends
	Snapshots Distribution // snapshots sent
}

// Distribution describes how a count is distributed over the running control members.
type Distribution struct {
	Total   int
	Running int // number of control members that were running
	Mean    float64
	Max     int // the highest count of one control member
}

// Ratio returns Max divided by Mean, or 0 if Total is 0.
func (d Distribution) Ratio() float64 {
	if d.Total == 0 {
		return 0
	}
	return float64(d.Max) / d.Mean
}

// burstTimes holds the times at which a control member accepted connections of attached front ends, and sent
// snapshots.
type burstTimes struct {
	accepts, snapshots []monotime.Micros
}

// trigger is a fault after which a burst is counted.
type trigger struct {
	description string
	at          monotime.Micros
}

// addTrigger adds a fault that happens now. Faults at the same time share one trigger.
func (s *simulation) addTrigger(description string) {
	last := len(s.triggers) - 1
	if last >= 0 && s.triggers[last].at == s.now {
		s.triggers[last].description += " and " + description
		return
	}
	s.triggers = append(s.triggers, trigger{description, s.now})
}

// bursts returns the burst of each trigger. A burst ends at the next trigger at the latest.
func (s *simulation) bursts() (bursts []Burst) {
	accepts := func(m *member) []monotime.Micros { return m.burstTimes.accepts }
	snapshots := func(m *member) []monotime.Micros { return m.burstTimes.snapshots }
	for i, t := range s.triggers {
		until := s.now
		if i+1 < len(s.triggers) {
			until = s.triggers[i+1].at
		}
		bursts = append(bursts, Burst{
			Trigger:   t.description,
			Accepts:   s.firstSecond(t.at, until, accepts),
			Snapshots: s.firstSecond(t.at, until, snapshots),
		})
	}
	return bursts
}

// firstSecond counts the times of each control member that lie within a second of the first time of any control
// member in [from, until).
func (s *simulation) firstSecond(from, until monotime.Micros, times func(*member) []monotime.Micros) (d Distribution) {
	first := s.firstTime(from, until, times)
	for _, m := range s.controlMembers {
		if m.ranAt(first) {
			d.Running++
		}
		list := times(m)
		begin, _ := slices.BinarySearch(list, first)
		end, _ := slices.BinarySearch(list, min(first+monotime.Second, until))
		d.Total += end - begin
		d.Max = max(d.Max, end-begin)
	}
	d.Mean = float64(d.Total) / float64(max(1, d.Running))
	return d
}

// firstTime returns the first time of any control member in [from, until), or until if there is none.
func (s *simulation) firstTime(from, until monotime.Micros, times func(*member) []monotime.Micros) monotime.Micros {
	first := until
	for _, m := range s.controlMembers {
		list := times(m)
		if index, _ := slices.BinarySearch(list, from); index < len(list) {
			first = min(first, list[index])
		}
	}
	return first
}
