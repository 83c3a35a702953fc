// Package recordclient takes one front end's keyed loads through the fleet's record: it notes them, waits for their turn, asks
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
package idempotencyclient

import (
	"crypto/sha256"
	"log/slog"

	"chutechute/fleet/idempotency"
	"chutechute/fleet/replication"
	"chutechute/gateway"
	"chutechute/internal/monotime"
)

// Proposer puts questions to the record; see fleet.Node.
type Proposer interface {
	Propose(now monotime.Micros, kind, version uint32, body []byte, done func(replication.Response)) (id uint64)
	Cancel(id uint64)
	PresumedDead(incarnation uint64) bool
}

// Core is the gateway's part in what another front end has started.
type Core interface {
	TakeOver(now monotime.Micros, s gateway.Takeover) *gateway.Registration
}

// Config sets the spans.
type Config struct {
	Incarnation        uint64
	PollInterval       monotime.Micros // between looks at a load that others hold, or whose turn has not come
	CommitTimeout      monotime.Micros // how long an outcome is offered to the record
	CapacityRetryAfter monotime.Micros // when a load turned away for want of room may come back
}

// Client is one front end's loads.
type Client struct {
	cfg     Config
	ask     Proposer
	core    Core
	now     monotime.Micros
	tracked map[string]*trackedLoad
	order   []*trackedLoad // those of tracked, in the order in which they came
	// Conflicts counts repeats with another statement, Adopted loads taken over, Waited repeats that waited with another's.
	Conflicts, TakenOver, JoinedWaits, Committed int
}

// trackedLoad is one load here, with all requests for it.
type trackedLoad struct {
	once    string
	key     string
	digest  []byte
	noted   bool // the record has said how it stands
	entries []*gateway.Registration
	runner  *gateway.Registration // whose request the core has
	mine    bool
	epoch   uint64
	phase   idempotency.Phase
	clean   bool   // it was seen as this front end's with nothing begun: what began since is of its runners
	asking  uint64 // the Take that is out; 0 without one
	ending  bool   // a Finish is out
	endedAt monotime.Micros
	end     uint64 // its question
	poll    monotime.Micros
	waited  bool
	call    string // the last Take's
	gone    bool
}

// New is a client without loads.
func New(cfg Config, ask Proposer, core Core) *Client {
	return &Client{cfg: cfg, ask: ask, core: core, tracked: map[string]*trackedLoad{}}
}

// SetNow sets the time for what comes before the next Tick.
func (c *Client) SetNow(now monotime.Micros) { c.now = now }

func digest(statement []byte) []byte {
	sum := sha256.Sum256(statement)
	return sum[:16]
}

// Register notes a load that was taken.
func (c *Client) Register(now monotime.Micros, e *gateway.Registration) {
	c.now = now
	call := e.Call()
	load := c.tracked[call.IdempotencyKey]
	if load != nil {
		e.Slot = load
		load.entries = append(load.entries, e)
		return // a conflict shows in the next tick, between the core's steps
	}
	load = &trackedLoad{once: call.IdempotencyKey, key: call.Key, digest: digest(call.Statement), entries: []*gateway.Registration{e}}
	e.Slot = load
	c.tracked[call.IdempotencyKey] = load
	c.order = append(c.order, load)
	c.take(load, false)
}

func (c *Client) put(command *idempotency.Command, done func(v idempotency.Response, ok bool)) uint64 {
	return c.ask.Propose(c.now, 1, 1, command.Encode(), func(a replication.Response) {
		v, err := idempotency.DecodeResponse(a.Body)
		done(v, err == nil && a.Result == replication.Committed)
	})
}

// take notes the load, or sees how it stands.
func (c *Client) take(load *trackedLoad, adopt bool) {
	if load.asking != 0 || load.ending || len(load.entries) == 0 || c.behind(load) {
		return
	}
	load.poll = c.now + c.cfg.PollInterval
	e := load.entries[0]
	call := e.Call()
	load.call = call.ID
	load.asking = c.put(&idempotency.Command{Op: idempotency.Register, IdempotencyKey: load.once, OrderKey: call.Key, Tenant: call.Tenant, Class: call.Class,
		StatementDigest: load.digest, RequestID: call.ID, TTL: uint64(max(1, e.Deadline()-c.now)), TakeOver: adopt},
		func(v idempotency.Response, ok bool) {
			load.asking = 0
			c.taken(load, v, ok, adopt)
		})
}

