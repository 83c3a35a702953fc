package heartbeat

import (
	"slices"

	"chutechute/internal/monotime"
)

// State is the state of a peer, as this front end sees it.
type State int

// The states of a peer.
const (
	NeverSeen       State = iota // no heartbeat was received since this process started
	Alive                        // a heartbeat was received within SuspectAfter
	IndirectlyAlive              // no heartbeat was received within SuspectAfter, but another peer reports one
	Suspect                      // no front end has received a heartbeat for SuspectAfter
	Dead                         // no front end has received a heartbeat for DeadAfter
	Left                         // it announced that it leaves; no front end has received a heartbeat for SuspectAfter
)

// String returns the state's name as operators see it.
func (s State) String() string {
	return [...]string{"unseen", "alive", "cut", "suspect", "dead", "left"}[s]
}

// Peer is another control member, as this front end sees it.
type Peer struct {
	Name         string
	Zone         string
	Incarnation  uint64 // of its latest process; 0 before its first heartbeat
	State        State
	ChallengedAt monotime.Micros // when the challenge of this incarnation's first link was sent from here

	lastSeen         monotime.Micros // when its last heartbeat was received here
	lastReported     monotime.Micros // when its last heartbeat was received by another peer, as far as reported
	lastChallengedAt monotime.Micros // when the challenge of this incarnation's newest link was sent from here
	leaving          bool            // its last heartbeat announced that it leaves
	superseded       []uint64        // earlier incarnations, oldest first; none of them is still alive
}

// maxSuperseded bounds the earlier incarnations that are remembered for one name.
const maxSuperseded = 64

// isStale reports whether a heartbeat comes from an earlier process of the peer: one that is known to be superseded, or
// an unknown one whose link was not challenged later than the newest link of the current process.
func (p *Peer) isStale(incarnation uint64, challengedAt monotime.Micros) bool {
	if p.wasSuperseded(incarnation) {
		return true
	}
	restarted := p.Incarnation != incarnation && p.Incarnation != 0
	return restarted && challengedAt <= p.lastChallengedAt
}

// setIncarnation records a new latest process of the peer, which supersedes the previous one, if any.
func (p *Peer) setIncarnation(incarnation uint64, challengedAt monotime.Micros) {
	if p.Incarnation != 0 {
		p.superseded = append(p.superseded, p.Incarnation)
		if len(p.superseded) > maxSuperseded {
			p.superseded = p.superseded[1:]
		}
	}
	p.Incarnation = incarnation
	p.lastReported = 0
	p.ChallengedAt = challengedAt
}

// wasSuperseded reports whether the incarnation is that of an earlier process of the peer.
func (p *Peer) wasSuperseded(incarnation uint64) bool {
	return slices.Contains(p.superseded, incarnation)
}

// stateAt returns the peer's state at a time.
func (p *Peer) stateAt(now monotime.Micros, cfg *Config) State {
	silence := now - p.lastSeen
	silenceEverywhere := now - max(p.lastSeen, p.lastReported)
	switch {
	case p.Incarnation == 0:
		return NeverSeen
	case silence < cfg.SuspectAfter:
		return Alive
	case p.leaving && silenceEverywhere >= cfg.SuspectAfter:
		return Left
	case silenceEverywhere < cfg.SuspectAfter:
		return IndirectlyAlive
	case silenceEverywhere < cfg.DeadAfter:
		return Suspect
	}
	return Dead
}
