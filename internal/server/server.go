// Package server connects the front end to its sockets, all on one event loop: client connections, the connection pool
// to the engines, the watch of the discovery service and, if a fleet is configured, the links to the other front ends.
// It reads from the sockets that are ready, feeds the parsers and the gateway, and writes their output. All decisions
// are made by packages gateway and scheduler.
//
// Everything in this package belongs to the goroutine that calls Server.Run. Other goroutines may only call
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
	peering       *peering.Peering // nil if no fleet is configured
	waker         *waker
	tasks         eventloop.Tasks // posted by other goroutines
	nextTickAt    monotime.Micros
	counterOutput io.Writer
	tls           tlsState

	installationPath   string // of the installation file, as configured at the start
	reloadMutex        sync.Mutex
	keyWatch           *keyfiles.Watcher // of the files for identity and TLS; nil if both are off
	keyWatchGeneration int               // incremented for each new key watch
}

// New builds a front end from its configuration. It does not listen before Run is called. Counters are printed to
// counterOutput. It returns an error if the configuration, the installation file or a file that they name is invalid.
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

// openCore creates the gateway's core on top of the engine pool.
func (s *Server) openCore() (err error) {
	s.core, err = gateway.New(s.cfg.Settings, s.cfg.Seed, s.cfg.Limits(), s.pool, &s.host.Counters)
	if err != nil {
		return err
	}
	return s.setStatementRules(s.cfg)
}

// setStatementRules applies a configuration's rules for reading statements. If it returns an error, the former rules
// stay in force.
func (s *Server) setStatementRules(cfg *config.Config) error {
	if err := s.core.ConfigureStatements(cfg.Statements); err != nil {
		return fmt.Errorf("installation: statement.%w", err)
	}
	return nil
}

// openPeering creates the links to other front ends, if a fleet is configured.
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

// setBufferBudgets limits the bytes buffered by all client connections, and by all engine connections.
func (s *Server) setBufferBudgets() {
	s.listener.bufferBudget.Max = s.cfg.BufferBytes()
	s.pool.bufferBudget.Max = s.cfg.BufferBytes()
}

// isDraining reports whether a graceful shutdown has begun.
func (s *Server) isDraining() bool { return s.lifecycle.Phase() >= gateway.Draining }

// Run serves until a graceful shutdown is complete, and then prints the counters. It returns an error if a socket
// cannot be opened or the event loop fails. Run may be called once.
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

// start applies the cached endpoint list and opens the sockets.
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

// advanceLifecycle continues a graceful shutdown as far as its phases are complete.
func (s *Server) advanceLifecycle() {
	phase := s.lifecycle.Phase()
	if phase == gateway.Answering {
		s.listener.closeIdle()
	}
	now := s.lifecycle.Advance(s.host.TurnTime, s.isQuiet(phase))
	if now == phase {
		return
	}
	slog.Info("lifecycle phase changed", slog.String("phase", now.String()))
	if phase < gateway.Closing && now >= gateway.Closing {
		s.listener.Ready(0) // serves the connections that are still in the listen queue
		s.listener.close()
	}
}

// isQuiet reports whether no request is in flight, no client is connected and the other front ends need nothing more
// from this one.
func (s *Server) isQuiet(phase gateway.Phase) bool {
	if !s.core.Idle() || len(s.listener.clients) > 0 {
		return false
	}
	return s.peering == nil || phase == gateway.Answering && s.peering.Released()
}

// runTurn waits for events, reads all that is ready, handles messages of clients for a limited time and runs one step
// of the core.
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
	s.listener.queueDeferred()
	s.host.Loop.Dispatch(ready)
	s.listener.handleMessages()
	if s.host.TurnTime >= s.nextTickAt {
		s.nextTickAt = s.host.TurnTime + eventloop.TickInterval
		s.tick()
	}
	s.stepCore()
	duration := s.host.Clock.Now() - s.host.TurnTime
	s.host.Counters.LongestTurn = max(s.host.Counters.LongestTurn, int(duration))
	return nil
}

// awaitTurn sleeps until the minimum interval between two turns has passed.
func (s *Server) awaitTurn() {
	remaining := s.host.TurnTime + eventloop.MinTurnInterval - s.host.Clock.Now()
	if remaining > 0 {
		interval := unix.NsecToTimespec(remaining * nanosecondsPerMicro)
		_ = unix.Nanosleep(&interval, nil) // a signal may shorten the sleep, which is harmless
	}
}

// nextTurnAt returns when the next turn is due even if no socket is ready.
func (s *Server) nextTurnAt() monotime.Micros {
	at := s.nextTickAt
	if coreAt, ok := s.core.NextTimer(); ok {
		at = min(at, coreAt)
	}
	if len(s.listener.deferred) > 0 || s.listener.messages.Len() > 0 || s.core.HasEvents() {
		at = s.host.TurnTime
	}
	return at
}

// tick handles the timeouts of all components.
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

// stepCore runs one step of the core. Before it, pending actions from the fleet are carried out; after it, those that
// the step caused.
func (s *Server) stepCore() {
	if s.peering != nil {
		s.peering.CarryOut()
	}
	s.core.Step(s.host.TurnTime)
	if s.peering != nil {
		s.peering.CarryOut()
	}
}
