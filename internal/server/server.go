// Package server runs the front end on its sockets, all of them on one event loop: the connections of clients, the
// connection pool to the engines, the watch of the discovery service and, where a fleet is set, the links to the other
// front ends. It reads what is ready, feeds the parsers and the gateway, and writes what they return. The decisions are
// the gateway's and the scheduler's.
//
// Everything in this package belongs to the goroutine that calls Server.Run. Other goroutines reach it only by
// Server.Reload, Server.Drain and Server.PrintCounters.
package server

import (
	"fmt"
	"io"
	"log/slog"
	"sync"

	"golang.org/x/sys/unix"

	"chutechute/gateway"
	"chutechute/internal/config"
	"chutechute/internal/eventloop"
	"chutechute/internal/keyfiles"
	"chutechute/internal/monotime"
	"chutechute/internal/peering"
)

const nanosecondsPerMicro = 1000

// Server is one front end: its client listener, engine connection pool, discovery watch and links to other front ends.
// Run serves on the goroutine that calls it; the other methods may be called from any goroutine.
type Server struct {
	host          peering.Host
	cfg           *config.Config
	core          *gateway.Core
	lifecycle     gateway.Lifecycle
	listener      *clientListener
	pool          *enginePool
	discovery     *discoveryWatch
	peering       *peering.Peering // nil where no fleet is set
	waker         *waker
	tasks         eventloop.Tasks // handed over by other goroutines
	nextTickAt    monotime.Micros
	counterOutput io.Writer
	tls           tlsState

	installationPath   string // of the installation file, as it was at the start
	reloadMutex        sync.Mutex
	keyWatch           *keyfiles.Watch // of the files that identity and TLS are read from; nil where both are off
	keyWatchGeneration int             // goes up by one with each key watch
}

// New builds a front end by its configuration; it listens only once Run is called. Counters are printed to
// counterOutput. An error says what of the configuration, the installation file or the files that they name can't be
// used.
func New(cfg *config.Config, counterOutput io.Writer) (*Server, error) {
	loop, err := eventloop.NewLoop()
	if err != nil {
		return nil, err
	}
	s := &Server{
		host:             peering.NewHost(loop),
		cfg:              cfg,
		counterOutput:    counterOutput,
		installationPath: cfg.InstallationPath,
	}
	for _, class := range cfg.Settings.Classes {
		s.lifecycle.MaxClientTimeout = max(s.lifecycle.MaxClientTimeout, class.ClientTimeout)
	}
	s.pool = newEnginePool(s)
	s.listener = newClientListener(s)
	s.setBufferBudgets()
	if err = s.openCore(); err != nil {
		return nil, err
	}
	s.discovery = newDiscoveryWatch(s)
	if s.waker, err = newWaker(s); err != nil {
		return nil, err
	}
	if err = s.applySecurity(cfg); err != nil {
		return nil, fmt.Errorf("installation: %w", err)
	}
	if err = s.openPeering(); err != nil {
		return nil, err
	}
	return s, nil
}

// openCore builds the gateway's core over the engine pool.
func (s *Server) openCore() (err error) {
	s.core, err = gateway.New(s.cfg.Settings, s.cfg.Seed, s.cfg.Limits(), s.pool, &s.host.Counters)
	if err != nil {
		return err
	}
	return s.setStatementRules(s.cfg)
}

// setStatementRules has statements read by a configuration's rules. With an error the former rules stay.
func (s *Server) setStatementRules(cfg *config.Config) error {
	if err := s.core.ConfigureStatements(cfg.Statements); err != nil {
		return fmt.Errorf("installation: statement.%w", err)
	}
	return nil
}

// openPeering builds the links to other front ends, where a fleet is set.
func (s *Server) openPeering() (err error) {
	if s.cfg.Peers == nil {
		return nil
	}
	program := peering.Program{
		Host:           &s.host,
		Seed:           s.cfg.Seed,
		Post:           s.post,
		Core:           s.core,
		Settings:       s.cfg.Settings,
		Draining:       s.isDraining,
		MaxDescriptors: s.cfg.Sockets,
	}
	s.peering, err = peering.NewPeering(program, s.cfg.Peers)
	return err
}

// setBufferBudgets bounds the bytes that the connections of clients, and those to engines, may buffer.
func (s *Server) setBufferBudgets() {
	s.listener.bufferBudget.Max = s.cfg.BufferBytes()
	s.pool.bufferBudget.Max = s.cfg.BufferBytes()
}

