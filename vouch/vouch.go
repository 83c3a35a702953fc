// Package vouch takes one front end's keyed loads through the fleet's record: it notes them, waits for their turn, asks
// before an attempt begins, has outcomes kept before clients hear of them, and has a repeat wait with the load that is there.
// It is the gateway's Record, and a stepped module: no I/O, no clock, no goroutines, no map order.
//
// What it sees to, beside what package loads states of the record:
//
//  1. Rows are told to a client only as the record has them: those of the first outcome that was committed.
//  2. A load that this front end can't start any more (denied, adopted, its client's time over) is never started by it later:
//     a grant that comes then is not used, and the record is told that nothing ran.
//  3. Refused is told only where no attempt of the load, as far as this front end can know, may have begun; and of the
//     refused call itself nothing ever will.
package vouch

import (
	"crypto/sha256"
	"log/slog"

	"chutechute/gateway"
	"chutechute/ledger"
	"chutechute/ledger/loads"
)

// Micros is a time or a span in microseconds of this machine's clock.
type Micros = gateway.Micros

// Asker puts questions to the record; see fleet.Node.
type Asker interface {
	Ask(now Micros, kind, version uint32, body []byte, done func(ledger.Answer)) (id uint64)
	Cancel(id uint64)
	Gone(incarnation uint64) bool
}

// Core is the gateway's part in what another front end has started.
type Core interface {
	Succeed(now Micros, s gateway.Succession) *gateway.Entry
}

// Config sets the spans.
type Config struct {
	Incarnation uint64
	Poll        Micros // between looks at a load that others hold, or whose turn has not come
	Patience    Micros // how long an outcome is offered to the record
	Full        Micros // when a load turned away for want of room may come back
}

// Desk is one front end's loads.
type Desk struct {
	cfg   Config
	ask   Asker
	core  Core
	now   Micros
	holds map[string]*hold
	order []*hold // those of holds, in the order in which they came
	// Conflicts counts repeats with another statement, Adopted loads taken over, Waited repeats that waited with another's.
	Conflicts, Adopted, Waited, Kept int
}

// hold is one load here, with all requests for it.
type hold struct {
	once    string
	key     string
	digest  []byte
	noted   bool // the record has said how it stands
	entries []*gateway.Entry
	runner  *gateway.Entry // whose request the core has
	mine    bool
	epoch   uint64
	phase   loads.Phase
	clean   bool   // it was seen as this front end's with nothing begun: what began since is of its runners
	asking  uint64 // the Take that is out; 0 without one
	ending  bool   // a Finish is out
	endedAt Micros
	end     uint64 // its question
	poll    Micros
	waited  bool
	call    string // the last Take's
	gone    bool
}

// New is a desk without loads.
func New(cfg Config, ask Asker, core Core) *Desk {
	return &Desk{cfg: cfg, ask: ask, core: core, holds: map[string]*hold{}}
}

// At sets the time for what comes before the next Tick.
func (d *Desk) At(now Micros) { d.now = now }

func digest(statement []byte) []byte {
	sum := sha256.Sum256(statement)
	return sum[:16]
}

// Enter notes a load that was taken.
func (d *Desk) Enter(now Micros, e *gateway.Entry) {
	d.now = now
	call := e.Call()
	h := d.holds[call.Once]
	if h != nil {
		e.Slot = h
		h.entries = append(h.entries, e)
		return // a conflict shows in the next tick, between the core's steps
	}
	h = &hold{once: call.Once, key: call.Key, digest: digest(call.Statement), entries: []*gateway.Entry{e}}
	e.Slot = h
	d.holds[call.Once] = h
	d.order = append(d.order, h)
	d.take(h, false)
}

func (d *Desk) put(c *loads.Command, done func(v loads.View, ok bool)) uint64 {
	return d.ask.Ask(d.now, 1, 1, c.Encode(), func(a ledger.Answer) {
		v, err := loads.DecodeView(a.Body)
		done(v, err == nil && a.Result == ledger.Committed)
	})
}

