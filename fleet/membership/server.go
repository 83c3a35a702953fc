package membership

import (
	"cmp"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

const (
	// lapseSpan is how long the rows of a home that is gone count as Suspect before they are Dead: its front ends may hold a
	// lease elsewhere by then.
	lapseSpan monotime.Micros = 10_000_000
	// doubtSpan is how much longer a home that doubts itself calls its silent front ends Suspect.
	doubtSpan monotime.Micros = 10_000_000
	// keepSpan is how long a front end that is Dead or has Left, and the table of a past home, are kept.
	keepSpan monotime.Micros = 600_000_000
	// allVersions is how often the versions of all tables are told.
	allVersions monotime.Micros = 1_000_000
	// mostTables bounds the tables that are kept of one home's processes.
	mostTables = 3
)

// controlState is a control member of the settings.
type controlState struct {
	ControlMember
	since      monotime.Micros // when its process was first seen, or seen again
	heard      monotime.Micros // when its process was last Alive
	tables     []*table        // of its processes, the newest last
	pastEpochs pastSet
	clock      *offset                     // of its process
	answers    map[string]*monotime.Micros // states of the bounded rates of answers to it, by home
}

// table is the table of a process of this control member; nil without one.
func (c *controlState) table(epoch uint64) *table {
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

	mostAttached int             // entries of attached front ends that the view may have
	attached     int             // that it has
	batched      monotime.Micros // when the last batch was made
	versionsTold monotime.Micros // when the versions of all tables were told

	controls []*controlState // by name, this one too
	byName   map[string]*controlState
	self     *controlState

	own       *table
	leases    []*lease // by name
	lessees   map[string]*lease
	dirty     []*lease        // whose row may have to change
	forgotten []string        // whose row is to go
	doubted   monotime.Micros // until when the last doubt lasts

	complete bool // no table is awaited that may show alive who is dead by the others

	names map[string]*nameState
	merge []*nameState // to be merged with the next batch
	watch []*nameState // to be merged again with each batch
	past  pastSet      // processes that are no more for certain

	view     *View
	sequence uint64 // of the view's batches
	log      changeLog
	packer   packer
	snapshot []byte // of the whole view at the sequence; nil where it is not made

	actions []Message
	closing []Link
}

// NewServer begins with no attached front ends.
func NewServer(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg, byName: map[string]*controlState{}, lessees: map[string]*lease{}, names: map[string]*nameState{}}
	s.view = newView()
	s.view.authority = true
	for _, c := range cfg.ControlMembers {
		if s.byName[c.Name] == nil && c.Name != cfg.Name {
			s.add(ControlMember{Name: c.Name, Zone: c.Zone, State: Dead})
		}
	}
	// What may attach leaves room for the control members.
	s.mostAttached = cfg.MaxEntries - len(s.controls) - 1
	s.self = s.add(ControlMember{Name: cfg.Name, Zone: cfg.Zone, Incarnation: cfg.Incarnation, State: Alive})
	s.own = newTable(cfg.Name, cfg.Incarnation)
	s.own.present = true
	s.self.tables = []*table{s.own}
	slices.SortFunc(s.controls, func(a, b *controlState) int { return strings.Compare(a.Name, b.Name) })
	s.touched(s.nameState(cfg.Name))
	return s
}

func (s *Server) add(c ControlMember) *controlState {
	kept := &controlState{ControlMember: c, clock: &offset{}}
	s.controls = append(s.controls, kept)
	s.byName[c.Name] = kept
	return kept
}

// pass lets time pass. A gap above Pause says that this process was stopped: the leases are extended by it.
func (s *Server) pass(now monotime.Micros) {
	if gap := now - s.now; s.started && gap > s.cfg.PauseThreshold {
		s.Counters.Pauses++
		for _, l := range s.leases {
			l.heard += gap
			if l.doubt != 0 {
				l.doubt += gap
			}
		}
		for _, c := range s.controls {
			for _, t := range c.tables {
				t.absent += gap
				t.heard += gap
			}
		}
	}
	if !s.started {
		s.self.since = now
		s.self.ChallengedAt = cmp.Or(now, -1) // it began before any other challenges it
	}
	s.started = true
	s.now = max(s.now, now)
}

