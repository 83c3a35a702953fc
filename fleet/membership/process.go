package membership

import (
	"cmp"
	"slices"

	"chutechute/internal/monotime"
)

// reinstateDelay is for how long a process must be alive beside a later one of its name that is dead before it is shown
// instead.
const reinstateDelay = 10 * monotime.Second

// process is one process of a name, merged over its table entries.
type process struct {
	incarnation  uint64
	challengedAt monotime.Micros // the latest of its entries'
	strongest    *tableEntry     // the entry that counts most
	superseded   bool
}

// isLaterThan orders two processes of one name: by what a home has seen of both, else by when they were challenged,
// then by number.
func (p *process) isLaterThan(other *process) bool {
	if p.superseded != other.superseded {
		return other.superseded
	}
	byTime := cmp.Compare(p.challengedAt, other.challengedAt)
	return cmp.Or(byTime, cmp.Compare(p.incarnation, other.incarnation)) > 0
}

// processes returns the processes of a name that its entries report. Entries are sorted by home, so that the first of
// equals stays.
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
		if p.strongest.isOverruled(n.entries) || e.outranks(p.strongest) && !e.isOverruled(n.entries) {
			p.strongest = e
		}
	}
	return list
}

// chooseProcess returns the process to be shown. The order of processes is an estimate if no home has seen both, so a
// process that stays alive beside a dead later one is shown in the end.
func (s *Server) chooseProcess(n *mergedName) process {
	list := s.processes(n)
	newest := newestProcess(list, func(*process) bool { return true })
	alive := newestProcess(list, func(p *process) bool { return !p.superseded && p.strongest.currentState() == Alive })
	n.contested = slices.ContainsFunc(list, func(p process) bool { return p != list[newest] && !p.superseded })
	state := list[newest].strongest.currentState()
	if alive < 0 || alive == newest || state != Dead && state != Left {
		n.laterDeadSince = 0
		return list[newest]
	}
	if n.laterDeadSince == 0 {
		n.laterDeadSince = s.now
	}
	if s.now-n.laterDeadSince >= reinstateDelay {
		return list[alive]
	}
	return list[newest]
}

// newestProcess returns the index of the latest of the processes that satisfy a condition; -1 if none does.
func newestProcess(list []process, condition func(*process) bool) int {
	newest := -1
	for i := range list {
		if condition(&list[i]) && (newest < 0 || list[i].isLaterThan(&list[newest])) {
			newest = i
		}
	}
	return newest
}
