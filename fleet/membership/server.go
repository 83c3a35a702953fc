package membership

import (
	"cmp"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

const (
	// absentHomeTimeout is how long the rows of a home that is gone count as Suspect before they are Dead: its front ends may hold a
	// lease elsewhere by then.
	absentHomeTimeout monotime.Micros = 10_000_000
	// selfSuspicionTimeout is how much longer a home that doubts itself calls its silent front ends Suspect.
	selfSuspicionTimeout monotime.Micros = 10_000_000
	// retentionTime is how long a front end that is Dead or has Left, and the table of a past home, are kept.
	retentionTime monotime.Micros = 600_000_000
	// allVersionsInterval is how often the versions of all tables are told.
	allVersionsInterval monotime.Micros = 1_000_000
	// maxTablesPerHome bounds the tables that are kept of one home's processes.
	maxTablesPerHome = 3
)

// memberState is a control member of the settings.
type memberState struct {
	ControlMember
	presentSince     monotime.Micros // when its process was first seen, or seen again
	lastAlive        monotime.Micros // when its process was last Alive
	tables           []*table        // of its processes, the newest last
	supersededEpochs incarnationSet
	clock            *clockOffset                // of its process
	pullAnswersDue   map[string]*monotime.Micros // states of the bounded rates of answers to it, by home
}

// table is the table of a process of this control member; nil without one.
func (c *memberState) table(epoch uint64) *table {
	for _, t := range c.tables {
		if t.epoch == epoch {
			return t
		}
	}
	return nil
}

// Server is a control member's part: the home of the front ends attached to it, a replica of all other homes' tables, and the
// source of the view for those that subscribe.
type Server struct {
	// Counters may be read at any time.
	Counters Counters

	cfg     Config
	now     monotime.Micros
	started bool
	leaving bool

	maxAttached       int             // entries of attached front ends that the view may have
	attachedCount     int             // that it has
	lastBatchAt       monotime.Micros // when the last batch was made
	allVersionsSentAt monotime.Micros // when the versions of all tables were told

	members       []*memberState // by name, this one too
	membersByName map[string]*memberState
	self          *memberState

	ownTable           *table
	leases             []*lease // by name
	leasesByName       map[string]*lease
	dirtyLeases        []*lease        // whose row may have to change
	removedNames       []string        // whose row is to go
	selfSuspicionUntil monotime.Micros // until when the last doubt lasts

	tablesComplete bool // no table is awaited that may show alive who is dead by the others

	names        map[string]*mergedName
	dirtyNames   []*mergedName  // to be merged with the next batch
	watchedNames []*mergedName  // to be merged again with each batch
	superseded   incarnationSet // processes that are no more for certain

	view       *View
	sequence   uint64 // of the view's batches
	log        changeLog
	compressor compressor
	snapshot   []byte // of the whole view at the sequence; nil where it is not made

	actions      []Message
	linksToClose []Link
}

// NewServer begins with no attached front ends.
func NewServer(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg, membersByName: map[string]*memberState{}, leasesByName: map[string]*lease{}, names: map[string]*mergedName{}}
	s.view = newView()
	s.view.authoritative = true
	for _, c := range cfg.ControlMembers {
		if s.membersByName[c.Name] == nil && c.Name != cfg.Name {
			s.addMember(ControlMember{Name: c.Name, Zone: c.Zone, State: Dead})
		}
	}
	// What may attach leaves room for the control members.
	s.maxAttached = cfg.MaxEntries - len(s.members) - 1
	s.self = s.addMember(ControlMember{Name: cfg.Name, Zone: cfg.Zone, Incarnation: cfg.Incarnation, State: Alive})
	s.ownTable = newTable(cfg.Name, cfg.Incarnation)
	s.ownTable.homePresent = true
	s.self.tables = []*table{s.ownTable}
	slices.SortFunc(s.members, func(a, b *memberState) int { return strings.Compare(a.Name, b.Name) })
	s.markNameDirty(s.mergedName(cfg.Name))
	return s
}

func (s *Server) addMember(c ControlMember) *memberState {
	kept := &memberState{ControlMember: c, clock: &clockOffset{}}
	s.members = append(s.members, kept)
	s.membersByName[c.Name] = kept
	return kept
}

// advanceClock lets time pass. A gap above Pause says that this process was stopped: the leases are extended by it.
func (s *Server) advanceClock(now monotime.Micros) {
	if gap := now - s.now; s.started && gap > s.cfg.PauseThreshold {
		s.Counters.Pauses++
		for _, l := range s.leases {
			l.lastSeen += gap
			if l.suspectUntil != 0 {
				l.suspectUntil += gap
			}
		}
		for _, c := range s.members {
			for _, t := range c.tables {
				t.homeAbsentSince += gap
				t.homeLastAlive += gap
			}
		}
	}
	if !s.started {
		s.self.presentSince = now
		s.self.ChallengedAt = cmp.Or(now, -1) // it began before any other challenges it
	}
	s.started = true
	s.now = max(s.now, now)
}

// Tick lets time pass; controls are the other control members as package member sees them now. It is to be called at least every
// Pause, and for changes to be told in time every Batch.
func (s *Server) Tick(now monotime.Micros, controls []ControlMember) {
	s.advanceClock(now)
	for i := range controls {
		s.updateMember(&controls[i])
	}
	s.expireTables()
	s.expireLeases()
	if s.now-s.lastBatchAt < s.cfg.BatchDelay {
		return
	}
	s.lastBatchAt = s.now
	s.publishTable()
	s.publishView()
}