// behind says whether an earlier load of the key has not been noted yet: what one front end takes stands in the record's
// line in that order, whatever becomes of messages.
func (c *Client) behind(load *trackedLoad) bool {
	if load.noted || load.key == "" {
		return false
	}
	for _, other := range c.order {
		if other == load {
			return false
		}
		if other.key == load.key && !other.noted {
			return true
		}
	}
	return false
}

// next has the load noted that waited for this one of its key.
func (c *Client) next(load *trackedLoad) {
	if load.key == "" {
		return
	}
	for _, other := range c.order {
		if other != load && other.key == load.key && !other.noted {
			c.take(other, false)
			return
		}
	}
}

func (c *Client) taken(load *trackedLoad, v idempotency.Response, ok, adopt bool) {
	first := !load.noted
	load.noted = true
	for _, e := range load.entries {
		e.Seen = true
	}
	if first {
		defer c.next(load)
	}
	mine := ok && v.Status == idempotency.OK && v.Owner == c.cfg.Incarnation
	if mine && adopt && !load.mine && v.Phase == idempotency.Waiting {
		c.TakenOver++
		slog.Info("load adopted", "dedupe", load.once, "epoch", v.Epoch)
	}
	load.mine, load.epoch, load.phase = mine, v.Epoch, v.Phase
	load.clean = mine && (load.clean || v.Phase == idempotency.Waiting)
	if len(load.entries) == 0 { // all have left meanwhile
		if mine && v.Phase == idempotency.Waiting {
			c.finish(load, idempotency.Unregistered, nil)
			return
		}
		c.close(load)
		return
	}
	switch {
	case !ok:
		c.turnAll(load, c.cfg.CapacityRetryAfter)
	case v.Status == idempotency.Conflict:
		c.Conflicts++
		slog.Warn("refused: the idempotency key stands for another statement, key or class", "dedupe", load.once,
			"call", load.entries[0].Call().ID)
		c.turnAll(load, c.cfg.CapacityRetryAfter)
	case v.Status == idempotency.CapacityExceeded:
		slog.Warn("refused: the record has no room for another load", "dedupe", load.once)
		c.turnAll(load, c.cfg.CapacityRetryAfter)
	case v.Phase.Finished():
		c.over(load, v.Phase == idempotency.Served, v.Rows)
	case mine && v.Phase == idempotency.Waiting && v.FirstOfKey && v.OwnerRequestID != load.entries[0].Call().ID:
		c.take(load, false) // who asked first has left; the record has to know how long the next one waits
	case mine && v.Phase == idempotency.Waiting && v.FirstOfKey:
		load.runner = load.entries[0]
		load.runner.Owned()
	case mine && v.Phase == idempotency.Started && !load.clean && load.runner == nil:
		c.succeed(load, v)
	case mine && v.Phase == idempotency.Started && load.clean && load.runner == nil:
		c.finish(load, idempotency.Unregistered, nil) // its runner left before anything ran; the next one begins anew
	case !mine:
		if !load.waited {
			load.waited = true
			c.JoinedWaits++
		}
		if v.Phase == idempotency.Waiting && c.ask.PresumedDead(v.Owner) {
			c.take(load, true)
		}
	}
}

// succeed looks after what another front end has started: the record has made this one its owner.
func (c *Client) succeed(load *trackedLoad, v idempotency.Response) {
	e := c.core.TakeOver(c.now, gateway.Takeover{RequestID: v.StartedRequestID, Engine: v.Engine, IdempotencyKey: load.once, Key: v.OrderKey, Class: v.Class, TTL: monotime.Micros(v.TTL)})
	if e == nil {
		return // its own client's call goes by that id; the load ends by its time
	}
	slog.Info("load taken over", "dedupe", load.once, "engine", v.Engine, "call", v.StartedRequestID, "epoch", v.Epoch)
	e.Slot, e.Checked, load.runner = load, true, e
	load.entries = append(load.entries, e)
}