// Tick lets time pass; controls are the other control members as package member sees them now. It is to be called at least every
// Pause, and for changes to be told in time every Batch.
func (s *Server) Tick(now monotime.Micros, controls []ControlMember) {
	s.pass(now)
	for i := range controls {
		s.controlSeen(&controls[i])
	}
	s.expireTables()
	s.expireLeases()
	if s.now-s.batched < s.cfg.BatchDelay {
		return
	}
	s.batched = s.now
	s.publishTable()
	s.publishView()
}

// controlSeen takes how package member sees another control member now.
func (s *Server) controlSeen(seen *ControlMember) {
	c := s.byName[seen.Name]
	if c == nil || c == s.self || seen.Incarnation == 0 {
		return
	}
	c.ChallengedAt = seen.ChallengedAt
	if c.Incarnation == seen.Incarnation && c.State == seen.State {
		c.IndirectlyAlive = seen.IndirectlyAlive
		c.noteHeard(s.now)
		return
	}
	if c.Incarnation != seen.Incarnation {
		c.pastEpochs.add(c.Incarnation)
		c.pastEpochs.remove(seen.Incarnation)
		c.clock = &offset{}
	}
	if c.Incarnation != seen.Incarnation || c.State != Alive && c.State != Suspect {
		c.since = s.now
	}
	c.Incarnation, c.State, c.IndirectlyAlive = seen.Incarnation, seen.State, seen.IndirectlyAlive
	s.touched(s.nameState(c.Name))
	for _, t := range c.tables {
		s.setPresent(t, t.epoch == c.Incarnation && (c.State == Alive || c.State == Suspect))
	}
	c.noteHeard(s.now)
}

// noteHeard notes that a control member is Alive now, if it is.
func (c *controlState) noteHeard(now monotime.Micros) {
	if c.State == Alive {
		c.heard = now
	}
}

// setPresent notes whether a table's home is there, on which the evidence of its rows rests.
func (s *Server) setPresent(t *table, present bool) {
	if t.present == present {
		return
	}
	t.present, t.silent, t.lapsed = present, false, false
	t.heard, t.absent = s.byName[t.home].heard, s.now
	s.touchedAll(t)
}

// expireTables lets the evidence of homes that are gone lapse, and drops tables that are of no more use.
func (s *Server) expireTables() {
	for _, c := range s.controls {
		for len(c.tables) > 0 {
			oldest := c.tables[0]
			if oldest.present || s.now-oldest.absent < keepSpan && len(c.tables) <= mostTables {
				break
			}
			s.apply(oldest, oldest.replacing(nil))
			c.tables = c.tables[1:]
		}
		for _, t := range c.tables {
			s.expireTable(t)
		}
	}
}

// expireTable lets the evidence of a home that is gone count less with time.
func (s *Server) expireTable(t *table) {
	silent := !t.present && s.now-t.heard >= s.cfg.DeadAfter
	lapsed := !t.present && s.now-t.absent >= lapseSpan
	if silent != t.silent || lapsed != t.lapsed {
		t.silent, t.lapsed = silent, lapsed
		s.touchedAll(t)
	}
}

// Leave says that this control member ends as planned: its attached front ends are told so and go elsewhere.
func (s *Server) Leave() {
	if s.leaving {
		return
	}
	s.leaving = true
	message := viewMessage{epoch: s.cfg.Incarnation, sequence: s.sequence, digest: s.view.Digest(), leaving: true, sent: s.now}
	body := message.encode()
	for _, l := range s.leases {
		if len(l.links) > 0 {
			s.send(Message{To: l.name, Incarnation: l.incarnation, Kind: ViewUpdate, Body: body})
		}
	}
}

// mostActions bounds what waits to be fetched by Actions. Beyond it messages are dropped, which the versions make good.
const mostActions = 1 << 16

func (s *Server) send(m Message) {
	if len(s.actions) < mostActions {
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
	list := s.closing
	s.closing = nil
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
	if l := s.lessees[e.Name]; l != nil && l.incarnation == incarnation && len(l.links) > 0 {
		return s.cfg.Name, true
	}
	n := s.names[e.Name]
	if n == nil {
		return "", false
	}
	for _, r := range n.rows {
		home := s.byName[r.table.home]
		holds := r.incarnation == incarnation && r.evidence() == Alive && home != s.self && home.State == Alive
		if holds && (!ok || home.Name == e.Home) {
			control, ok = home.Name, true
		}
	}
	return control, ok
}
