package membership

import (
	"cmp"
	"slices"

	"chutechute/internal/monotime"
)

// reinstateDelay is how long a process must be Alive while a later one of its name is Dead or Left before it is shown
// in place of the later one.
const reinstateDelay = 10 * monotime.Second

// process is what the table entries report about one process of a name.
type process struct {
	incarnation  uint64
	challengedAt monotime.Micros // the latest time in its entries
	bestEntry    *tableEntry     // the entry that takes precedence
	superseded   bool            // a home has seen a later process of the name
}

// isLaterThan orders two processes of one name: by whether one of them is superseded, then by the times of their
// challenges, then by incarnation.
func (p *process) isLaterThan(other *process) bool {
	if p.superseded != other.superseded {
		return other.superseded
	}
	byTime := cmp.Compare(p.challengedAt, other.challengedAt)
	return cmp.Or(byTime, cmp.Compare(p.incarnation, other.incarnation)) > 0
}

// processes returns the processes that the entries of a name report. Of entries with the same precedence the first one,
// by home, is used.
func (s *Server) processes(n *mergedName) (list []process) {
	for _, e := range n.entries {
		index := slices.IndexFunc(list, func(p process) bool { return p.incarnation == e.incarnation })
		if index < 0 {
			superseded := s.superseded.contains(e.incarnation)
			list = append(list, process{e.incarnation, e.localChallengedAt(), e, superseded})
			continue
		}
		p := &list[index]
		p.challengedAt = max(p.challengedAt, e.localChallengedAt())
		if p.bestEntry.isOverruled(n.entries) || e.outranks(p.bestEntry) && !e.isOverruled(n.entries) {
			p.bestEntry = e
		}
	}
	return list
}

// chooseProcess returns the process to show. The order of two processes is only an estimate if no home has seen both. A
// process that stays Alive while a supposedly later one is Dead or Left is therefore shown after reinstateDelay.
func (s *Server) chooseProcess(n *mergedName) process {
	list := s.processes(n)
	latest := latestProcess(list, func(*process) bool { return true })
	alive := latestProcess(list, func(p *process) bool { return !p.superseded && p.bestEntry.currentState() == Alive })
	n.contested = slices.ContainsFunc(list, func(p process) bool { return p != list[latest] && !p.superseded })
	state := list[latest].bestEntry.currentState()
	if alive < 0 || alive == latest || state != Dead && state != Left {
		n.laterDeadSince = 0
		return list[latest]
	}
	if n.laterDeadSince == 0 {
		n.laterDeadSince = s.now
	}
	if s.now-n.laterDeadSince >= reinstateDelay {
		return list[alive]
	}
	return list[latest]
}

// latestProcess returns the index of the latest process that satisfies a condition, or -1 if none does.
func latestProcess(list []process, condition func(*process) bool) int {
	latest := -1
	for i := range list {
		if condition(&list[i]) && (latest < 0 || list[i].isLaterThan(&list[latest])) {
			latest = i
		}
	}
	return latest
}