// take notes the load, or sees how it stands.
func (d *Desk) take(h *hold, adopt bool) {
	if h.asking != 0 || h.ending || len(h.entries) == 0 || d.behind(h) {
		return
	}
	h.poll = d.now + d.cfg.Poll
	e := h.entries[0]
	call := e.Call()
	h.call = call.ID
	h.asking = d.put(&loads.Command{Op: loads.Take, Once: h.once, Key: call.Key, Tenant: call.Tenant, Class: call.Class,
		Digest: h.digest, Call: call.ID, TTL: uint64(max(1, e.Deadline()-d.now)), Adopt: adopt},
		func(v loads.View, ok bool) {
			h.asking = 0
			d.taken(h, v, ok, adopt)
		})
}

// behind says whether an earlier load of the key has not been noted yet: what one front end takes stands in the record's
// line in that order, whatever becomes of messages.
func (d *Desk) behind(h *hold) bool {
	if h.noted || h.key == "" {
		return false
	}
	for _, other := range d.order {
		if other == h {
			return false
		}
		if other.key == h.key && !other.noted {
			return true
		}
	}
	return false
}

// next has the load noted that waited for this one of its key.
func (d *Desk) next(h *hold) {
	if h.key == "" {
		return
	}
	for _, other := range d.order {
		if other != h && other.key == h.key && !other.noted {
			d.take(other, false)
			return
		}
	}
}

func (d *Desk) taken(h *hold, v loads.View, ok, adopt bool) {
	first := !h.noted
	h.noted = true
	for _, e := range h.entries {
		e.Seen = true
	}
	if first {
		defer d.next(h)
	}
	mine := ok && v.Status == loads.OK && v.Owner == d.cfg.Incarnation
	if mine && adopt && !h.mine && v.Phase == loads.Waiting {
		d.Adopted++
		slog.Info("load adopted", "dedupe", h.once, "epoch", v.Epoch)
	}
	h.mine, h.epoch, h.phase = mine, v.Epoch, v.Phase
	h.clean = mine && (h.clean || v.Phase == loads.Waiting)
	if len(h.entries) == 0 { // all have left meanwhile
		if mine && v.Phase == loads.Waiting {
			d.finish(h, loads.None, nil)
			return
		}
		d.close(h)
		return
	}
	switch {
	case !ok:
		d.turnAll(h, d.cfg.Full)
	case v.Status == loads.Conflict:
		d.Conflicts++
		slog.Warn("refused: the idempotency key stands for another statement, key or class", "dedupe", h.once,
			"call", h.entries[0].Call().ID)
		d.turnAll(h, d.cfg.Full)
	case v.Status == loads.Full:
		slog.Warn("refused: the record has no room for another load", "dedupe", h.once)
		d.turnAll(h, d.cfg.Full)
	case v.Phase.Over():
		d.over(h, v.Phase == loads.Served, v.Rows)
	case mine && v.Phase == loads.Waiting && v.Turn && v.Call != h.entries[0].Call().ID:
		d.take(h, false) // who asked first has left; the record has to know how long the next one waits
	case mine && v.Phase == loads.Waiting && v.Turn:
		h.runner = h.entries[0]
		h.runner.Mine()
	case mine && v.Phase == loads.Started && !h.clean && h.runner == nil:
		d.succeed(h, v)
	case mine && v.Phase == loads.Started && h.clean && h.runner == nil:
		d.finish(h, loads.None, nil) // its runner left before anything ran; the next one begins anew
	case !mine:
		if !h.waited {
			h.waited = true
			d.Waited++
		}
		if v.Phase == loads.Waiting && d.ask.Gone(v.Owner) {
			d.take(h, true)
		}
	}
}

// succeed looks after what another front end has started: the record has made this one its owner.
func (d *Desk) succeed(h *hold, v loads.View) {
	e := d.core.Succeed(d.now, gateway.Succession{Run: v.Run, Engine: v.Engine, Once: h.once, Key: v.Key, Class: v.Class, TTL: Micros(v.TTL)})
	if e == nil {
		return // its own client's call goes by that id; the load ends by its time
	}
	slog.Info("load taken over", "dedupe", h.once, "engine", v.Engine, "call", v.Run, "epoch", v.Epoch)
	e.Slot, e.Checked, h.runner = h, true, e
	h.entries = append(h.entries, e)
}