// isDraining says whether a graceful shutdown has begun.
func (s *Server) isDraining() bool { return s.lifecycle.Phase() >= gateway.Draining }

// Run serves until a graceful shutdown is complete, and then prints the counters. An error says that a socket could
// not be opened, or that the event loop failed. Run may be called once.
func (s *Server) Run() error {
	if err := s.start(); err != nil {
		return err
	}
	if s.peering != nil {
		defer s.peering.Close()
	}
	for {
		if err := s.runTurn(); err != nil {
			return err
		}
		s.advanceLifecycle()
		if s.lifecycle.Phase() == gateway.Stopped {
			s.printCounters()
			return nil
		}
	}
}

// start opens the sockets, from the cached endpoint list on.
func (s *Server) start() error {
	for _, event := range s.cfg.KnownEvents {
		s.updateEndpoints(event)
	}
	s.core.Step(s.host.TurnTime)
	if err := s.listener.listen(); err != nil {
		return err
	}
	s.discovery.connect()
	if s.peering != nil {
		if err := s.peering.Listen(); err != nil {
			return err
		}
	}
	s.lifecycle.Serve()
	slog.Info("serving", slog.String("name", s.cfg.Name), slog.Any("listen", s.listener.address))
	return nil
}

// advanceLifecycle goes on with a graceful shutdown, as far as its present phase is complete.
func (s *Server) advanceLifecycle() {
	phase := s.lifecycle.Phase()
	if phase == gateway.Answering {
		s.listener.closeIdle()
	}
	now := s.lifecycle.Advance(s.host.TurnTime, s.isQuiet(phase))
	if now == phase {
		return
	}
	slog.Info("phase", slog.String("phase", now.String()))
	if phase < gateway.Closing && now >= gateway.Closing {
		s.listener.Ready(0) // those that have connected by now are served
		s.listener.close()
	}
}

// isQuiet says whether no request is in flight, no client is connected and the other front ends need nothing of this
// one.
func (s *Server) isQuiet(phase gateway.Phase) bool {
	if !s.core.Idle() || len(s.listener.clients) > 0 {
		return false
	}
	return s.peering == nil || phase == gateway.Answering && s.peering.Released()
}

// runTurn waits for events, handles all that are ready, and lets the core take one step.
func (s *Server) runTurn() error {
	s.awaitTurn()
	ready, err := s.host.Loop.Wait(s.nextTurnAt() - s.host.Clock.Now())
	if err != nil {
		return err
	}
	s.host.TurnTime = s.host.Clock.Now()
	if s.peering != nil {
		s.peering.SetNow(s.host.TurnTime)
	}
	s.listener.processDeferred()
	s.host.Loop.Dispatch(ready)
	if s.host.TurnTime >= s.nextTickAt {
		s.nextTickAt = s.host.TurnTime + eventloop.TickInterval
		s.tick()
	}
	s.stepCore()
	duration := s.host.Clock.Now() - s.host.TurnTime
	s.host.Counters.LongestTurn = max(s.host.Counters.LongestTurn, int(duration))
	return nil
}

// awaitTurn sleeps until the least interval between two turns is over.
func (s *Server) awaitTurn() {
	remaining := s.host.TurnTime + eventloop.MinTurnInterval - s.host.Clock.Now()
	if remaining > 0 {
		interval := unix.NsecToTimespec(remaining * nanosecondsPerMicro)
		_ = unix.Nanosleep(&interval, nil) // a signal may cut it short, which does no harm
	}
}

// nextTurnAt returns when the next turn is due, whatever comes on the sockets.
func (s *Server) nextTurnAt() monotime.Micros {
	at := s.nextTickAt
	if coreAt, ok := s.core.NextTimer(); ok {
		at = min(at, coreAt)
	}
	if len(s.listener.deferred) > 0 || s.core.HasEvents() {
		at = s.host.TurnTime
	}
	return at
}

// tick handles all that time alone changes.
func (s *Server) tick() {
	s.pool.tick()
	s.listener.tick()
	s.discovery.tick()
	s.tls.warnOfExpiry(s.host.TurnTime)
	if s.peering != nil {
		s.peering.Tick()
	}
	if s.lifecycle.MustExpireAll(s.host.TurnTime) {
		s.core.ExpireAll()
	}
}

// stepCore lets the core take one step, between what came from the other front ends and what goes to them.
func (s *Server) stepCore() {
	if s.peering != nil {
		s.peering.CarryOut()
	}
	s.core.Step(s.host.TurnTime)
	if s.peering != nil {
		s.peering.CarryOut()
	}
}
