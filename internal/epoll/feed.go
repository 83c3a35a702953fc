package epoll

import (
	"log/slog"

	"golang.org/x/sys/unix"

	"chutechute/decide"
	"chutechute/internal/journal"
	"chutechute/internal/ring"
)

const (
	feedSilent = 2500 * ms // an empty frame comes each second
	feedRetry  = 200 * ms
	feedDial   = 1000 * ms
)

// feed is the connection to the journal service. It is made again whenever it breaks or falls silent,
// from the last event known: what the journal tells counts as told soon after, heard or not.
type feed struct {
	stream
	s          *Server
	names      journal.Names
	last       uint64
	connecting bool
	since      Micros // of the last sign of life, or of the last try
}

func newFeed(s *Server) *feed {
	f := &feed{s: s, last: s.cfg.LastPos, names: journal.Names{Zones: s.cfg.Settings.Zones}}
	for _, k := range s.cfg.Settings.Kinds {
		f.names.Kinds = append(f.names.Kinds, k.Name)
	}
	f.closed = true
	return f
}

func (f *feed) connect() {
	f.since = f.s.now
	fd, err := dial(f.s.cfg.Journal)
	if err != nil {
		slog.Warn("journal", "error", err)
		return
	}
	f.s.count.Reconnected++
	f.stream = newStream(f.s.loop, fd, journal.MaxFrame, 64, &ring.Budget{Most: journal.MaxFrame + 64})
	f.connecting, f.want = true, unix.EPOLLOUT
	if err := f.s.loop.add(fd, f.want, f); err != nil {
		slog.Warn("journal", "error", err)
		f.close()
	}
}

// move leaves the journal service's old address for the one now in force, and goes on from the last event.
func (f *feed) move() {
	f.close()
	f.connect()
}

func (f *feed) tick() {
	age := f.s.now - f.since
	switch {
	case f.closed && age >= feedRetry:
		f.connect()
	case !f.closed && (age >= feedSilent || f.connecting && age >= feedDial):
		slog.Warn("journal is silent")
		f.close()
		f.connect()
	}
}

func (f *feed) ready(events uint32) {
	if f.connecting {
		if err := dialled(f.fd); err != nil {
			slog.Warn("journal", "error", err)
			f.close()
			return
		}
		f.connecting = false
		if _, err := f.out.Write(journal.Hello(f.last)); err != nil {
			f.close()
			return
		}
	}
	if err := f.flush(); err != nil {
		f.close()
		return
	}
	f.watch(true)
	if events&^unix.EPOLLOUT == 0 {
		return
	}
	more := f.fill()
	for {
		e, news, ok, err := f.names.Next(f.in)
		if err != nil {
			slog.Warn("journal", "error", err)
			f.s.count.Malformed++
			f.close()
			return
		}
		if !ok {
			break
		}
		f.since = f.s.now
		f.s.count.Frames++
		f.s.life.Reloaded()
		if news && e.Number > f.last {
			f.last = e.Number
			f.s.listed(e)
		}
	}
	if !more {
		f.close()
	}
}

// listed hands an event of the journal to the pool and the core.
func (s *Server) listed(e journal.Event) {
	s.pool.listed(e)
	entries := make([]decide.Entry, len(e.Engines))
	for i, en := range e.Engines {
		entries[i] = en.Entry
	}
	s.core.Listed(e.Kind, entries)
}
