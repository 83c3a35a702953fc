package membership

import (
	"cmp"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// selfSuspicionTimeout is how much longer a home that suspects itself to be partitioned keeps unresponsive front
	// ends Suspect.
	selfSuspicionTimeout = 10 * monotime.Second
	// retentionTime is how long the lease of a front end that is Dead or Left is retained, and the table of a home's
	// process that is absent or superseded.
	retentionTime = 600 * monotime.Second
)

// Server implements membership for a control member. It is the home of the front ends attached to it, replicates the
// tables of all other homes, and serves the view to its subscribers. It is not safe for concurrent use.
type Server struct {
	// Counters may be read at any time.
	Counters Counters

	cfg     Config
	now     monotime.Micros
	started bool
	leaving bool

	maxAttached       int             // limit on the view's entries of attached front ends
	attachedCount     int             // the view's entries of attached front ends
	lastBatchAt       monotime.Micros // when the last batch was published
	allVersionsSentAt monotime.Micros // when the versions of all tables were last sent

	members       []*memberState // sorted by name, including this one
	membersByName map[string]*memberState
	self          *memberState

	ownTable           *table
	leases             []*lease // sorted by name
	leasesByName       map[string]*lease
	dirtyLeases        []*lease        // their table entries may have to change
	removedNames       []string        // their table entries are to be removed
	selfSuspicionUntil monotime.Micros // when the last self-suspicion ends

	tablesComplete bool // no table is awaited that could show that a process reported as dead is alive

	names        map[string]*mergedName
	dirtyNames   []*mergedName  // to be merged with the next batch
	watchedNames []*mergedName  // to be merged again with each batch
	superseded   incarnationSet // processes that a home has seen superseded, which have ended for certain

	view       *View
	sequence   uint64    // number of the view's last batch
	log        changeLog // of the view
	compressor compressor
	snapshot   []byte // encoded snapshot of the view at that sequence; nil until it is needed

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
	// Entries are reserved for the control members.
	s.maxAttached = cfg.MaxEntries - len(s.members) - 1
	s.self = s.addMember(ControlMember{Name: cfg.Name, Zone: cfg.Zone, Incarnation: cfg.Incarnation, State: Alive})
	slices.SortFunc(s.members, compareMemberName)
}

// advanceClock sets the time. A gap above PauseThreshold shows that this process was paused; the leases are extended by
// the gap.
func (s *Server) advanceClock(now monotime.Micros) {
	if gap := now - s.now; s.started && gap > s.cfg.PauseThreshold {
		s.Counters.Pauses++
		s.extendLeases(gap)
	}
	if !s.started {
		s.self.presentSince = now
		s.self.ChallengedAt = cmp.Or(now, zeroTimeSubstitute) // it started before any other process could challenge it
	}
	s.started = true
	s.now = max(s.now, now)
}

// extendLeases extends all leases, and the timeouts of absent homes, by the time that this process was paused.
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

// Tick advances the time; controls are the other control members as package heartbeat currently sees them. It must be
// called at least every PauseThreshold, and every BatchDelay for changes to be published in time.
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

// Leave announces the planned shutdown of this control member, so that its attached front ends move to others.
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

// send queues a message, or drops it if the queue is full.
func (s *Server) send(m Message) {
	if len(s.outgoing) < maxQueuedMessages {
		s.outgoing = append(s.outgoing, m)
	}
}

// sendView sends a message about the view to an attached front end.
func (s *Server) sendView(l *lease, body []byte, bulk bool) {
	s.send(Message{To: l.name, Incarnation: l.incarnation, Kind: ViewUpdate, Bulk: bulk, Body: body})
}

// TakeMessages returns the messages to send and removes them from the server.
func (s *Server) TakeMessages() []Message {
	messages := s.outgoing
	s.outgoing = nil
	return messages
}

// TakeLinksToClose returns the links to close and removes them from the server: links of superseded processes, links of
// front ends that may not attach, and links of a process above the limit.
func (s *Server) TakeLinksToClose() []Link {
	links := s.linksToClose
	s.linksToClose = nil
	s.Counters.ClosedLinks += len(links)
	return links
}

// View returns the merged view. Calls to other methods of the server may change it.
func (s *Server) View() *View { return s.view }

// HomeOf returns a control member that, as far as is known here, has a link to that process of an attached front end:
// this one if it has, else preferably the home in the view. ok is false if there is none.
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
