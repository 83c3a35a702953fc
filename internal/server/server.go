package server

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"

	"golang.org/x/sys/unix"

	"chutechute/gateway"
	"chutechute/internal/config"
	"chutechute/internal/eventloop"
	"chutechute/internal/keyfiles"
	"chutechute/internal/monotime"
	"chutechute/internal/peering"
)

const (
	reservedDescriptors = 24 // descriptors for the loop, the journal, the log and what the runtime holds
	// descriptorOverdraft is how many of the spare ones clients may take for a moment, where nothing else can be closed for them.
	descriptorOverdraft = 8
)

// Server is the front end on its sockets.
type Server struct {
	host peering.Host
	cfg           *config.Config
	core          *gateway.Core
	lifecycle     gateway.Lifecycle
	listener      *clientListener
	pool          *enginePool
	discovery     *discoveryWatch
	waker         *waker
	nextTickAt    monotime.Micros
	counterOutput io.Writer
	tasks         eventloop.Tasks
	tls           tlsState
	// installationPath is the path of the installation file, which stays as it was at the start.
	installationPath   string
	reloadMutex        sync.Mutex
	keyWatchGeneration int              // so far
	keyWatch           *keyfiles.Watch  // of the files that identity is fed from; nil where it is off
	peering            *peering.Peering // nil where no fleet is set
}

