package membership

import (
	"cmp"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// selfSuspicionTimeout is how much longer a home that suspects itself keeps unresponsive front ends Suspect.
	selfSuspicionTimeout = 10 * monotime.Second
	// retentionTime is how long a front end that is Dead or Left, and the table of a home's past process, are retained.
	retentionTime = 600 * monotime.Second
)

// Server is the part of a control member: the home of the front ends attached to it, a replica of all other homes'
// tables, and the source of the view for its subscribers. It is not safe for concurrent use.
type Server struct {
	// Counters may be read at any time.
	Counters Counters

	cfg     Config
	now     monotime.Micros
	started bool
	leaving bool

	maxAttached       int             // entries of attached front ends that the view may have
	attachedCount     int             // entries of attached front ends that the view has
	lastBatchAt       monotime.Micros // when the last batch was made
	allVersionsSentAt monotime.Micros // when the versions of all tables were sent

	members       []*memberState // by name, including this one
	membersByName map[string]*memberState
	self          *memberState

	ownTable           *table
	leases             []*lease // by name
	leasesByName       map[string]*lease
	dirtyLeases        []*lease        // whose table entry may have to change
	removedNames       []string        // whose table entry is to be removed
	selfSuspicionUntil monotime.Micros // when the last self-suspicion ends

	tablesComplete bool // no table is awaited that might report as alive a process that is dead by the others

	names        map[string]*mergedName
	dirtyNames   []*mergedName  // to be merged with the next batch
	watchedNames []*mergedName  // to be merged again with each batch
	superseded   incarnationSet // processes that have certainly ended

	view       *View
	sequence   uint64 // of the view's batches
	log        changeLog
	compressor compressor
	snapshot   []byte // of the full view at the sequence; nil if it is not made

	outgoing     []Message
	linksToClose []Link
}

// NewServer returns a server without attached front ends.
func NewServer(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:           cfg,
		membersByName: map[string]*memberState{},
		leasesByName:  map[string]*lease{},
		names:         map[string]*mergedName{},
		view:          newView(),
	}
	s.view.authoritative = true
	s.addMembers()
	s.ownTable = newTable(cfg.Name, cfg.Incarnation)
	s.ownTable.homePresent = true
	s.self.tables = []*table{s.ownTable}
	s.markNameDirty(s.mergedName(cfg.Name))
	return s
}

// addMembers adds all control members of the configuration and this one.
func (s *Server) addMembers() {
	cfg := &s.cfg
	for _, c := range cfg.ControlMembers {
		if s.membersByName[c.Name] == nil && c.Name != cfg.Name {
			s.addMember(ControlMember{Name: c.Name, Zone: c.Zone, State: Dead})
		}
	}
	// Attached front ends leave room for the control members.
	s.maxAttached = cfg.MaxEntries - len(s.members) - 1
	s.self = s.addMember(ControlMember{Name: cfg.Name, Zone: cfg.Zone, Incarnation: cfg.Incarnation, State: Alive})
	slices.SortFunc(s.members, compareMemberName)
}

// advanceClock sets the time. A gap above the PauseThreshold shows that this process was stopped: the leases are
// extended by it.
func (s *Server) advanceClock(now monotime.Micros) {
	if gap := now - s.now; s.started && gap > s.cfg.PauseThreshold {
		s.Counters.Pauses++
		s.extendLeases(gap)
	}
	if !s.started {
		s.self.presentSince = now
		s.self.ChallengedAt = cmp.Or(now, zeroTimeSubstitute) // it began before any other challenges it
	}
	s.started = true
	s.now = max(s.now, now)
}

// extendLeases extends all leases, and what depends on the absence of homes, by the time that this process was stopped.
func (s *Server) extendLeases(gap monotime.Micros) {
	for _, l := range s.leases {
		l.lastSeen += gap
		if l.suspectUntil != 0 {
			l.suspectUntil += gap
		}
	}
	for _, m := range s.members {
		for _, t := range m.tables {
			t.homeAbsentSince += gap
			t.homeLastAlive += gap
		}
	}
}

// Tick advances the time; controls are the other control members as package heartbeat sees them now. It is to be called
// at least every PauseThreshold, and every BatchDelay if changes are to be published in time.
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

// Leave announces that this control member ends as planned, so that its attached front ends go elsewhere.
func (s *Server) Leave() {
	if s.leaving {
		return
	}
	s.leaving = true
	message := s.versionMessage()
	body := message.encode()
	for _, l := range s.leases {
		if len(l.links) > 0 {
			s.sendView(l, body, false)
		}
	}
}

// send queues a message. Beyond the limit it is dropped.
func (s *Server) send(m Message) {
	if len(s.outgoing) < maxQueuedMessages {
		s.outgoing = append(s.outgoing, m)
	}
}

// sendView sends a message about the view to an attached front end.
func (s *Server) sendView(l *lease, body []byte, bulk bool) {
	s.send(Message{To: l.name, Incarnation: l.incarnation, Kind: ViewUpdate, Bulk: bulk, Body: body})
}

// TakeMessages returns the messages that are to be sent, and removes them from the server.
func (s *Server) TakeMessages() []Message {
	messages := s.outgoing
	s.outgoing = nil
	return messages
}

// LinksToClose returns the links that are to be closed, and removes them from the server: those of superseded processes
// or of front ends that may not attach, and surplus ones of a process.
func (s *Server) LinksToClose() []Link {
	links := s.linksToClose
	s.linksToClose = nil
	s.Counters.ClosedLinks += len(links)
	return links
}

// View returns the merged view. It changes with the calls of the server's other methods.
func (s *Server) View() *View { return s.view }

// HomeOf returns the control member that has a link to that process of an attached front end now; ok is false if none
// is known here.
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
	for _, entry := range n.entries {
		home := s.membersByName[entry.table.home]
		hasLease := entry.incarnation == incarnation && entry.currentState() == Alive
		reachable := home != s.self && home.State == Alive
		if hasLease && reachable && (!ok || home.Name == e.Home) {
			control, ok = home.Name, true
		}
	}
	return control, ok
}
