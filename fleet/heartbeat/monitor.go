// Package heartbeat implements the failure detector of a fleet's control members: it estimates which of them are alive,
// as seen from this front end. The estimate guides decisions: which peer to send a message to, which replica to
// replace, when to take over a request. Safety never depends on it alone, since silence does not prove death: a front
// end that is presumed dead may be paused, partitioned in one direction, or only slow.
//
// Each front end reports to all others, in each heartbeat, how long ago it received a heartbeat from each of the rest.
// A peer whose heartbeats do not arrive here but arrive elsewhere is therefore known to be partitioned and not dead,
// without an extra message; and one heartbeat that arrives anywhere refutes a suspicion everywhere.
//
// Only one conclusion is certain: an incarnation is dead once a later incarnation runs under its name. The order of
// messages does not tell which of two incarnations is the later one, because messages of a dead process may still be in
// flight. The handshakes do: a process that answered a challenge was alive after the challenge was sent from here,
// and no two processes of one name are alive at once, so the process whose challenge was sent later is the later one.
//
// The package is a stepped module: it does no I/O, reads no clock, starts no goroutine and depends on no map order.
// Times are microseconds of the caller's monotonic clock.
package heartbeat

import (
	"cmp"
	"slices"

	"chutechute/internal/monotime"
)

// Config sets the time limits of the failure detector.
type Config struct {
	SuspectAfter monotime.Micros // a peer is suspect after this time without a heartbeat at any front end
	DeadAfter    monotime.Micros // a peer is presumed dead after this time without a heartbeat at any front end
	// PauseThreshold is the longest gap between two calls in normal operation. A longer gap shows that this process
	// itself was paused, so that it received no heartbeats in that time, whatever the state of its peers.
	PauseThreshold monotime.Micros
}

// Monitor is the failure detector for the other control members of a fleet.
type Monitor struct {
	cfg    Config
	peers  []*Peer // by name
	byName map[string]*Peer
	now    monotime.Micros
}

// NewMonitor returns a Monitor of the given peers; zones maps their names to their zones.
func NewMonitor(cfg Config, zones map[string]string) *Monitor {
	m := &Monitor{cfg: cfg, byName: map[string]*Peer{}}
	for name, zone := range zones {
		p := &Peer{Name: name, Zone: zone}
		m.peers = append(m.peers, p)
		m.byName[name] = p
	}
	slices.SortFunc(m.peers, func(a, b *Peer) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

// Observe records a heartbeat that was received over a link whose challenge was sent from here at challengedAt. It
// returns false, and records nothing, if the name is not a peer's or the incarnation is not the peer's latest.
func (m *Monitor) Observe(
	now monotime.Micros, name string, incarnation uint64, challengedAt monotime.Micros, leaving bool, reports []Report,
) bool {
	m.advance(now)
	p := m.byName[name]
	if p == nil || p.isStale(incarnation, challengedAt) {
		return false
	}
	p.lastChallengedAt = max(p.lastChallengedAt, challengedAt)
	if p.Incarnation != incarnation {
		p.setIncarnation(incarnation, challengedAt)
	}
	p.ChallengedAt = min(p.ChallengedAt, challengedAt)
	p.lastSeen = now
	p.leaving = leaving
	m.observeReports(p, reports)
	return true
}

// observeReports records what a peer reports about the others.
func (m *Monitor) observeReports(from *Peer, reports []Report) {
	for _, r := range reports {
		p := m.byName[r.Name]
		if p == nil || p == from || p.Incarnation != r.Incarnation || r.Age < 0 {
			continue
		}
		p.lastReported = max(p.lastReported, m.now-r.Age)
	}
}

// advance moves the clock. After a pause of this process it shifts the times of the last heartbeats by the length of
// the pause. It must be called before a heartbeat is recorded, whose time would otherwise be shifted into the future.
func (m *Monitor) advance(now monotime.Micros) {
	if gap := now - m.now; m.now != 0 && gap > m.cfg.PauseThreshold {
		for _, p := range m.peers {
			if p.Incarnation != 0 {
				p.lastSeen += gap
				p.lastReported += gap
			}
		}
	}
	m.now = now
}

// Tick moves the clock and returns the peers whose state has changed.
func (m *Monitor) Tick(now monotime.Micros) (changed []*Peer) {
	m.advance(now)
	for _, p := range m.peers {
		if state := p.stateAt(m.now, &m.cfg); state != p.State {
			p.State = state
			changed = append(changed, p)
		}
	}
	return changed
}

// Reports returns what this front end reports about its peers in its heartbeats.
func (m *Monitor) Reports() (reports []Report) {
	for _, p := range m.peers {
		if p.Incarnation != 0 {
			reports = append(reports, Report{p.Name, p.Incarnation, m.now - p.lastSeen})
		}
	}
	return reports
}

// Peers returns all peers, by name.
func (m *Monitor) Peers() []*Peer { return m.peers }

// Lookup returns the peer with the name, nil if there is none.
func (m *Monitor) Lookup(name string) *Peer { return m.byName[name] }

// PresumedDead reports whether a process is presumed dead: a later process has its name, it has left, or no front end
// has received a heartbeat from it for DeadAfter.
func (m *Monitor) PresumedDead(incarnation uint64) bool {
	for _, p := range m.peers {
		if p.Incarnation == incarnation {
			return p.State == Dead || p.State == Left
		}
		if p.wasSuperseded(incarnation) {
			return true
		}
	}
	return false
}

// Superseded reports whether a process is certainly dead because a later process has its name.
func (m *Monitor) Superseded(incarnation uint64) bool {
	return slices.ContainsFunc(m.peers, func(p *Peer) bool { return p.wasSuperseded(incarnation) })
}

// Unreachable reports whether no front end has received a heartbeat from a process for SuspectAfter. An unknown
// process is unreachable once a heartbeat of each peer was received.
func (m *Monitor) Unreachable(incarnation uint64) bool {
	allSeen := true
	for _, p := range m.peers {
		if p.Incarnation == incarnation {
			return p.State == Suspect || p.State == Dead || p.State == Left
		}
		if p.wasSuperseded(incarnation) {
			return true
		}
		allSeen = allSeen && p.Incarnation != 0
	}
	return allSeen
}