// updateMember takes how package member sees another control member now.
func (s *Server) updateMember(seen *ControlMember) {
	c := s.membersByName[seen.Name]
	if c == nil || c == s.self || seen.Incarnation == 0 {
		return
	}
	c.ChallengedAt = seen.ChallengedAt
	if c.Incarnation == seen.Incarnation && c.State == seen.State {
		c.IndirectlyAlive = seen.IndirectlyAlive
		c.recordAlive(s.now)
		return
	}
	if c.Incarnation != seen.Incarnation {
		c.supersededEpochs.add(c.Incarnation)
		c.supersededEpochs.remove(seen.Incarnation)
		c.clock = &clockOffset{}
	}
	if c.Incarnation != seen.Incarnation || c.State != Alive && c.State != Suspect {
		c.presentSince = s.now
	}
	c.Incarnation, c.State, c.IndirectlyAlive = seen.Incarnation, seen.State, seen.IndirectlyAlive
	s.markNameDirty(s.mergedName(c.Name))
	for _, t := range c.tables {
		s.setHomePresent(t, t.epoch == c.Incarnation && (c.State == Alive || c.State == Suspect))
	}
	c.recordAlive(s.now)
}

// recordAlive notes that a control member is Alive now, if it is.
func (c *memberState) recordAlive(now monotime.Micros) {
	if c.State == Alive {
		c.lastAlive = now
	}
}

// setHomePresent notes whether a table's home is there, on which the evidence of its rows rests.
func (s *Server) setHomePresent(t *table, present bool) {
	if t.homePresent == present {
		return
	}
	t.homePresent, t.homeUnresponsive, t.evidenceExpired = present, false, false
	t.homeLastAlive, t.homeAbsentSince = s.membersByName[t.home].lastAlive, s.now
	s.markTableDirty(t)
}

// expireTables lets the evidence of homes that are gone lapse, and drops tables that are of no more use.
func (s *Server) expireTables() {
	for _, c := range s.members {
		for len(c.tables) > 0 {
			oldest := c.tables[0]
			if oldest.homePresent || s.now-oldest.homeAbsentSince < retentionTime && len(c.tables) <= maxTablesPerHome {
				break
			}
			s.applyEntries(oldest, oldest.changesTo(nil))
			c.tables = c.tables[1:]
		}
		for _, t := range c.tables {
			s.expireTable(t)
		}
	}
}

// expireTable lets the evidence of a home that is gone count less with time.
func (s *Server) expireTable(t *table) {
	silent := !t.homePresent && s.now-t.homeLastAlive >= s.cfg.DeadAfter
	lapsed := !t.homePresent && s.now-t.homeAbsentSince >= absentHomeTimeout
	if silent != t.homeUnresponsive || lapsed != t.evidenceExpired {
		t.homeUnresponsive, t.evidenceExpired = silent, lapsed
		s.markTableDirty(t)
	}
}

// Leave says that this control member ends as planned: its attached front ends are told so and go elsewhere.
func (s *Server) Leave() {
	if s.leaving {
		return
	}
	s.leaving = true
	message := viewMessage{epoch: s.cfg.Incarnation, sequence: s.sequence, digest: s.view.Digest(), leaving: true, sentAt: s.now}
	body := message.encode()
	for _, l := range s.leases {
		if len(l.links) > 0 {
			s.send(Message{To: l.name, Incarnation: l.incarnation, Kind: ViewUpdate, Body: body})
		}
	}
}

// maxQueuedMessages bounds what waits to be fetched by Actions. Beyond it messages are dropped, which the versions make good.
const maxQueuedMessages = 1 << 16

func (s *Server) send(m Message) {
	if len(s.actions) < maxQueuedMessages {
		s.actions = append(s.actions, m)
	}
}

// Actions gives what is to be sent, and forgets it.
func (s *Server) Actions() []Message {
	list := s.actions
	s.actions = nil
	return list
}

// LinksToClose gives the links that are to be closed, and forgets them: of a replaced process, or after bad input.
func (s *Server) LinksToClose() []Link {
	list := s.linksToClose
	s.linksToClose = nil
	s.Counters.ClosedLinks += len(list)
	return list
}

// View is the merged view. It changes with the calls above.
func (s *Server) View() *View { return s.view }

// HomeOf is the control member that has a link to that process of an attached front end now, as far as is known here.
func (s *Server) HomeOf(incarnation uint64) (control string, ok bool) {
	e := s.view.byIncarnation[incarnation]
	if e == nil || e.Role != Attached {
		return "", false
	}
	if l := s.leasesByName[e.Name]; l != nil && l.incarnation == incarnation && len(l.links) > 0 {
		return s.cfg.Name, true
	}
	n := s.names[e.Name]
	if n == nil {
		return "", false
	}
	for _, r := range n.entries {
		home := s.membersByName[r.table.home]
		holds := r.incarnation == incarnation && r.currentState() == Alive && home != s.self && home.State == Alive
		if holds && (!ok || home.Name == e.Home) {
			control, ok = home.Name, true
		}
	}
	return control, ok
}
