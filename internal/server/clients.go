package server

import (
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"chutechute/gateway"
	"chutechute/identity"
	"chutechute/internal/decimal"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/thrift"
)

const (
	maxUnread  = 2 << 20   // bytes of answers that a client may leave unread
	pauseAbove = 256 << 10 // unread answers above which a client's requests wait
	mostOpen   = 32        // requests that a connection may have open, by the protocol
	mostTaken  = 32        // messages of one connection in one turn: one client is not to hold up the others
	mostDrawn  = 1 << 20   // bytes that are read off a connection after its end
	maxKeySize = 64
	maxTTL     = 3600 * 1000
	maxWork    = 1e9 // milliseconds
	maxMB      = 1e9

	// A client that has said nothing, or half of something, is owed an answer or a close within 3 s of its
	// connecting. One that has said something may keep its connection for good.
	silentMost = 2500 * monotime.Millisecond
	partMost   = 2000 * monotime.Millisecond
	lingerMost = 500 * monotime.Millisecond
	freshFor   = 1000 * monotime.Millisecond // how long a newcomer is expected to send
	mostLooks  = 8
)

// idle says whether nothing is owed to the client.
func (c *client) idle() bool { return len(c.open) == 0 && c.Out.Len() == 0 && !c.queued }

// client is one client's connection.
type client struct {
	eventloop.Stream
	l       *listener
	open    map[int32]*gateway.Request // by sequence number
	address uint64                     // the client's, as a number

	greeted     bool // its handshake has been asked for
	slot        bool // and takes a place among those that go
	leaf        *x509.Certificate
	certificate *identity.Certificate // what leaf stands for; nil without one
	born        monotime.Micros       // when it connected, or its handshake was over
	since       monotime.Micros       // of its connecting, its last message or its end
	part        monotime.Micros       // since when a message has come in part; 0: none has
	spoke       bool                  // a whole message has come
	told        bool                  // something was answered: messages that nobody answers are as good as none
	queued      bool                  // messages are left over for the next turn
	shut        bool                  // nothing more is taken: it ends once nothing is owed on it
	ending      bool                  // nothing more is read or answered
	drawn       int                   // bytes read off since
}

func (c *client) Ready(events uint32) {
	if c.ending || c.shut && events&^unix.EPOLLOUT != 0 {
		c.draw()
		return
	}
	if eventloop.HasHangup(events) {
		c.leave()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.raw(nil)
	}
	if events&^unix.EPOLLOUT != 0 && !c.fill() {
		c.leave()
		return
	}
	c.read()
}

// look reads what has come where epoll has not told of it, the connection's end too.
func (c *client) look() {
	//lint:ignore SA4000 each call reads: the second finds the end behind the last bytes
	if !c.shut && !(c.fill() && c.fill()) {
		c.leave()
		return
	}
	c.Ready(unix.EPOLLIN)
}

// leave follows the client's end, in the turn in which it has come: what is open is taken back, and what came before the end and
// was not taken yet never is, as nobody waits for its answer. It is read off, since a close over unread bytes would reset the
// connection under the answers that its client may still read.
func (c *client) leave() {
	if c.Closed || c.ending {
		return
	}
	c.l.s.Counters.Left++
	c.ending, c.shut, c.since = true, true, c.l.s.TurnTime
	c.cancel()
	c.draw()
}

// read takes the messages that have come whole, as far as one turn goes and unless the client leaves too many
// answers unread.
func (c *client) read() {
	for taken := 0; !c.Closed && !c.shut && c.Out.Len() <= pauseAbove; taken++ {
		if taken >= mostTaken {
			if !c.queued {
				c.queued = true
				c.l.again = append(c.l.again, c)
			}
			break
		}
		m, ok, err := thrift.Next(c.In)
		if ok || err != nil {
			c.spoke, c.part, c.since = true, 0, c.l.s.TurnTime
		}
		var exception *thrift.Exception
		switch {
		case errors.As(err, &exception):
			c.l.s.Counters.Unusable++
			c.write(exception.Reply())
		case err != nil:
			c.l.s.Counters.Malformed++
			slog.Debug("client", "error", err)
			c.hangUp()
		case !ok && c.more():
		case !ok:
			c.rest()
			return
		default:
			c.take(m)
		}
	}
	if !c.Closed && !c.ending {
		c.UpdateInterest(c.shut || c.Out.Len() <= pauseAbove && !c.queued)
	}
}

