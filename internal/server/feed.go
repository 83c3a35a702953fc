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

const feedDial = 1000 * monotime.Millisecond // for a connection to come up

// feed is the connection to the journal service. It is made again whenever it breaks or falls silent,
// from the last event known: what the journal tells counts as told soon after, heard or not.
type feed struct {
	eventloop.Stream
	s          *Server
	follower   discovery.Follower
	redial     *discovery.Backoff
	connecting bool
	since      monotime.Micros // of the last sign of life, or of the last try
	silence    monotime.Micros // that this connection may keep
	retryAt    monotime.Micros // when to try again, while there is none
}

func newFeed(s *Server) *feed {
	names := discovery.Names{Zones: s.cfg.Settings.Zones}
	for _, k := range s.cfg.Settings.Kinds {
		names.Kinds = append(names.Kinds, k.Name)
	}
	f := &feed{s: s, follower: discovery.Follower{Names: names, Last: s.cfg.LastPos}, redial: discovery.NewBackoff(s.cfg.Seed)}
	f.Closed = true
	return f
}

func (f *feed) connect() {
	f.since, f.silence = f.s.TurnTime, f.redial.ReadTimeout()
	fd, err := eventloop.Dial(f.s.cfg.Journal)
	if err != nil {
		f.lose(err)
		return
	}
	f.s.Counters.Reconnected++
	f.Stream = eventloop.NewStream(f.s.Loop, fd, discovery.MaxFrame, 64, &ring.Budget{Most: discovery.MaxFrame + 64})
	f.connecting, f.Interest = true, unix.EPOLLOUT
	if err := f.s.Loop.Add(fd, f.Interest, f); err != nil {
		f.lose(err)
	}
}

// lose ends a connection; the next is tried for after a while of this process's own.
func (f *feed) lose(why error) {
	slog.Warn("journal", "error", why)
	f.Close()
	f.retryAt = f.s.TurnTime + f.redial.NextDelay()
}

// move leaves the journal service's old address for the one now in force, and goes on from the last event.
func (f *feed) move() {
	f.Close()
	f.connect()
}

var (
	errFeedSilent = errors.New("it is silent")
	errFeedEnded  = errors.New("it ended the connection")
)

func (f *feed) tick() {
	age := f.s.TurnTime - f.since
	switch {
	case f.Closed && f.s.TurnTime >= f.retryAt:
		f.connect()
	case !f.Closed && (age >= f.silence || f.connecting && age >= feedDial):
		f.lose(errFeedSilent)
	}
}

func (f *feed) Ready(events uint32) {
	if f.connecting {
		if err := eventloop.DialResult(f.FD); err != nil {
			f.lose(err)
			return
		}
		f.connecting = false
		if _, err := f.Out.Write(discovery.Hello(f.follower.Last)); err != nil {
			f.lose(err)
			return
		}
	}
	if err := f.Flush(); err != nil {
		f.lose(err)
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
			f.s.Counters.OddEvents++
			f.lose(err)
			return
		}
		if !ok {
			break
		}
		f.since = f.s.TurnTime
		f.redial.Reset()
		f.s.Counters.Frames++
		f.s.life.Reloaded()
		if news {
			f.s.listed(e)
		}
	}
	if !more {
		f.lose(errFeedEnded)
	}
}

// listed hands an event of the journal to the pool and the core.
func (s *Server) listed(e discovery.Event) {
	s.pool.listed(e)
	entries := make([]scheduler.Endpoint, len(e.Engines))
	for i, en := range e.Engines {
		entries[i] = en.Endpoint
	}
	s.core.UpdateEndpoints(e.Kind, entries)
}
