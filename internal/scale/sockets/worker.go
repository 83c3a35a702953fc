package sockets

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"chutechute/internal/config"
	"chutechute/internal/monotime"
	"chutechute/internal/peering"
	"chutechute/internal/settings"
	"chutechute/internal/testharness/site"
)

// worker is a process of hollow front ends, or one within a test.
type worker struct {
	hollow  *peering.Hollow
	replies *json.Encoder
	section *config.Fleet
	site    *settings.Settings
	names   []string        // of the front ends that run
	ended   peering.Traffic // of those that were killed
	failure error           // of writing a reply
}

// Work carries out requests from in, a line each, and replies on out, until the end is asked for, in ends, or most has passed.
func Work(in io.Reader, out io.Writer, most time.Duration) error {
	hollow, err := peering.NewHollow()
	if err != nil {
		return err
	}
	defer hollow.Close()
	parsed, err := settings.Parse([]byte(site.Settings))
	if err != nil {
		return fmt.Errorf("sockets: %w", err)
	}
	w := &worker{hollow: hollow, replies: json.NewEncoder(out), site: parsed}
	go w.read(in)
	if err := hollow.Run(hollow.Now() + most.Microseconds()); err != nil {
		return err
	}
	return w.failure
}

// read hands requests to the loop.
func (w *worker) read(in io.Reader) {
	decoder := json.NewDecoder(in)
	for {
		var q request
		if err := decoder.Decode(&q); err != nil {
			w.hollow.Stop()
			return
		}
		w.hollow.Post(func() { w.take(&q) })
	}
}

// reply writes a reply; the loop stops where that fails, since nobody listens any more.
func (w *worker) reply(r reply) {
	r.At = w.hollow.Now()
	if err := w.replies.Encode(r); err != nil && w.failure == nil {
		w.failure = fmt.Errorf("sockets: reply: %w", err)
		w.hollow.Stop()
	}
}

// take carries out one request.
func (w *worker) take(q *request) {
	r := reply{ID: q.ID}
	var err error
	switch q.Op {
	case opSetup:
		err = w.setup(q.Section)
	case opStart:
		r.Incarnation, err = w.start(q)
	case opKill:
		err = w.kill(q.Member)
	case opPause:
		err = w.hollow.Pause(q.Member, w.hollow.Now()+q.Span)
	case opSeen:
		r.Seen, r.Least = w.hollow.CountComplete(q.Total)
	case opFigures:
		r.Figures, err = w.figures(q.Collect)
	case opAwait:
		w.hollow.AwaitChange(*q.Change, func(seen monotime.Micros) { w.reply(reply{ID: q.ID, SeenAt: seen}) })
		return
	case opWaiting:
		r.Waiting = w.waiting()
	case opEnd:
		w.hollow.Stop()
	default:
		err = fmt.Errorf("sockets: unknown request %q", q.Op)
	}
	if err != nil {
		r.Error = err.Error()
	}
	w.reply(r)
}

func (w *worker) setup(section json.RawMessage) error {
	installation, err := config.ParseInstallation(section)
	if err != nil {
		return err
	}
	w.section = &installation.Fleet
	return nil
}

var errNoSetup = errors.New("sockets: start before setup")

func (w *worker) start(q *request) (incarnation uint64, err error) {
	if w.section == nil {
		return 0, errNoSetup
	}
	section := *w.section
	section.Zone = q.Zone
	peers, err := section.Options(q.Member, w.site, site.MemoryLimitMB)
	if err != nil {
		return 0, err
	}
	if incarnation, err = w.hollow.Start(peers, q.Seed); err == nil {
		w.names = append(w.names, q.Member)
	}
	return incarnation, err
}

func (w *worker) kill(name string) error {
	traffic, _ := w.hollow.Traffic(name)
	if err := w.hollow.Kill(name); err != nil {
		return err
	}
	w.ended = w.ended.Plus(traffic)
	for i, n := range w.names {
		if n == name {
			w.names = append(w.names[:i], w.names[i+1:]...)
			break
		}
	}
	return nil
}

// figures reads memory first: what a collection of garbage takes is not to count as idle.
func (w *worker) figures(collect bool) (*figures, error) {
	resident, heap, err := ownMemory(collect)
	f := &figures{CPU: ownCPU(), Resident: resident, Heap: heap, Traffic: w.ended, Members: len(w.names),
		LongestTurn: w.hollow.LongestTurn()}
	for _, name := range w.names {
		traffic, _ := w.hollow.Traffic(name)
		f.Traffic = f.Traffic.Plus(traffic)
		f.Connections += w.hollow.Connections(name)
	}
	return f, err
}

// waiting is who has not seen which change, in words.
func (w *worker) waiting() (list []string) {
	for change, names := range w.hollow.PendingChanges() {
		what := "start"
		if change.Removed {
			what = "end"
		}
		list = append(list, fmt.Sprintf("the %s of %s: %s", what, change.Name, strings.Join(names, " ")))
	}
	slices.Sort(list)
	return list
}
