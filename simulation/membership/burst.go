package membership

import (
	"slices"

	"chutechute/internal/monotime"
)

// Burst is the load of control members in the second after a fault. The second begins with the first accepted
// connection, or with the first snapshot, that followed the fault.
type Burst struct {
	Trigger   string // the fault
	Accepts   Load   // connections of attached front ends that were accepted
	Snapshots Load   // snapshots that were sent
}

// Load is a count over the running control members.
type Load struct {
	Total   int
	Running int // control members that ran
	Mean    float64
	Max     int // at any one control member
}

// Ratio returns Most divided by Mean; 0 if Total is 0.
func (l Load) Ratio() float64 {
	if l.Total == 0 {
		return 0
	}
	return float64(l.Max) / l.Mean
}

// burstTimes is when a control member accepted connections of attached front ends, and sent snapshots.
type burstTimes struct {
	accepts, snapshots []monotime.Micros
}

// trigger is a fault whose burst is counted.
type trigger struct {
	description string
	at          monotime.Micros
}

// addTrigger adds a fault that happens now. Faults at one time have one burst.
func (s *simulation) addTrigger(description string) {
	last := len(s.triggers) - 1
	if last >= 0 && s.triggers[last].at == s.now {
		s.triggers[last].description += " and " + description
		return
	}
	s.triggers = append(s.triggers, trigger{description, s.now})
}

// bursts returns the burst of each trigger, which ends with the next one at the latest.
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

// firstSecond counts the times of each control member that are within a second of the first of all.
func (s *simulation) firstSecond(from, until monotime.Micros, times func(*member) []monotime.Micros) (load Load) {
	first := s.firstTime(from, until, times)
	for _, m := range s.controlMembers {
		if m.ranAt(first) {
			load.Running++
		}
		list := times(m)
		begin, _ := slices.BinarySearch(list, first)
		end, _ := slices.BinarySearch(list, min(first+monotime.Second, until))
		load.Total += end - begin
		load.Max = max(load.Max, end-begin)
	}
	load.Mean = float64(load.Total) / float64(max(1, load.Running))
	return load
}

// firstTime returns the first time of any control member from one time on; until if there is none before.
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
