package sockets

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"chutechute/internal/monotime"
	"chutechute/internal/peering"
)

// changeTracker records how long changes take to be seen by all running hollow front ends.
type changeTracker struct {
	mu            sync.Mutex
	pendingStarts int // number of changes that not all have seen yet
	pendingEnds   int
	starts        []time.Duration // of starts of processes that all have seen
	ends          []time.Duration // of ends of processes that all have seen
}

// processStart identifies the running process of a front end, and has the time of its start.
type processStart struct {
	incarnation uint64
	at          monotime.Micros
}

// seedStride separates the seeds of one run's processes from those of runs with other seeds.
const seedStride = 1_000_003

// unixMicros returns the time in microseconds of Unix time, which the workers' clocks use too.
func unixMicros() monotime.Micros { return time.Now().UnixMicro() }

// start starts a front end. The recorded time is before the start for a process of the program, and the time of the
// worker's reply for a hollow front end.
func (r *run) start(f *frontEnd) error {
	if p := r.processOf(f); p != nil {
		at := unixMicros()
		incarnation, err := p.start()
		if err == nil {
			r.running[f] = processStart{incarnation, at}
		}
		return err
	}
	reply, err := r.workerOf(f).call(r.startRequest(f))
	if err == nil {
		r.running[f] = processStart{reply.Incarnation, reply.At}
	}
	return err
}

// startRequest returns the request to start a hollow front end.
func (r *run) startRequest(f *frontEnd) request {
	r.startCount++
	q := request{Op: opStart, Member: f.name, Seed: r.opts.Shape.Seed*seedStride + r.startCount}
	if f.attached {
		q.Zone = f.zone
	}
	return q
}

// startAll starts all hollow front ends. It sends the requests without waiting for replies in between.
func (r *run) startAll() error {
	type outcome struct {
		f     *frontEnd
		reply reply
	}
	order := r.startOrder()
	outcomes := make(chan outcome, len(order))
	start := time.Now()
	for i, f := range order {
		time.Sleep(time.Until(start.Add(r.opts.StartSpread * time.Duration(i) / time.Duration(len(order)))))
		if err := r.workerOf(f).send(r.startRequest(f), func(reply reply) { outcomes <- outcome{f, reply} }); err != nil {
			return err
		}
	}
	timeout := time.After(replyTimeout)
	for range order {
		select {
		case o := <-outcomes:
			if o.reply.Error != "" {
				return fmt.Errorf("start %s: %s", o.f.name, o.reply.Error)
			}
			r.running[o.f] = processStart{o.reply.Incarnation, o.reply.At}
		case <-timeout:
			return errReplyTimeout
		}
	}
	return nil
}

// startOrder returns all hollow front ends, taking one of each worker in turn. If the starts are spread over a time,
// control members come first, since the others attach to them.
func (r *run) startOrder() (order []*frontEnd) {
	for n := 0; ; n++ {
		before := len(order)
		for _, h := range r.workers {
			if n < len(h.frontEnds) {
				order = append(order, h.frontEnds[n])
			}
		}
		if len(order) == before {
			break
		}
	}
	if r.opts.StartSpread > 0 {
		slices.SortStableFunc(order, func(a, b *frontEnd) int { return cmp.Compare(roleOrder(a), roleOrder(b)) })
	}
	return order
}

// roleOrder is a sort key that puts control members before attached front ends.
func roleOrder(f *frontEnd) int {
	if f.attached {
		return 1
	}
	return 0
}

// kill ends a front end without a shutdown, and returns the time.
func (r *run) kill(f *frontEnd) (at monotime.Micros, err error) {
	delete(r.running, f)
	if p := r.processOf(f); p != nil {
		at = unixMicros()
		p.kill()
		return at, nil
	}
	reply, err := r.workerOf(f).call(request{Op: opKill, Member: f.name})
	return reply.At, err
}

// pause stops a front end for a duration.
func (r *run) pause(f *frontEnd, d time.Duration) error {
	if p := r.processOf(f); p != nil {
		return p.pause(d)
	}
	_, err := r.workerOf(f).call(request{Op: opPause, Member: f.name, Span: d.Microseconds()})
	return err
}

// trackChange records how long a change that happened at a given time takes to be seen by all hollow front ends.
func (r *run) trackChange(change peering.Change, at monotime.Micros) error {
	remaining, last := len(r.workers), at
	var mu sync.Mutex
	r.tracker.begin(change.Removed)
	for _, h := range r.workers {
		err := h.send(request{Op: opAwait, Change: &change}, func(reply reply) {
			mu.Lock()
			defer mu.Unlock()
			remaining--
			last = max(last, reply.SeenAt)
			if remaining == 0 {
				r.tracker.finish(change.Removed, time.Duration(last-at)*time.Microsecond)
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (t *changeTracker) begin(removed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if removed {
		t.pendingEnds++
	} else {
		t.pendingStarts++
	}
}

func (t *changeTracker) finish(removed bool, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if removed {
		t.pendingEnds--
		t.ends = append(t.ends, took)
	} else {
		t.pendingStarts--
		t.starts = append(t.starts, took)
	}
}

// awaitAll waits until all front ends have seen all changes so far, for changeTimeout at most. It returns the number of
// changes that some have not seen.
func (t *changeTracker) awaitAll() (unreached int) {
	for until := time.Now().Add(changeTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		t.mu.Lock()
		unreached = t.pendingStarts + t.pendingEnds
		t.mu.Unlock()
		if unreached == 0 {
			break
		}
	}
	return unreached
}

// describePending lists the changes that some front ends have not seen, with the names of these front ends.
func (r *run) describePending() (list []string) {
	for _, h := range r.workers {
		reply, err := h.call(request{Op: opWaiting})
		if err != nil {
			continue // only a note of the result is missing
		}
		for _, pending := range reply.Waiting {
			list = append(list, "not seen: "+pending)
		}
	}
	return list
}

// killAndTrack kills a front end, if it is running, and tracks its end.
func (r *run) killAndTrack(f *frontEnd) error {
	process, ok := r.running[f]
	if !ok {
		return nil
	}
	at, err := r.kill(f)
	if err != nil {
		return err
	}
	return r.trackChange(peering.Change{Name: f.name, Incarnation: process.incarnation, Removed: true}, at)
}

// startAndTrack starts a front end, if it is not running, and tracks its start.
func (r *run) startAndTrack(f *frontEnd) error {
	if _, ok := r.running[f]; ok {
		return nil
	}
	if err := r.start(f); err != nil {
		return err
	}
	s := r.running[f]
	return r.trackChange(peering.Change{Name: f.name, Incarnation: s.incarnation}, s.at)
}

// restartAndTrack kills a front end and starts it as a new process at once. Only the start is tracked.
func (r *run) restartAndTrack(f *frontEnd) error {
	if _, ok := r.running[f]; ok {
		if _, err := r.kill(f); err != nil {
			return err
		}
	}
	return r.startAndTrack(f)
}