// Authorize asks whether an attempt may begin.
func (c *Client) Authorize(now monotime.Micros, e *gateway.Registration, attempt int, engine string, granted func(monotime.Micros, bool)) {
	c.now = now
	load := e.Slot.(*trackedLoad)
	c.put(&idempotency.Command{Op: idempotency.AuthorizeAttempt, IdempotencyKey: load.once, Epoch: load.epoch, Attempt: uint64(attempt), Engine: engine,
		RequestID: e.Call().ID}, func(v idempotency.Response, ok bool) {
		if load.runner != e || load.gone {
			return
		}
		load.phase = v.Phase
		if ok && v.Status == idempotency.OK {
			granted(c.now, true)
			return
		}
		load.mine, load.clean, load.runner = false, false, nil
		granted(c.now, false)
		e.Suspend()
		c.take(load, false)
	})
}

// Commit notes a load's rows as its outcome.
func (c *Client) Commit(now monotime.Micros, e *gateway.Registration, rows []byte) {
	c.now = now
	c.drop(e)
	load := e.Slot.(*trackedLoad)
	load.entries = append(load.entries, e) // it hears what is kept, if it still waits
	c.finish(load, idempotency.Served, rows)
}

// Release ends a request's part in a load.
func (c *Client) Release(now monotime.Micros, e *gateway.Registration, ran bool) {
	c.now = now
	load := e.Slot.(*trackedLoad)
	c.drop(e)
	runs := load.runner == e
	if runs {
		load.runner = nil
	}
	switch {
	case load.ending || load.gone || load.asking != 0 && len(load.entries) == 0:
	case runs && ran:
		c.finish(load, idempotency.Failed, nil)
	case runs && load.phase == idempotency.Waiting && len(load.entries) > 0:
		c.take(load, false) // the place in the line is kept by the next who asks
	case load.mine && (runs || len(load.entries) == 0):
		c.finish(load, idempotency.Unregistered, nil)
	case len(load.entries) == 0:
		c.close(load)
		if !load.noted {
			c.next(load)
		}
	}
}

// Transfer gives a load that runs back to the record, which offers it to another front end. What comes of it here counts only if it
// is committed before.
func (c *Client) Transfer(now monotime.Micros, e *gateway.Registration) {
	c.now = now
	if load := e.Slot.(*trackedLoad); load.runner == e && !load.ending && !load.gone {
		slog.Info("load handed on", "dedupe", load.once, "epoch", load.epoch)
		c.put(&idempotency.Command{Op: idempotency.Transfer, IdempotencyKey: load.once, Epoch: load.epoch}, func(idempotency.Response, bool) {})
	}
}

// OutcomeUnknown says whether some attempt of the load may have begun, by what the record has said since the request came. What it had said
// before may be out of date: a repeat that it never heard of is turned away like one at a front end that knows nothing of the load,
// and not told that a load may have run whose rows others were told meanwhile (exercise, seed 43).
func (c *Client) OutcomeUnknown(e *gateway.Registration) bool {
	load := e.Slot.(*trackedLoad)
	return e.Seen && (load.phase == idempotency.Started && !(load.mine && load.clean) || load.phase.Finished() || load.ending)
}

// drop takes a request out of its load.
func (c *Client) drop(e *gateway.Registration) {
	load := e.Slot.(*trackedLoad)
	for i, other := range load.entries {
		if other == e {
			load.entries = append(load.entries[:i:i], load.entries[i+1:]...)
			return
		}
	}
}

// finish commits an outcome; None takes the load out, as nothing of it ran.
func (c *Client) finish(load *trackedLoad, outcome idempotency.Phase, rows []byte) {
	if load.ending {
		return
	}
	load.ending, load.endedAt = true, c.now
	load.end = c.put(&idempotency.Command{Op: idempotency.Complete, IdempotencyKey: load.once, Epoch: load.epoch, Outcome: outcome, Rows: rows},
		func(v idempotency.Response, ok bool) {
			load.ending, load.mine, load.clean, load.runner = false, false, false, nil
			switch {
			case ok && v.Phase.Finished():
				c.Committed++
				c.over(load, v.Phase == idempotency.Served, v.Rows)
			case outcome == idempotency.Unregistered && len(load.entries) > 0: // it was taken out; a repeat came meanwhile
				load.phase = idempotency.Unregistered
				c.take(load, false)
			case outcome == idempotency.Unregistered:
				c.close(load)
			default: // lapsed, and forgotten since
				c.over(load, false, nil)
			}
		})
}