// New builds a front end; it does not listen yet. Counters are printed to log.
func New(cfg *config.Config, log io.Writer) (*Server, error) {
	l, err := eventloop.NewLoop()
	if err != nil {
		return nil, err
	}
	s := &Server{host: peering.NewHost(l), cfg: cfg, counterOutput: log, installationPath: cfg.Installation}
	for _, c := range cfg.Settings.Classes {
		s.lifecycle.LongestDeadline = max(s.lifecycle.LongestDeadline, c.ClientTimeout)
	}
	s.pool = newEnginePool(s)
	s.listener = &clientListener{server: s, clients: map[*clientConn]struct{}{}, maxClients: s.maxClients()}
	s.listener.bufferBudget.Most, s.pool.bufferBudget.Most = cfg.BufferBytes(), cfg.BufferBytes()
	if s.core, err = gateway.New(cfg.Settings, cfg.Seed, cfg.Bounds(), s.pool, &s.host.Counters); err != nil {
		return nil, err
	}
	if err = s.core.ReadStatements(cfg.Statements); err != nil {
		return nil, fmt.Errorf("installation: statement.%w", err)
	}
	s.discovery = newDiscoveryWatch(s)
	if s.waker, err = newWaker(s); err != nil {
		return nil, err
	}
	if err = s.applySecurity(cfg); err != nil {
		return nil, fmt.Errorf("installation: %w", err)
	}
	if cfg.Peers != nil {
		of := peering.Program{Host: &s.host, Seed: cfg.Seed, Post: s.post, Core: s.core, Settings: cfg.Settings, Draining: s.draining,
			MaxDescriptors: cfg.Sockets}
		if s.peering, err = peering.NewPeering(of, cfg.Peers); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// draining says whether a planned end has begun.
func (s *Server) draining() bool { return s.lifecycle.Phase() >= gateway.Draining }

// maxClients is how many connections of clients may be open: a little over the third of all descriptors
// that clients hold at most, since a closed one may be noticed late.
func (s *Server) maxClients() int { return s.cfg.Sockets/3 + 8 }

// clientReserve is how many descriptors engines leave for clients who come at once.
func (s *Server) clientReserve() int { return s.cfg.Sockets / 20 }

// freeDescriptors is how many descriptors are left.
func (s *Server) freeDescriptors() int {
	return s.cfg.Sockets - reservedDescriptors - len(s.pool.connections) - len(s.listener.clients) - s.peering.Descriptors()
}

// Run serves until a planned end is over.
func (s *Server) Run() error {
	for _, e := range s.cfg.Known {
		s.updateEndpoints(e)
	}
	s.core.Step(s.host.TurnTime)
	if err := s.listenForClients(); err != nil {
		return err
	}
	s.discovery.connect()
	if s.peering != nil {
		if err := s.peering.Listen(); err != nil {
			return err
		}
		defer s.peering.Close()
	}
	s.lifecycle.Serve()
	slog.Info("serving", "name", s.cfg.Name, "listen", s.listener.address)
	for {
		if err := s.runTurn(); err != nil {
			return err
		}
		phase := s.lifecycle.Phase()
		if phase == gateway.Answering {
			s.listener.closeIdle()
		}
		quiet := s.core.Idle() && len(s.listener.clients) == 0 && (s.peering == nil || phase == gateway.Answering && s.peering.Released())
		if now := s.lifecycle.Advance(s.host.TurnTime, quiet); now != phase {
			slog.Info("phase", "phase", now.String())
			if phase < gateway.Closing && now >= gateway.Closing {
				s.listener.Ready(0) // who has connected by now is served
				s.listener.close()
			}
		}
		if s.lifecycle.Phase() == gateway.Stopped {
			s.printCounters()
			return nil
		}
	}
}

// runTurn waits, reads all that is ready, and lets the core take one step.
func (s *Server) runTurn() error {
	if rest := s.host.TurnTime + eventloop.MinTurnInterval - s.host.Clock.Now(); rest > 0 {
		t := unix.NsecToTimespec(rest * 1000)
		_ = unix.Nanosleep(&t, nil) // a signal may cut it short, to no harm
	}
	until := s.nextTickAt
	if at, ok := s.core.Next(); ok {
		until = min(until, at)
	}
	if len(s.listener.deferred) > 0 || s.core.Pending() {
		until = s.host.TurnTime
	}
	n, err := s.host.Loop.Wait(until - s.host.Clock.Now())
	if err != nil {
		return err
	}
	s.host.TurnTime = s.host.Clock.Now()
	if s.peering != nil {
		s.peering.SetNow(s.host.TurnTime)
	}
	s.listener.processDeferred()
	s.host.Loop.Dispatch(n)
	if s.host.TurnTime >= s.nextTickAt {
		s.nextTickAt = s.host.TurnTime + eventloop.TickInterval
		s.pool.tick()
		s.listener.tick()
		s.discovery.tick()
		s.tls.warnOfExpiry(s.host.TurnTime)
		if s.peering != nil {
			s.peering.Tick()
		}
		if s.lifecycle.Expired(s.host.TurnTime) {
			s.core.ExpireAll()
		}
	}
	if s.peering != nil {
		s.peering.CarryOut()
	}
	s.core.Step(s.host.TurnTime)
	if s.peering != nil {
		s.peering.CarryOut()
	}
	s.host.Counters.LongestTurn = max(s.host.Counters.LongestTurn, int(s.host.Clock.Now()-s.host.TurnTime))
	return nil
}

// Reload reads the configuration and the installation file again, which may take a while, and hands them to the loop. It
// may be called from any goroutine but the loop's.
func (s *Server) Reload() {
	s.reloadMutex.Lock() // of two, the later reads later
	defer s.reloadMutex.Unlock()
	cfg, err := config.Load(os.Getenv, s.installationPath)
	s.post(func() { s.applyReload(cfg, err) })
}

// applyReload puts a new configuration into force, once all of it has been read and checked, or keeps the old.
func (s *Server) applyReload(cfg *config.Config, err error) {
	if err == nil {
		cfg, err = s.cfg.Rebase(cfg)
	}
	if err == nil {
		err = s.applySecurity(cfg) // reads files, so it comes first: with an error nothing changes
	}
	if err == nil {
		if err = s.core.ReadStatements(cfg.Statements); err != nil {
			err = fmt.Errorf("installation: statement.%w", err)
		}
	}
	if err != nil {
		s.host.Counters.Rejected++
		slog.Error("reload: the old configuration stays in force", "error", err)
		return
	}
	s.host.Counters.Reloaded++
	if keys := s.cfg.Fixed(cfg); len(keys) > 0 {
		slog.Warn("reload: these keys take effect at the next start", "keys", keys)
	}
	s.peering.Reload(cfg.Peers)
	moved := cfg.Journal != s.cfg.Journal
	s.cfg = s.cfg.With(cfg)
	s.listener.maxClients = s.maxClients()
	s.listener.bufferBudget.Most, s.pool.bufferBudget.Most = s.cfg.BufferBytes(), s.cfg.BufferBytes()
	s.core.SetLimits(s.cfg.Bounds())
	debug.SetMemoryLimit(s.cfg.HeapLimit())
	slog.Info("reloaded", "journal", s.cfg.Journal, "last", s.discovery.follower.Last)
	if moved {
		s.lifecycle.Reload()
		s.discovery.reconnect()
	}
}

// Drain begins a planned end. It may be called from any goroutine.
func (s *Server) Drain() { s.waker.send(wakeDrain) }

// printCounters prints the counters, those of the statement reader among them.
func (s *Server) printCounters() {
	c := s.core.StatementCounts()
	s.host.Counters.ShapeHits, s.host.Counters.ShapeMisses, s.host.Counters.Unparsed = c.Hits, c.Misses, c.Failures
	s.host.Counters.Learned, s.host.Counters.Shapes, s.host.Counters.ShapeBytes = c.Learned, c.Shapes, c.Bytes
	if g := s.core.Guard(); g != nil {
		i := g.Counts()
		s.host.Counters.Identified, s.host.Counters.SignatureChecks = i.Allowed, i.Checked
		s.host.Counters.BadProofs, s.host.Counters.Forbidden = i.Missing+i.Unsigned+i.Negative+i.Expired+i.Unmapped, i.Forbidden+i.Foreign
		s.host.Counters.OverCeiling = i.Over + i.Busy
	}
	if p := s.peering; p != nil {
		p.ReportCounters(&s.host.Counters)
	}
	s.host.Counters.Print(s.counterOutput)
}

// PrintCounters prints the counters. It may be called from any goroutine.
func (s *Server) PrintCounters() { s.waker.send(wakePrint) }

// What the loop is woken for; the values of an eventfd add up.
const (
	wakePrint  = 1
	wakeDrain  = 1 << 40
	wakePosted = 1 << 52
)

// waker lets other goroutines reach the loop.
type waker struct {
	server *Server
	fd     int
}

func newWaker(s *Server) (*waker, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	w := &waker{s, fd}
	return w, s.host.Loop.Add(fd, unix.EPOLLIN, w)
}

func (w *waker) send(n uint64) {
	// It fails only where billions of signals are unread.
	_, _ = unix.Write(w.fd, binary.NativeEndian.AppendUint64(nil, n))
}

func (w *waker) Ready(uint32) {
	var b [8]byte
	if n, err := unix.Read(w.fd, b[:]); n != 8 || err != nil {
		return
	}
	told := binary.NativeEndian.Uint64(b[:])
	if told%wakeDrain != 0 {
		w.server.printCounters()
	}
	if told >= wakePosted {
		w.server.tasks.Run()
	}
	if told%wakePosted >= wakeDrain {
		w.server.lifecycle.Drain(w.server.host.TurnTime)
	}
}
