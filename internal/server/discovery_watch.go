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

// Reasons for closing the watch.
var (
	errWatchTimeout = errors.New("server: discovery watch: read timeout")
	errWatchClosed  = errors.New("server: discovery watch: closed by the service")
)

// discoveryWatch is the connection to the discovery service ("journal" in the settings). When the connection breaks or
// is unresponsive, a new one resumes from the last known event. Reconnecting must be fast, since a front end is
// expected to know an event soon after it was sent, whether or not it was received.
type discoveryWatch struct {
	eventloop.Stream
	server       *Server
	follower     discovery.Follower
	backoff      *discovery.Backoff
	dialing      bool
	lastActivity monotime.Micros // when the last frame was received, or the dial started
	readTimeout  monotime.Micros // for the current connection
	retryAt      monotime.Micros // when to dial again if there is no connection
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

// connect dials the discovery service.
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

// disconnect closes the connection. The next dial follows after a random delay that differs between front ends.
func (w *discoveryWatch) disconnect(cause error) {
	slog.Warn("discovery watch disconnected", slog.Any("error", cause))
	w.Close()
	w.retryAt = w.server.host.TurnTime + w.backoff.NextDelay()
}

// reconnect connects to the address now configured for the service and resumes from the last event.
func (w *discoveryWatch) reconnect() {
	w.Close()
	w.connect()
}

// tick dials again after the delay and closes an unresponsive connection.
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

// Ready completes a dial, writes the rest of the hello and reads the received events.
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

// finishDial adds the hello to the output once the connection is established.
func (w *discoveryWatch) finishDial() error {
	if err := eventloop.DialResult(w.FD); err != nil {
		return err
	}
	w.dialing = false
	_, err := w.Out.Write(discovery.Hello(w.follower.LastEvent))
	return err
}

// readEvents applies all events that were received completely. It returns an error if the connection must be closed.
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

// updateEndpoints passes an event of the discovery service to the engine pool and the core.
func (s *Server) updateEndpoints(event discovery.Event) {
	event.Engines = append(event.Engines, s.pool.replacedEngines(event)...)
	s.pool.updateEndpoints(event)
	endpoints := make([]scheduler.Endpoint, len(event.Engines))
	for i, engine := range event.Engines {
		endpoints[i] = engine.Endpoint
	}
	s.core.UpdateEndpoints(event.Kind, endpoints)
}
