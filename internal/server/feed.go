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

const discoveryDialTimeout = 1000 * monotime.Millisecond // for a connection to come up

// discoveryWatch is the connection to the journal service. It is made again whenever it breaks or falls silent,
// from the last event known: what the journal tells counts as told soon after, heard or not.
type discoveryWatch struct {
	eventloop.Stream
	server       *Server
	follower     discovery.Follower
	backoff      *discovery.Backoff
	connecting   bool
	lastActivity monotime.Micros // of the last sign of life, or of the last try
	readTimeout  monotime.Micros // that this connection may keep
	retryAt      monotime.Micros // when to try again, while there is none
}

func newDiscoveryWatch(s *Server) *discoveryWatch {
	names := discovery.Names{Zones: s.cfg.Settings.Zones}
	for _, k := range s.cfg.Settings.Kinds {
		names.Kinds = append(names.Kinds, k.Name)
	}
	f := &discoveryWatch{server: s, follower: discovery.Follower{Names: names, Last: s.cfg.LastPos}, backoff: discovery.NewBackoff(s.cfg.Seed)}
	f.Closed = true
	return f
}

func (f *discoveryWatch) connect() {
	f.lastActivity, f.readTimeout = f.server.host.TurnTime, f.backoff.ReadTimeout()
	fd, err := eventloop.Dial(f.server.cfg.Journal)
	if err != nil {
		f.disconnect(err)
		return
	}
	f.server.host.Counters.Reconnected++
	f.Stream = eventloop.NewStream(f.server.host.Loop, fd, discovery.MaxFrame, 64, &ring.Budget{Most: discovery.MaxFrame + 64})
	f.connecting, f.Interest = true, unix.EPOLLOUT
	if err := f.server.host.Loop.Add(fd, f.Interest, f); err != nil {
		f.disconnect(err)
	}
}

// disconnect ends a connection; the next is tried for after a while of this process's own.
func (f *discoveryWatch) disconnect(why error) {
	slog.Warn("journal", "error", why)
	f.Close()
	f.retryAt = f.server.host.TurnTime + f.backoff.NextDelay()
}

// reconnect leaves the journal service's old address for the one now in force, and goes on from the last event.
func (f *discoveryWatch) reconnect() {
	f.Close()
	f.connect()
}

var (
	errWatchTimeout = errors.New("it is silent")
	errWatchClosed  = errors.New("it ended the connection")
)

func (f *discoveryWatch) tick() {
	age := f.server.host.TurnTime - f.lastActivity
	switch {
	case f.Closed && f.server.host.TurnTime >= f.retryAt:
		f.connect()
	case !f.Closed && (age >= f.readTimeout || f.connecting && age >= discoveryDialTimeout):
		f.disconnect(errWatchTimeout)
	}
}

func (f *discoveryWatch) Ready(events uint32) {
	if f.connecting {
		if err := eventloop.DialResult(f.FD); err != nil {
			f.disconnect(err)
			return
		}
		f.connecting = false
		if _, err := f.Out.Write(discovery.Hello(f.follower.Last)); err != nil {
			f.disconnect(err)
			return
		}
	}
	if err := f.Flush(); err != nil {
		f.disconnect(err)
		return
	}
	f.UpdateInterest(true)
	if events&^unix.EPOLLOUT == 0 {
		return
	}
	more := f.Fill()
	for {
		e, news, ok, err := f.follower.Next(f.In)
		if err != nil {
			f.server.host.Counters.OddEvents++
			f.disconnect(err)
			return
		}
		if !ok {
			break
		}
		f.lastActivity = f.server.host.TurnTime
		f.backoff.Reset()
		f.server.host.Counters.Frames++
		f.server.lifecycle.Reloaded()
		if news {
			f.server.updateEndpoints(e)
		}
	}
	if !more {
		f.disconnect(errWatchClosed)
	}
}

// updateEndpoints hands an event of the journal to the pool and the core.
func (s *Server) updateEndpoints(e discovery.Event) {
	s.pool.updateEndpoints(e)
	entries := make([]scheduler.Endpoint, len(e.Engines))
	for i, en := range e.Engines {
		entries[i] = en.Endpoint
	}
	s.core.UpdateEndpoints(e.Kind, entries)
}
