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

// worker runs hollow front ends and carries out requests. It is a process of the tool, or runs within the measuring
// process.
type worker struct {
	hollow        *peering.Hollow
	replies       *json.Encoder
	fleetSection  *config.Fleet
	siteSettings  *settings.Settings
	names         []string        // of the running front ends
	killedTraffic peering.Traffic // of killed front ends
	replyErr      error           // the first error of writing a reply
}

// RunWorker runs a worker: it reads requests from in, one per line, and writes replies to out. It returns after opEnd,
// at the end of in, or after maxDuration.
func RunWorker(in io.Reader, out io.Writer, maxDuration time.Duration) error {
	hollow, err := peering.NewHollow()
	if err != nil {
		return err
	}
	defer hollow.Close()
	parsed, err := settings.Parse([]byte(site.Settings))
	if err != nil {
		return fmt.Errorf("sockets: %w", err)
	}
	w := &worker{hollow: hollow, replies: json.NewEncoder(out), siteSettings: parsed}
	go w.readRequests(in)
	if err := hollow.Run(hollow.Now() + maxDuration.Microseconds()); err != nil {
		return err
	}
	return w.replyErr
}

// readRequests posts each request to the loop. It stops the loop at the end of in.
func (w *worker) readRequests(in io.Reader) {
	decoder := json.NewDecoder(in)
	for {
		var q request
		if err := decoder.Decode(&q); err != nil {
			w.hollow.Stop()
			return
		}
		w.hollow.Post(func() { w.handle(&q) })
	}
}

// reply writes a reply. It stops the loop if that fails, since the replies are no longer read.
func (w *worker) reply(r reply) {
	r.At = w.hollow.Now()
	if err := w.replies.Encode(r); err != nil && w.replyErr == nil {
		w.replyErr = fmt.Errorf("sockets: reply: %w", err)
		w.hollow.Stop()
	}
}

// handle carries out a request and replies, for opAwait once all front ends have seen the change.
func (w *worker) handle(q *request) {
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
		r.Waiting = w.describePending()
	case opEnd:
		w.hollow.Stop()
	default:
		err = fmt.Errorf("sockets: unknown operation %q", q.Op)
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
	w.fleetSection = &installation.Fleet
	return nil
}

var errNoSetup = errors.New("sockets: start requested before setup")

func (w *worker) start(q *request) (incarnation uint64, err error) {
	if w.fleetSection == nil {
		return 0, errNoSetup
	}
	section := *w.fleetSection
	section.Zone = q.Zone
	peers, err := section.Options(q.Member, w.siteSettings, site.MemoryLimitMB)
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
	w.killedTraffic = w.killedTraffic.Plus(traffic)
	for i, n := range w.names {
		if n == name {
			w.names = append(w.names[:i], w.names[i+1:]...)
			break
		}
	}
	return nil
}

// figures collects garbage and reads the memory before it reads the processor time, so that the time of the garbage
// collection is not counted in the idle span that follows.
func (w *worker) figures(collect bool) (*figures, error) {
	resident, heap, err := ownMemory(collect)
	f := &figures{CPU: ownCPU(), Resident: resident, Heap: heap, Traffic: w.killedTraffic, Members: len(w.names),
		LongestTurn: w.hollow.LongestTurn()}
	for _, name := range w.names {
		traffic, _ := w.hollow.Traffic(name)
		f.Traffic = f.Traffic.Plus(traffic)
		f.Connections += w.hollow.Connections(name)
	}
	return f, err
}

// describePending lists the changes that some front ends here have not seen, with the names of these front ends.
func (w *worker) describePending() (list []string) {
	for change, names := range w.hollow.PendingChanges() {
		event := "start"
		if change.Removed {
			event = "end"
		}
		list = append(list, fmt.Sprintf("%s of %s: %s", event, change.Name, strings.Join(names, " ")))
	}
	slices.Sort(list)
	return list
}