// over tells all who wait for a load, and lets go of it.
func (c *Client) over(load *trackedLoad, served bool, rows []byte) {
	entries := load.entries
	load.entries = nil
	c.close(load)
	for _, e := range entries {
		e.Finish(c.now, served, rows)
	}
}

func (c *Client) turnAll(load *trackedLoad, after monotime.Micros) {
	entries := load.entries
	load.entries = nil
	c.close(load)
	for _, e := range entries {
		e.Reject(c.now, after)
	}
}

// close lets go of a load.
func (c *Client) close(load *trackedLoad) {
	if load.gone {
		return
	}
	load.gone = true
	delete(c.tracked, load.once)
	for i, other := range c.order {
		if other == load {
			c.order = append(c.order[:i:i], c.order[i+1:]...)
			break
		}
	}
}

// Notify tells that a load may have changed.
func (c *Client) Notify(now monotime.Micros, once string) {
	c.now = now
	if load := c.tracked[once]; load != nil {
		if load.runner == nil {
			c.take(load, false)
		}
		return
	}
	// The record may take this front end for its owner by a command that was repeated late.
	c.put(&idempotency.Command{Op: idempotency.Inspect, IdempotencyKey: once}, func(v idempotency.Response, ok bool) {
		if !ok || v.Owner != c.cfg.Incarnation || c.tracked[once] != nil {
			return
		}
		if v.Phase == idempotency.Started {
			load := &trackedLoad{once: once, key: v.OrderKey, digest: v.StatementDigest, noted: true, mine: true, epoch: v.Epoch, phase: v.Phase}
			c.tracked[once] = load
			c.order = append(c.order, load)
			c.succeed(load, v)
			if load.runner == nil {
				c.close(load)
			}
			return
		}
		if v.Phase == idempotency.Waiting {
			c.put(&idempotency.Command{Op: idempotency.Complete, IdempotencyKey: once, Epoch: v.Epoch, Outcome: idempotency.Unregistered}, func(idempotency.Response, bool) {})
		}
	})
}

// Tick lets time pass.
func (c *Client) Tick(now monotime.Micros) {
	c.now = now
	for _, load := range append([]*trackedLoad(nil), c.order...) {
		c.sort(load)
		switch {
		case load.gone:
		case load.ending && now-load.endedAt >= c.cfg.CommitTimeout:
			c.ask.Cancel(load.end)
			c.over(load, false, nil)
		case load.runner == nil && now >= load.poll:
			c.take(load, false)
		}
	}
}

// sort turns away the requests for a load that have another statement.
func (c *Client) sort(load *trackedLoad) {
	var wrong []*gateway.Registration
	for _, e := range load.entries {
		if !e.Checked {
			e.Checked = true
			if string(digest(e.Call().Statement)) != string(load.digest) {
				wrong = append(wrong, e)
			}
		}
	}
	for _, e := range wrong {
		c.Conflicts++
		slog.Warn("refused: the idempotency key stands for another statement", "dedupe", load.once, "call", e.Call().ID)
		c.drop(e)
		e.Reject(c.now, c.cfg.CapacityRetryAfter)
	}
}

// Len is how many loads are tracked here.
func (c *Client) Len() int { return len(c.order) }

// RecordStatus is a load tracked here, as operators see it.
type RecordStatus struct {
	IdempotencyKey string `json:"dedupe"`
	OrderKey       string `json:"key,omitempty"`
	Requests       int    `json:"requests"`
	Owned          bool   `json:"mine"`
	Phase          string `json:"phase"`
	Epoch          uint64 `json:"epoch"`
	Dispatched     bool   `json:"runs"`   // the decision module has it
	Proposing      bool   `json:"asking"` // a question about it has no answer yet
	Committing     bool   `json:"ending"` // its outcome is being kept
	Registered     bool   `json:"noted"`
}

// Records is all loads tracked here, in the order in which they came.
func (c *Client) Records() []RecordStatus {
	list := []RecordStatus{}
	for _, load := range c.order {
		list = append(list, RecordStatus{load.once, load.key, len(load.entries), load.mine, load.phase.String(), load.epoch, load.runner != nil, load.asking != 0,
			load.ending, load.noted})
	}
	return list
}
