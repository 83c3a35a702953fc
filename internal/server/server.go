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
	spare = 24 // descriptors for the loop, the journal, the log and what the runtime holds
	// overdraft is how many of the spare ones clients may take for a moment, where nothing else can be closed for them.
	overdraft = 8
)

// Server is the front end on its sockets.
type Server struct {
	peering.Host
	cfg      *config.Config
	core     *gateway.Core
	life     gateway.Lifecycle
	listener *listener
	pool     *pool
	feed     *feed
	wake     *waker
	nextTick monotime.Micros
	log      io.Writer
	posts    eventloop.Tasks
	security security
	// installation is the path of the installation file, which stays as it was at the start.
	installation string
	reloading    sync.Mutex
	watches      int              // so far
	watch        *keyfiles.Watch  // of the files that identity is fed from; nil where it is off
	peers        *peering.Peering // nil where no fleet is set
}

// New builds a front end; it does not listen yet. Counters are printed to log.
func New(cfg *config.Config, log io.Writer) (*Server, error) {
	l, err := eventloop.NewLoop()
	if err != nil {
		return nil, err
	}
	s := &Server{Host: peering.NewHost(l), cfg: cfg, log: log, installation: cfg.Installation}
	for _, c := range cfg.Settings.Classes {
		s.life.LongestDeadline = max(s.life.LongestDeadline, c.ClientTimeout)
	}
	s.pool = newPool(s)
	s.listener = &listener{s: s, clients: map[*client]struct{}{}, most: s.clientsMost()}
	s.listener.budget.Most, s.pool.budget.Most = cfg.BufferBytes(), cfg.BufferBytes()
	if s.core, err = gateway.New(cfg.Settings, cfg.Seed, cfg.Bounds(), s.pool, &s.Counters); err != nil {
		return nil, err
	}
	if err = s.core.ReadStatements(cfg.Statements); err != nil {
		return nil, fmt.Errorf("installation: statement.%w", err)
	}
	s.feed = newFeed(s)
	if s.wake, err = newWaker(s); err != nil {
		return nil, err
	}
	if err = s.guarded(cfg); err != nil {
		return nil, fmt.Errorf("installation: %w", err)
	}
	if cfg.Peers != nil {
		of := peering.Program{Host: &s.Host, Seed: cfg.Seed, Post: s.post, Core: s.core, Settings: cfg.Settings, Draining: s.draining,
			MaxDescriptors: cfg.Sockets}
		if s.peers, err = peering.NewPeering(of, cfg.Peers); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// draining says whether a planned end has begun.
func (s *Server) draining() bool { return s.life.Phase() >= gateway.Draining }

// clientsMost is how many connections of clients may be open: a little over the third of all descriptors
// that clients hold at most, since a closed one may be noticed late.
func (s *Server) clientsMost() int { return s.cfg.Sockets/3 + 8 }

// headroom is how many descriptors engines leave for clients who come at once.
func (s *Server) headroom() int { return s.cfg.Sockets / 20 }

// unused is how many descriptors are left.
func (s *Server) unused() int {
	return s.cfg.Sockets - spare - len(s.pool.conns) - len(s.listener.clients) - s.peers.Descriptors()
}

// Run serves until a planned end is over.
func (s *Server) Run() error {
	for _, e := range s.cfg.Known {
		s.listed(e)
	}
	s.core.Step(s.TurnTime)
	if err := s.listen(); err != nil {
		return err
	}
	s.feed.connect()
	if s.peers != nil {
		if err := s.peers.Listen(); err != nil {
			return err
		}
		defer s.peers.Close()
	}
	s.life.Serve()
	slog.Info("serving", "name", s.cfg.Name, "listen", s.listener.addr)
	for {
		if err := s.turn(); err != nil {
			return err
		}
		phase := s.life.Phase()
		if phase == gateway.Answering {
			s.listener.part()
		}
		quiet := s.core.Idle() && len(s.listener.clients) == 0 && (s.peers == nil || phase == gateway.Answering && s.peers.Released())
		if now := s.life.Advance(s.TurnTime, quiet); now != phase {
			slog.Info("phase", "phase", now.String())
			if phase < gateway.Closing && now >= gateway.Closing {
				s.listener.Ready(0) // who has connected by now is served
				s.listener.close()
			}
		}
		if s.life.Phase() == gateway.Stopped {
			s.print()
			return nil
		}
	}
}

// turn waits, reads all that is ready, and lets the core take one step.
func (s *Server) turn() error {
	if rest := s.TurnTime + eventloop.MinTurnInterval - s.Clock.Now(); rest > 0 {
		t := unix.NsecToTimespec(rest * 1000)
		_ = unix.Nanosleep(&t, nil) // a signal may cut it short, to no harm
	}
	until := s.nextTick
	if at, ok := s.core.Next(); ok {
		until = min(until, at)
	}
	if len(s.listener.again) > 0 || s.core.Pending() {
		until = s.TurnTime
	}
	n, err := s.Loop.Wait(until - s.Clock.Now())
	if err != nil {
		return err
	}
	s.TurnTime = s.Clock.Now()
	if s.peers != nil {
		s.peers.SetNow(s.TurnTime)
	}
	s.listener.leftOver()
	s.Loop.Dispatch(n)
	if s.TurnTime >= s.nextTick {
		s.nextTick = s.TurnTime + eventloop.TickInterval
		s.pool.tick()
		s.listener.tick()
		s.feed.tick()
		s.security.tick(s.TurnTime)
		if s.peers != nil {
			s.peers.Tick()
		}
		if s.life.Expired(s.TurnTime) {
			s.core.ExpireAll()
		}
	}
	if s.peers != nil {
		s.peers.CarryOut()
	}
	s.core.Step(s.TurnTime)
	if s.peers != nil {
		s.peers.CarryOut()
	}
	s.Counters.LongestTurn = max(s.Counters.LongestTurn, int(s.Clock.Now()-s.TurnTime))
	return nil
}

// Reload reads the configuration and the installation file again, which may take a while, and hands them to the loop. It
// may be called from any goroutine but the loop's.
func (s *Server) Reload() {
	s.reloading.Lock() // of two, the later reads later
	defer s.reloading.Unlock()
	cfg, err := config.Load(os.Getenv, s.installation)
	s.post(func() { s.reload(cfg, err) })
}

// reload puts a new configuration into force, once all of it has been read and checked, or keeps the old.
func (s *Server) reload(cfg *config.Config, err error) {
	if err == nil {
		cfg, err = s.cfg.Rebase(cfg)
	}
	if err == nil {
		err = s.guarded(cfg) // reads files, so it comes first: with an error nothing changes
	}
	if err == nil {
		if err = s.core.ReadStatements(cfg.Statements); err != nil {
			err = fmt.Errorf("installation: statement.%w", err)
		}
	}
	if err != nil {
		s.Counters.Rejected++
		slog.Error("reload: the old configuration stays in force", "error", err)
		return
	}
	s.Counters.Reloaded++
	if keys := s.cfg.Fixed(cfg); len(keys) > 0 {
		slog.Warn("reload: these keys take effect at the next start", "keys", keys)
	}
	s.peers.Reload(cfg.Peers)
	moved := cfg.Journal != s.cfg.Journal
	s.cfg = s.cfg.With(cfg)
	s.listener.most = s.clientsMost()
	s.listener.budget.Most, s.pool.budget.Most = s.cfg.BufferBytes(), s.cfg.BufferBytes()
	s.core.SetLimits(s.cfg.Bounds())
	debug.SetMemoryLimit(s.cfg.HeapLimit())
	slog.Info("reloaded", "journal", s.cfg.Journal, "last", s.feed.follower.Last)
	if moved {
		s.life.Reload()
		s.feed.move()
	}
}

// Drain begins a planned end. It may be called from any goroutine.
func (s *Server) Drain() { s.wake.send(wakeDrain) }

// print prints the counters, those of the statement reader among them.
func (s *Server) print() {
	c := s.core.StatementCounts()
	s.Counters.ShapeHits, s.Counters.ShapeMisses, s.Counters.Unparsed = c.Hits, c.Misses, c.Failures
	s.Counters.Learned, s.Counters.Shapes, s.Counters.ShapeBytes = c.Learned, c.Shapes, c.Bytes
	if g := s.core.Guard(); g != nil {
		i := g.Counts()
		s.Counters.Identified, s.Counters.SignatureChecks = i.Allowed, i.Checked
		s.Counters.BadProofs, s.Counters.Forbidden = i.Missing+i.Unsigned+i.Negative+i.Expired+i.Unmapped, i.Forbidden+i.Foreign
		s.Counters.OverCeiling = i.Over + i.Busy
	}
	if p := s.peers; p != nil {
		p.ReportCounters(&s.Counters)
	}
	s.Counters.Print(s.log)
}

// PrintCounters prints the counters. It may be called from any goroutine.
func (s *Server) PrintCounters() { s.wake.send(wakePrint) }

// What the loop is woken for; the values of an eventfd add up.
const (
	wakePrint  = 1
	wakeDrain  = 1 << 40
	wakePosted = 1 << 52
)

// waker lets other goroutines reach the loop.
type waker struct {
	s  *Server
	fd int
}

func newWaker(s *Server) (*waker, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	w := &waker{s, fd}
	return w, s.Loop.Add(fd, unix.EPOLLIN, w)
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
		w.s.print()
	}
	if told >= wakePosted {
		w.s.posts.Run()
	}
	if told%wakePosted >= wakeDrain {
		w.s.life.Drain(w.s.TurnTime)
	}
}
