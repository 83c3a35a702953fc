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

// watch collects how long changes take to reach the last hollow front end alive.
type watch struct {
	mu         sync.Mutex
	openStarts int // that have not reached all yet
	openEnds   int
	starts     []time.Duration // of processes that have started
	ends       []time.Duration // of processes that are gone
}

// started is a process of a front end that has just started.
type started struct {
	incarnation uint64
	at          monotime.Micros
}

// seedStep keeps the seeds of a run's processes apart from those of other runs.
const seedStep = 1_000_003

// wall is the time that workers' clocks count by too.
func wall() monotime.Micros { return time.Now().UnixMicro() }

// start starts a front end; its time is when its process was there.
func (r *run) start(f *front) error {
	if p := r.processOf(f); p != nil {
		at := wall()
		incarnation, err := p.start()
		if err == nil {
			r.running[f] = started{incarnation, at}
		}
		return err
	}
	reply, err := r.hollowsOf(f).ask(r.startOf(f))
	if err == nil {
		r.running[f] = started{reply.Incarnation, reply.At}
	}
	return err
}

// startOf is the request to start a hollow front end.
func (r *run) startOf(f *front) request {
	r.starts++
	q := request{Op: opStart, Member: f.name, Seed: r.o.Shape.Seed*seedStep + r.starts}
	if f.attached {
		q.Zone = f.zone
	}
	return q
}

// startAll starts all hollow front ends without waiting for one before the next.
func (r *run) startAll() error {
	type outcome struct {
		f     *front
		reply reply
	}
	order := r.startOrder()
	outcomes := make(chan outcome, len(order))
	began := time.Now()
	for i, f := range order {
		time.Sleep(time.Until(began.Add(r.o.Over * time.Duration(i) / time.Duration(len(order)))))
		if err := r.hollowsOf(f).send(r.startOf(f), func(reply reply) { outcomes <- outcome{f, reply} }); err != nil {
			return err
		}
	}
	late := time.After(replyWait)
	for range order {
		select {
		case o := <-outcomes:
			if o.reply.Error != "" {
				return fmt.Errorf("start %s: %s", o.f.name, o.reply.Error)
			}
			r.running[o.f] = started{o.reply.Incarnation, o.reply.At}
		case <-late:
			return errWorkerSilent
		}
	}
	return nil
}

// startOrder is all hollow front ends, one of each process after the other: control members first where all start over a span.
func (r *run) startOrder() (order []*front) {
	for n := 0; ; n++ {
		before := len(order)
		for _, h := range r.hollows {
			if n < len(h.fronts) {
				order = append(order, h.fronts[n])
			}
		}
		if len(order) == before {
			break
		}
	}
	if r.o.Over > 0 {
		slices.SortStableFunc(order, func(a, b *front) int { return cmp.Compare(role(a), role(b)) })
	}
	return order
}

// role orders control members before those that attach to them.
func role(f *front) int {
	if f.attached {
		return 1
	}
	return 0
}

// kill ends a front end without a word; it gives when.
func (r *run) kill(f *front) (at monotime.Micros, err error) {
	delete(r.running, f)
	if p := r.processOf(f); p != nil {
		at = wall()
		p.kill()
		return at, nil
	}
	reply, err := r.hollowsOf(f).ask(request{Op: opKill, Member: f.name})
	return reply.At, err
}

// pause has a front end stand still for a span.
func (r *run) pause(f *front, span time.Duration) error {
	if p := r.processOf(f); p != nil {
		return p.stop(span)
	}
	_, err := r.hollowsOf(f).ask(request{Op: opPause, Member: f.name, Span: span.Microseconds()})
	return err
}

// follow notes when a change, that was at a time, has reached all hollow front ends.
func (r *run) follow(change peering.Change, at monotime.Micros) error {
	left, last := len(r.hollows), at
	var mu sync.Mutex
	r.watch.begun(change.Removed)
	for _, h := range r.hollows {
		err := h.send(request{Op: opAwait, Change: &change}, func(reply reply) {
			mu.Lock()
			defer mu.Unlock()
			left--
			last = max(last, reply.SeenAt)
			if left == 0 {
				r.watch.reached(change.Removed, time.Duration(last-at)*time.Microsecond)
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *watch) begun(gone bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if gone {
		w.openEnds++
	} else {
		w.openStarts++
	}
}

func (w *watch) reached(gone bool, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if gone {
		w.openEnds--
		w.ends = append(w.ends, took)
	} else {
		w.openStarts--
		w.starts = append(w.starts, took)
	}
}

// settle waits until all changes so far have reached all, for a while.
func (w *watch) settle() (unreached int) {
	for until := time.Now().Add(changeWait); time.Now().Before(until); time.Sleep(pollEvery) {
		w.mu.Lock()
		unreached = w.openStarts + w.openEnds
		w.mu.Unlock()
		if unreached == 0 {
			break
		}
	}
	return unreached
}

// unseen says who has not seen which change, in words.
func (r *run) unseen() (list []string) {
	for _, h := range r.hollows {
		reply, err := h.ask(request{Op: opWaiting})
		if err != nil {
			continue // a note is all that is lost
		}
		for _, one := range reply.Waiting {
			list = append(list, "not seen: "+one)
		}
	}
	return list
}

// lose kills a front end and follows its end.
func (r *run) lose(f *front) error {
	process, runs := r.running[f]
	if !runs {
		return nil
	}
	at, err := r.kill(f)
	if err != nil {
		return err
	}
	return r.follow(peering.Change{Name: f.name, Incarnation: process.incarnation, Removed: true}, at)
}

// bring starts a front end that doesn't run and follows its start.
func (r *run) bring(f *front) error {
	if _, runs := r.running[f]; runs {
		return nil
	}
	if err := r.start(f); err != nil {
		return err
	}
	s := r.running[f]
	return r.follow(peering.Change{Name: f.name, Incarnation: s.incarnation}, s.at)
}

// restart ends a front end and starts it as another process at once.
func (r *run) restart(f *front) error {
	if _, runs := r.running[f]; runs {
		if _, err := r.kill(f); err != nil {
			return err
		}
	}
	return r.bring(f)
}