// rest waits for more of a message.
func (c *client) rest() {
	if c.In.Len() > 0 && c.part == 0 {
		c.part = c.l.s.TurnTime
	}
	if len(c.In.Space()) == 0 {
		c.l.relieve()
	}
	c.UpdateInterest(true)
}

func (c *client) take(m thrift.Message) {
	switch m.Name {
	case "health":
		c.write(thrift.Answer(m.Name, m.Seq, nil, nil, c.l.s.life.Healthy()))
	case "cancel":
		if r := c.open[m.Target]; r != nil {
			delete(c.open, m.Target)
			c.l.s.core.Cancel(r)
		}
	case "call":
		c.call(m)
	}
}

func (c *client) call(m thrift.Message) {
	fail := func(err error) {
		c.l.s.Counters.Unusable++
		slog.Debug("client", "error", err)
		e := thrift.Exception{Seq: m.Seq, Name: m.Name, Kind: thrift.ProtocolError, Text: err.Error()}
		c.write(e.Reply())
	}
	if c.open[m.Seq] != nil { // two answers to one number could not be told apart
		c.l.s.Counters.Malformed++
		c.hangUp()
		return
	}
	if len(c.open) >= mostOpen {
		fail(fmt.Errorf("more than %d open requests", len(c.open)))
		return
	}
	call, err := readCall(m)
	if err != nil {
		fail(err)
		return
	}
	call.Proof = c.proofOf(m.Fields["token"])
	w := &waiting{c: c, seq: m.Seq}
	r, err := c.l.s.core.Submit(c.l.s.TurnTime, call, w)
	var denied *identity.Denied
	if errors.As(err, &denied) {
		w.denied(denied)
		return
	}
	if err != nil {
		fail(err)
		return
	}
	if !w.done {
		c.open[m.Seq] = r
	}
}

// readCall checks what goes to engines in headers and paths, and reads the figures. What is left out is not
// told; what is there has to be of the protocol's form.
func readCall(m thrift.Message) (*gateway.Call, error) {
	f := m.Fields
	call := &gateway.Call{ID: f["call"], Class: f["op"], Tenant: f["org"], Key: f["row"], IdempotencyKey: f["dedupe"],
		Statement: m.Body}
	if len(call.ID) != 16 || strings.Trim(call.ID, "0123456789abcdefABCDEF") != "" {
		return nil, fmt.Errorf("call: %.80q is no id", call.ID)
	}
	if !plain(call.IdempotencyKey) {
		return nil, fmt.Errorf("dedupe: %.80q is no key", call.IdempotencyKey)
	}
	ttl, err := readFigure(f, "ttl", maxTTL)
	if err == nil && ttl <= 0 {
		err = fmt.Errorf("ttl: %.80q is no span in milliseconds", f["ttl"])
	}
	if err != nil {
		return nil, err
	}
	work, err := readFigure(f, "work", maxWork)
	if err != nil {
		return nil, err
	}
	call.TTL, call.Cost = monotime.Micros(ttl*1000), monotime.Micros(work*1000)
	call.MemoryMB, err = readFigure(f, "mb", maxMB)
	return call, err
}

// readFigure reads a decimal number from 0 to most; one that is left out is 0.
func readFigure(fields map[string]string, name string, most float64) (float64, error) {
	text, ok := fields[name]
	if !ok {
		return 0, nil
	}
	x, err := decimal.Parse(text, most)
	if err != nil {
		err = fmt.Errorf("%s: %w", name, err)
	}
	return x, err
}

// plain says whether a text can stand in a header as it is.
func plain(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return len(s) <= maxKeySize
}

// write adds an answer and writes what it can.
func (c *client) write(answer []byte) {
	if c.Closed || c.ending {
		return
	}
	c.told = true
	c.raw(c.sealed(answer))
}

