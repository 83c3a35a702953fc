package membership

import (
	"slices"

	"chutechute/internal/monotime"
)

// Burst is what control members had to take in the second after something happened: counted from the first accept, or the first
// snapshot, that followed.
type Burst struct {
	Of        string
	Accepts   Load
	Snapshots Load
}

// Load is a count over the control members that run.
type Load struct {
	Total   int
	Running int // control members that ran
	Mean    float64
	Most    int // at any one
}

// Ratio is how much more than the mean the busiest one had; 0 where there was nothing.
func (l Load) Ratio() float64 {
	if l.Total == 0 {
		return 0
	}
	return float64(l.Most) / l.Mean
}

// trigger says that something happened whose burst is to be counted.
type trigger struct {
	of string
	at monotime.Micros
}

func (s *simulation) markTrigger(of string) {
	list := &s.traffic.marks
	if last := len(*list) - 1; last >= 0 && (*list)[last].at == s.now { // it is one burst
		(*list)[last].of += " and " + of
		return
	}
	*list = append(*list, trigger{of, s.now})
}

// countBursts counts what followed each mark, up to the next.
func (s *simulation) countBursts() (list []Burst) {
	for i, m := range s.traffic.marks {
		until := s.now
		if i+1 < len(s.traffic.marks) {
			until = s.traffic.marks[i+1].at
		}
		list = append(list, Burst{
			Of:        m.of,
			Accepts:   s.countFirstSecond(m.at, until, func(p *member) []monotime.Micros { return p.burstTimes.accepts }),
			Snapshots: s.countFirstSecond(m.at, until, func(p *member) []monotime.Micros { return p.burstTimes.snapshots }),
		})
	}
	return list
}

// countFirstSecond counts, at each control member, the times within a second of the first of all.
func (s *simulation) countFirstSecond(from, until monotime.Micros, times func(*member) []monotime.Micros) (l Load) {
	first := until
	for _, p := range s.controlMembers {
		list := times(p)
		if place, _ := slices.BinarySearch(list, from); place < len(list) {
			first = min(first, list[place])
		}
	}
	for _, p := range s.controlMembers {
		if p.ranAt(first) {
			l.Running++
		}
		list := times(p)
		begin, _ := slices.BinarySearch(list, first)
		end, _ := slices.BinarySearch(list, min(first+monotime.Second, until))
		l.Total += end - begin
		l.Most = max(l.Most, end-begin)
	}
	l.Mean = float64(l.Total) / float64(max(1, l.Running))
	return l
}

// ranAt says whether a process ran at a time.
func (p *member) ranAt(when monotime.Micros) bool {
	place, exact := slices.BinarySearch(p.startsAndEnds, when)
	if exact {
		place++
	}
	return place%2 == 1
}