// Begin asks whether an attempt may begin.
func (d *Desk) Begin(now Micros, e *gateway.Entry, attempt int, engine string, granted func(Micros, bool)) {
	d.now = now
	h := e.Slot.(*hold)
	d.put(&loads.Command{Op: loads.Start, Once: h.once, Epoch: h.epoch, Attempt: uint64(attempt), Engine: engine,
		Call: e.Call().ID}, func(v loads.View, ok bool) {
		if h.runner != e || h.gone {
			return
		}
		h.phase = v.Phase
		if ok && v.Status == loads.OK {
			granted(d.now, true)
			return
		}
		h.mine, h.clean, h.runner = false, false, nil
		granted(d.now, false)
		e.Yield()
		d.take(h, false)
	})
}

// Keep notes a load's rows as its outcome.
func (d *Desk) Keep(now Micros, e *gateway.Entry, rows []byte) {
	d.now = now
	d.drop(e)
	h := e.Slot.(*hold)
	h.entries = append(h.entries, e) // it hears what is kept, if it still waits
	d.finish(h, loads.Served, rows)
}

// Leave ends a request's part in a load.
func (d *Desk) Leave(now Micros, e *gateway.Entry, ran bool) {
	d.now = now
	h := e.Slot.(*hold)
	d.drop(e)
	runs := h.runner == e
	if runs {
		h.runner = nil
	}
	switch {
	case h.ending || h.gone || h.asking != 0 && len(h.entries) == 0:
	case runs && ran:
		d.finish(h, loads.Failed, nil)
	case runs && h.phase == loads.Waiting && len(h.entries) > 0:
		d.take(h, false) // the place in the line is kept by the next who asks
	case h.mine && (runs || len(h.entries) == 0):
		d.finish(h, loads.None, nil)
	case len(h.entries) == 0:
		d.close(h)
		if !h.noted {
			d.next(h)
		}
	}
}

// HandOn gives a load that runs back to the record, which offers it to another front end. What comes of it here counts only if it
// is committed before.
func (d *Desk) HandOn(now Micros, e *gateway.Entry) {
	d.now = now
	if h := e.Slot.(*hold); h.runner == e && !h.ending && !h.gone {
		slog.Info("load handed on", "dedupe", h.once, "epoch", h.epoch)
		d.put(&loads.Command{Op: loads.Hand, Once: h.once, Epoch: h.epoch}, func(loads.View, bool) {})
	}
}

// Doubt says whether some attempt of the load may have begun, by what the record has said since the request came. What it had said
// before may be out of date: a repeat that it never heard of is turned away like one at a front end that knows nothing of the load,
// and not told that a load may have run whose rows others were told meanwhile (exercise, seed 43).
func (d *Desk) Doubt(e *gateway.Entry) bool {
	h := e.Slot.(*hold)
	return e.Seen && (h.phase == loads.Started && !(h.mine && h.clean) || h.phase.Over() || h.ending)
}

// drop takes a request out of its load.
func (d *Desk) drop(e *gateway.Entry) {
	h := e.Slot.(*hold)
	for i, other := range h.entries {
		if other == e {
			h.entries = append(h.entries[:i:i], h.entries[i+1:]...)
			return
		}
	}
}

// finish commits an outcome; None takes the load out, as nothing of it ran.
func (d *Desk) finish(h *hold, outcome loads.Phase, rows []byte) {
	if h.ending {
		return
	}
	h.ending, h.endedAt = true, d.now
	h.end = d.put(&loads.Command{Op: loads.Finish, Once: h.once, Epoch: h.epoch, Outcome: outcome, Rows: rows},
		func(v loads.View, ok bool) {
			h.ending, h.mine, h.clean, h.runner = false, false, false, nil
			switch {
			case ok && v.Phase.Over():
				d.Kept++
				d.over(h, v.Phase == loads.Served, v.Rows)
			case outcome == loads.None && len(h.entries) > 0: // it was taken out; a repeat came meanwhile
				h.phase = loads.None
				d.take(h, false)
			case outcome == loads.None:
				d.close(h)
			default: // lapsed, and forgotten since
				d.over(h, false, nil)
			}
		})
}