// raw writes bytes as they go over the connection.
func (c *client) raw(answer []byte) {
	if c.Closed || c.ending || len(answer) == 0 && c.Out.Len() == 0 {
		return
	}
	_, err := c.Out.Write(answer)
	if err != nil && c.Out.Len()+len(answer) <= c.l.maxUnread() {
		c.l.relieve()
		if c.Closed {
			return
		}
		_, err = c.Out.Write(answer)
	}
	if err != nil {
		slog.Warn("client leaves its answers unread", "error", err)
		c.end()
		return
	}
	if err := c.Flush(); err != nil {
		c.end()
		return
	}
	c.UpdateInterest(c.shut || c.Out.Len() <= pauseAbove && !c.queued)
	c.finish()
}

// hangUp ends the connection from this side once all that was taken on it is answered; nothing more is taken.
func (c *client) hangUp() {
	if c.Closed || c.ending || c.shut {
		return
	}
	c.shut, c.part = true, 0
	c.In.Free()
	c.UpdateInterest(true)
	c.finish()
}

// finish ends a connection that is to end, where nothing is owed on it any more. It reads on for a moment: a close with input
// unread would reset it, and with it the answers that the client has not read yet.
func (c *client) finish() {
	if !c.shut || c.Closed || c.ending || len(c.open) > 0 || c.Out.Len() > 0 {
		return
	}
	c.ending, c.since = true, c.l.s.TurnTime
	if err := unix.Shutdown(c.FD, unix.SHUT_WR); err != nil {
		c.end()
		return
	}
	c.UpdateInterest(true)
	c.draw()
}

// cut ends a connection without the answers that are owed on it: they could not be read.
func (c *client) cut() {
	c.cancel()
	c.Out.Free()
	c.hangUp()
}

// draw reads off what comes after the end, as far as that is worth while.
func (c *client) draw() {
	var b [16 << 10]byte
	for c.drawn < mostDrawn {
		n, err := unix.Read(c.FD, b[:])
		if err == unix.EAGAIN || err == unix.EINTR {
			return
		}
		if err != nil || n == 0 {
			break
		}
		c.drawn += n
	}
	if !c.ending && c.drawn >= mostDrawn { // it goes on sending where nothing is taken: its answers are still owed
		c.drawn = 0
		return
	}
	c.end()
}

// end closes the connection.
func (c *client) end() {
	if c.Closed {
		return
	}
	c.Close()
	delete(c.l.clients, c)
	c.cancel()
}

// cancel takes back what is open: it has nobody to answer any more.
func (c *client) cancel() {
	open := c.open
	c.open = nil
	for _, r := range open {
		c.l.s.core.Cancel(r)
	}
}

// waiting is the client's side of one open request.
type waiting struct {
	c    *client
	seq  int32
	done bool
}

func (w *waiting) answer(b []byte) {
	w.done = true
	delete(w.c.open, w.seq)
	w.c.write(b)
}

// Respond passes the rows on.
func (w *waiting) Respond(rows []byte) { w.answer(thrift.Answer("call", w.seq, rows, nil, true)) }

// Reject tells when to come back, where that is allowed.
func (w *waiting) Reject(after monotime.Micros) {
	fields := map[string]string{}
	if w.c.l.s.cfg.Settings.Limits.RetryAfter {
		fields["pushback"] = strconv.FormatInt((after+monotime.Millisecond-1)/monotime.Millisecond, 10)
	}
	w.answer(thrift.Shed(w.seq, fields))
}

// denied answers a call that was turned away before it was taken. Where coming back is of use it says when.
func (w *waiting) denied(d *identity.Denied) {
	fields := map[string]string{"never_ran": "1", "reason": d.Error()}
	if d.After == 0 {
		w.answer(thrift.Fault(w.seq, fields))
		return
	}
	if w.c.l.s.cfg.Settings.Limits.RetryAfter {
		fields["pushback"] = strconv.FormatInt((min(d.After, w.c.l.s.cfg.Settings.Limits.MaxRetryAfter)+monotime.Millisecond-1)/monotime.Millisecond, 10)
	}
	w.answer(thrift.Shed(w.seq, fields))
}

// Fail promises nothing.
func (w *waiting) Fail() { w.answer(thrift.Fault(w.seq, nil)) }
