package server

import (
	"errors"
	"log/slog"

	"golang.org/x/sys/unix"

	"chutechute/internal/discovery"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/ring"
	"chutechute/scheduler"
)

const (
	discoveryDialTimeout = 1000 * monotime.Millisecond
	maxHelloSize         = 64 // bytes
)

// Reasons for which a watch is closed.
var (
	errWatchTimeout = errors.New("server: discovery watch: read timeout")
	errWatchClosed  = errors.New("server: discovery watch: closed by the service")
)

// discoveryWatch is the connection to the discovery service (the journal service of the settings). It is opened again
// whenever it breaks or is unresponsive, from the last event known: what the service sends counts as known soon after,
// received or not.
type discoveryWatch struct {
	eventloop.Stream
	server       *Server
	follower     discovery.Follower
	backoff      *discovery.Backoff
	dialing      bool
	lastActivity monotime.Micros // the last frame, or the dial
	readTimeout  monotime.Micros // of this connection
	retryAt      monotime.Micros // when to dial again, while there is no connection
}

// newDiscoveryWatch returns a watch that is not connected yet.
func newDiscoveryWatch(s *Server) *discoveryWatch {
	names := discovery.Names{Zones: s.cfg.Settings.Zones}
	for _, kind := range s.cfg.Settings.Kinds {
		names.Kinds = append(names.Kinds, kind.Name)
	}
	w := &discoveryWatch{
		server:   s,
		follower: discovery.Follower{Names: names, LastEvent: s.cfg.LastKnownPosition},
		backoff:  discovery.NewBackoff(s.cfg.Seed),
	}
	w.Closed = true
	return w
}

// connect dials the service's address.
func (w *discoveryWatch) connect() {
	host := &w.server.host
	w.lastActivity, w.readTimeout = host.TurnTime, w.backoff.ReadTimeout()
	fd, err := eventloop.Dial(w.server.cfg.Discovery)
	if err != nil {
		w.disconnect(err)
		return
	}
	host.Counters.DiscoveryDials++
	budget := &ring.Budget{Max: discovery.MaxFrame + maxHelloSize}
	w.Stream = eventloop.NewStream(host.Loop, fd, discovery.MaxFrame, maxHelloSize, budget)
	w.dialing, w.Interest = true, unix.EPOLLOUT
	if err := host.Loop.Add(fd, w.Interest, w); err != nil {
		w.disconnect(err)
	}
}

// disconnect closes a connection; the next is dialled after a delay of this process's own.
func (w *discoveryWatch) disconnect(cause error) {
	slog.Warn("discovery watch disconnected", slog.Any("error", cause))
	w.Close()
	w.retryAt = w.server.host.TurnTime + w.backoff.NextDelay()
}

// reconnect moves from the service's former address to the one now in force, and goes on from the last event.
func (w *discoveryWatch) reconnect() {
	w.Close()
	w.connect()
}

// tick dials again once the delay is over, and closes a connection that is unresponsive.
func (w *discoveryWatch) tick() {
	now := w.server.host.TurnTime
	age := now - w.lastActivity
	switch {
	case w.Closed && now >= w.retryAt:
		w.connect()
	case !w.Closed && (age >= w.readTimeout || w.dialing && age >= discoveryDialTimeout):
		w.disconnect(errWatchTimeout)
	}
}

// Ready completes a dial, writes what is left of the hello, and reads the events that have come.
func (w *discoveryWatch) Ready(events uint32) {
	if w.dialing {
		if err := w.finishDial(); err != nil {
			w.disconnect(err)
			return
		}
	}
	if err := w.Flush(); err != nil {
		w.disconnect(err)
		return
	}
	w.UpdateInterest(true)
	if !isReadable(events) {
		return
	}
	if err := w.readEvents(); err != nil {
		w.disconnect(err)
	}
}

// finishDial buffers the hello once the connection is established.
func (w *discoveryWatch) finishDial() error {
	if err := eventloop.DialResult(w.FD); err != nil {
		return err
	}
	w.dialing = false
	_, err := w.Out.Write(discovery.Hello(w.follower.LastEvent))
	return err
}

// readEvents applies all events that have come whole. An error says why the connection has to end.
func (w *discoveryWatch) readEvents() error {
	more := w.Fill()
	for {
		event, isNew, ok, err := w.follower.Next(w.In)
		if err != nil {
			w.server.host.Counters.MalformedEvents++
			return err
		}
		if !ok {
			break
		}
		w.lastActivity = w.server.host.TurnTime
		w.backoff.Reset()
		w.server.host.Counters.DiscoveryFrames++
		w.server.lifecycle.Reloaded()
		if isNew {
			w.server.updateEndpoints(event)
		}
	}
	if !more {
		return errWatchClosed
	}
	return nil
}

// updateEndpoints hands an event of the discovery service to the engine pool and the core.
func (s *Server) updateEndpoints(event discovery.Event) {
	s.pool.updateEndpoints(event)
	endpoints := make([]scheduler.Endpoint, len(event.Engines))
	for i, engine := range event.Engines {
		endpoints[i] = engine.Endpoint
	}
	s.core.UpdateEndpoints(event.Kind, endpoints)
}