// over tells all who wait for a load, and lets go of it.
func (d *Desk) over(h *hold, served bool, rows []byte) {
	entries := h.entries
	h.entries = nil
	d.close(h)
	for _, e := range entries {
		e.Over(d.now, served, rows)
	}
}

func (d *Desk) turnAll(h *hold, after Micros) {
	entries := h.entries
	h.entries = nil
	d.close(h)
	for _, e := range entries {
		e.Turn(d.now, after)
	}
}

// close lets go of a load.
func (d *Desk) close(h *hold) {
	if h.gone {
		return
	}
	h.gone = true
	delete(d.holds, h.once)
	for i, other := range d.order {
		if other == h {
			d.order = append(d.order[:i:i], d.order[i+1:]...)
			break
		}
	}
}

// Note tells that a load may have changed.
func (d *Desk) Note(now Micros, once string) {
	d.now = now
	if h := d.holds[once]; h != nil {
		if h.runner == nil {
			d.take(h, false)
		}
		return
	}
	// The record may hold this front end for its owner by a command that was repeated late.
	d.put(&loads.Command{Op: loads.Look, Once: once}, func(v loads.View, ok bool) {
		if !ok || v.Owner != d.cfg.Incarnation || d.holds[once] != nil {
			return
		}
		if v.Phase == loads.Started {
			h := &hold{once: once, key: v.Key, digest: v.Digest, noted: true, mine: true, epoch: v.Epoch, phase: v.Phase}
			d.holds[once] = h
			d.order = append(d.order, h)
			d.succeed(h, v)
			if h.runner == nil {
				d.close(h)
			}
			return
		}
		if v.Phase == loads.Waiting {
			d.put(&loads.Command{Op: loads.Finish, Once: once, Epoch: v.Epoch, Outcome: loads.None}, func(loads.View, bool) {})
		}
	})
}

// Tick lets time pass.
func (d *Desk) Tick(now Micros) {
	d.now = now
	for _, h := range append([]*hold(nil), d.order...) {
		d.sort(h)
		switch {
		case h.gone:
		case h.ending && now-h.endedAt >= d.cfg.Patience:
			d.ask.Cancel(h.end)
			d.over(h, false, nil)
		case h.runner == nil && now >= h.poll:
			d.take(h, false)
		}
	}
}

// sort turns away the requests for a load that have another statement.
func (d *Desk) sort(h *hold) {
	var wrong []*gateway.Entry
	for _, e := range h.entries {
		if !e.Checked {
			e.Checked = true
			if string(digest(e.Call().Statement)) != string(h.digest) {
				wrong = append(wrong, e)
			}
		}
	}
	for _, e := range wrong {
		d.Conflicts++
		slog.Warn("refused: the idempotency key stands for another statement", "dedupe", h.once, "call", e.Call().ID)
		d.drop(e)
		e.Turn(d.now, d.cfg.Full)
	}
}

// Len is how many loads are held here.
func (d *Desk) Len() int { return len(d.order) }

// Held is a load held here, as operators see it.
type Held struct {
	Once     string `json:"dedupe"`
	Key      string `json:"key,omitempty"`
	Requests int    `json:"requests"`
	Mine     bool   `json:"mine"`
	Phase    string `json:"phase"`
	Epoch    uint64 `json:"epoch"`
	Runs     bool   `json:"runs"`   // the decision module has it
	Asking   bool   `json:"asking"` // a question about it has no answer yet
	Ending   bool   `json:"ending"` // its outcome is being kept
	Noted    bool   `json:"noted"`
}

// Show is all loads held here, in the order in which they came.
func (d *Desk) Show() []Held {
	list := []Held{}
	for _, h := range d.order {
		list = append(list, Held{h.once, h.key, len(h.entries), h.mine, h.phase.String(), h.epoch, h.runner != nil, h.asking != 0,
			h.ending, h.noted})
	}
	return list
}
