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
	maxUnreadOutput       = 2 << 20   // bytes of answers that a client may leave unread
	pauseReadingAbove     = 256 << 10 // unread answers above which a client's requests wait
	maxInFlight           = 32        // requests that a connection may have open, by the protocol
	maxMessagesPerTurn    = 32        // messages of one connection in one turn: one client is not to hold up the others
	maxDiscardedBytes     = 1 << 20   // bytes that are read off a connection after its end
	maxIdempotencyKeySize = 64
	maxTTLMillis          = 3600 * 1000
	maxWorkMillis         = 1e9 // milliseconds
	maxMemoryMB           = 1e9

	// A client that has said nothing, or half of something, is owed an answer or a close within 3 s of its
	// connecting. One that has said something may keep its connection for good.
	firstMessageTimeout   = 2500 * monotime.Millisecond
	partialMessageTimeout = 2000 * monotime.Millisecond
	lingerTimeout         = 500 * monotime.Millisecond
	newConnectionGrace    = 1000 * monotime.Millisecond // how long a newcomer is expected to send
	maxEvictionAttempts   = 8
)

// isIdle says whether nothing is owed to the client.
func (c *clientConn) isIdle() bool { return len(c.inFlight) == 0 && c.Out.Len() == 0 && !c.deferred }

// clientConn is one client's connection.
type clientConn struct {
	eventloop.Stream
	listener *clientListener
	inFlight map[int32]*gateway.Request // by sequence number
	address  uint64                     // the client's, as a number

	handshakeRequested bool // its handshake has been asked for
	holdsHandshakeSlot bool // and takes a place among those that go
	peerCertificate    *x509.Certificate
	callerCertificate  *identity.Certificate // what leaf stands for; nil without one
	establishedAt      monotime.Micros       // when it connected, or its handshake was over
	lastActivity       monotime.Micros       // of its connecting, its last message or its end
	partialSince       monotime.Micros       // since when a message has come in part; 0: none has
	receivedMessage    bool                  // a whole message has come
	sentResponse       bool                  // something was answered: messages that nobody answers are as good as none
	deferred           bool                  // messages are left over for the next turn
	shut               bool                  // nothing more is taken: it ends once nothing is owed on it
	ending             bool                  // nothing more is read or answered
	discardedBytes     int                   // bytes read off since
}

func (c *clientConn) Ready(events uint32) {
	if c.ending || c.shut && events&^unix.EPOLLOUT != 0 {
		c.discardInput()
		return
	}
	if eventloop.HasHangup(events) {
		c.handlePeerClose()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.writeBytes(nil)
	}
	if events&^unix.EPOLLOUT != 0 && !c.readInput() {
		c.handlePeerClose()
		return
	}
	c.processMessages()
}

// readNow reads what has come where epoll has not told of it, the connection's end too.
func (c *clientConn) readNow() {
	//lint:ignore SA4000 each call reads: the second finds the end behind the last bytes
	if !c.shut && !(c.readInput() && c.readInput()) {
		c.handlePeerClose()
		return
	}
	c.Ready(unix.EPOLLIN)
}

// handlePeerClose follows the client's end, in the turn in which it has come: what is open is taken back, and what came before the end and
// was not taken yet never is, as nobody waits for its answer. It is read off, since a close over unread bytes would reset the
// connection under the answers that its client may still read.
func (c *clientConn) handlePeerClose() {
	if c.Closed || c.ending {
		return
	}
	c.listener.server.host.Counters.Left++
	c.ending, c.shut, c.lastActivity = true, true, c.listener.server.host.TurnTime
	c.cancelInFlight()
	c.discardInput()
}

// processMessages takes the messages that have come whole, as far as one turn goes and unless the client leaves too many
// answers unread.
func (c *clientConn) processMessages() {
	for taken := 0; !c.Closed && !c.shut && c.Out.Len() <= pauseReadingAbove; taken++ {
		if taken >= maxMessagesPerTurn {
			if !c.deferred {
				c.deferred = true
				c.listener.deferred = append(c.listener.deferred, c)
			}
			break
		}
		m, ok, err := thrift.Next(c.In)
		if ok || err != nil {
			c.receivedMessage, c.partialSince, c.lastActivity = true, 0, c.listener.server.host.TurnTime
		}
		var exception *thrift.Exception
		switch {
		case errors.As(err, &exception):
			c.listener.server.host.Counters.Unusable++
			c.respond(exception.Reply())
		case err != nil:
			c.listener.server.host.Counters.Malformed++
			slog.Debug("client", "error", err)
			c.closeAfterResponses()
		case !ok && c.decryptMore():
		case !ok:
			c.awaitInput()
			return
		default:
			c.dispatch(m)
		}
	}
	if !c.Closed && !c.ending {
		c.UpdateInterest(c.shut || c.Out.Len() <= pauseReadingAbove && !c.deferred)
	}
}

// awaitInput waits for more of a message.
func (c *clientConn) awaitInput() {
	if c.In.Len() > 0 && c.partialSince == 0 {
		c.partialSince = c.listener.server.host.TurnTime
	}
	if len(c.In.Space()) == 0 {
		c.listener.closeLargest()
	}
	c.UpdateInterest(true)
}

func (c *clientConn) dispatch(m thrift.Message) {
	switch m.Name {
	case "health":
		c.respond(thrift.Answer(m.Name, m.Seq, nil, nil, c.listener.server.lifecycle.Healthy()))
	case "cancel":
		if r := c.inFlight[m.Target]; r != nil {
			delete(c.inFlight, m.Target)
			c.listener.server.core.Cancel(r)
		}
	case "call":
		c.submit(m)
	}
}

func (c *clientConn) submit(m thrift.Message) {
	fail := func(err error) {
		c.listener.server.host.Counters.Unusable++
		slog.Debug("client", "error", err)
		e := thrift.Exception{Seq: m.Seq, Name: m.Name, Kind: thrift.ProtocolError, Text: err.Error()}
		c.respond(e.Reply())
	}
	if c.inFlight[m.Seq] != nil { // two answers to one number could not be told apart
		c.listener.server.host.Counters.Malformed++
		c.closeAfterResponses()
		return
	}
	if len(c.inFlight) >= maxInFlight {
		fail(fmt.Errorf("more than %d open requests", len(c.inFlight)))
		return
	}
	call, err := parseCall(m)
	if err != nil {
		fail(err)
		return
	}
	call.Proof = c.callerProof(m.Fields["token"])
	w := &responder{client: c, sequence: m.Seq}
	r, err := c.listener.server.core.Submit(c.listener.server.host.TurnTime, call, w)
	var denied *identity.Denied
	if errors.As(err, &denied) {
		w.deny(denied)
		return
	}
	if err != nil {
		fail(err)
		return
	}
	if !w.answered {
		c.inFlight[m.Seq] = r
	}
}

// parseCall checks what goes to engines in headers and paths, and reads the figures. What is left out is not
// told; what is there has to be of the protocol's form.
func parseCall(m thrift.Message) (*gateway.Call, error) {
	f := m.Fields
	call := &gateway.Call{ID: f["call"], Class: f["op"], Tenant: f["org"], Key: f["row"], IdempotencyKey: f["dedupe"],
		Statement: m.Body}
	if len(call.ID) != 16 || strings.Trim(call.ID, "0123456789abcdefABCDEF") != "" {
		return nil, fmt.Errorf("call: %.80q is no id", call.ID)
	}
	if !isHeaderSafe(call.IdempotencyKey) {
		return nil, fmt.Errorf("dedupe: %.80q is no key", call.IdempotencyKey)
	}
	ttl, err := parseNumber(f, "ttl", maxTTLMillis)
	if err == nil && ttl <= 0 {
		err = fmt.Errorf("ttl: %.80q is no span in milliseconds", f["ttl"])
	}
	if err != nil {
		return nil, err
	}
	work, err := parseNumber(f, "work", maxWorkMillis)
	if err != nil {
		return nil, err
	}
	call.TTL, call.Cost = monotime.Micros(ttl*1000), monotime.Micros(work*1000)
	call.MemoryMB, err = parseNumber(f, "mb", maxMemoryMB)
	return call, err
}

// parseNumber reads a decimal number from 0 to most; one that is left out is 0.
func parseNumber(fields map[string]string, name string, most float64) (float64, error) {
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

// isHeaderSafe says whether a text can stand in a header as it is.
func isHeaderSafe(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return len(s) <= maxIdempotencyKeySize
}

// respond adds an answer and writes what it can.
func (c *clientConn) respond(answer []byte) {
	if c.Closed || c.ending {
		return
	}
	c.sentResponse = true
	c.writeBytes(c.seal(answer))
}

// writeBytes writes bytes as they go over the connection.
func (c *clientConn) writeBytes(answer []byte) {
	if c.Closed || c.ending || len(answer) == 0 && c.Out.Len() == 0 {
		return
	}
	_, err := c.Out.Write(answer)
	if err != nil && c.Out.Len()+len(answer) <= c.listener.maxUnreadOutput() {
		c.listener.closeLargest()
		if c.Closed {
			return
		}
		_, err = c.Out.Write(answer)
	}
	if err != nil {
		slog.Warn("client leaves its answers unread", "error", err)
		c.terminate()
		return
	}
	if err := c.Flush(); err != nil {
		c.terminate()
		return
	}
	c.UpdateInterest(c.shut || c.Out.Len() <= pauseReadingAbove && !c.deferred)
	c.halfCloseIfDrained()
}

// closeAfterResponses ends the connection from this side once all that was taken on it is answered; nothing more is taken.
func (c *clientConn) closeAfterResponses() {
	if c.Closed || c.ending || c.shut {
		return
	}
	c.shut, c.partialSince = true, 0
	c.In.Free()
	c.UpdateInterest(true)
	c.halfCloseIfDrained()
}

// halfCloseIfDrained ends a connection that is to end, where nothing is owed on it any more. It reads on for a moment: a close with input
// unread would reset it, and with it the answers that the client has not read yet.
func (c *clientConn) halfCloseIfDrained() {
	if !c.shut || c.Closed || c.ending || len(c.inFlight) > 0 || c.Out.Len() > 0 {
		return
	}
	c.ending, c.lastActivity = true, c.listener.server.host.TurnTime
	if err := unix.Shutdown(c.FD, unix.SHUT_WR); err != nil {
		c.terminate()
		return
	}
	c.UpdateInterest(true)
	c.discardInput()
}

// abort ends a connection without the answers that are owed on it: they could not be read.
func (c *clientConn) abort() {
	c.cancelInFlight()
	c.Out.Free()
	c.closeAfterResponses()
}

// discardInput reads off what comes after the end, as far as that is worth while.
func (c *clientConn) discardInput() {
	var b [16 << 10]byte
	for c.discardedBytes < maxDiscardedBytes {
		n, err := unix.Read(c.FD, b[:])
		if err == unix.EAGAIN || err == unix.EINTR {
			return
		}
		if err != nil || n == 0 {
			break
		}
		c.discardedBytes += n
	}
	if !c.ending && c.discardedBytes >= maxDiscardedBytes { // it goes on sending where nothing is taken: its answers are still owed
		c.discardedBytes = 0
		return
	}
	c.terminate()
}

// terminate closes the connection.
func (c *clientConn) terminate() {
	if c.Closed {
		return
	}
	c.Close()
	delete(c.listener.clients, c)
	c.cancelInFlight()
}

// cancelInFlight takes back what is open: it has nobody to answer any more.
func (c *clientConn) cancelInFlight() {
	open := c.inFlight
	c.inFlight = nil
	for _, r := range open {
		c.listener.server.core.Cancel(r)
	}
}

// responder is the client's side of one open request.
type responder struct {
	client   *clientConn
	sequence int32
	answered bool
}

func (w *responder) send(b []byte) {
	w.answered = true
	delete(w.client.inFlight, w.sequence)
	w.client.respond(b)
}

// Respond passes the rows on.
func (w *responder) Respond(rows []byte) { w.send(thrift.Answer("call", w.sequence, rows, nil, true)) }

// Reject tells when to come back, where that is allowed.
func (w *responder) Reject(after monotime.Micros) {
	fields := map[string]string{}
	if w.client.listener.server.cfg.Settings.Limits.RetryAfter {
		fields["pushback"] = strconv.FormatInt((after+monotime.Millisecond-1)/monotime.Millisecond, 10)
	}
	w.send(thrift.Shed(w.sequence, fields))
}

// deny answers a call that was turned away before it was taken. Where coming back is of use it says when.
func (w *responder) deny(d *identity.Denied) {
	fields := map[string]string{"never_ran": "1", "reason": d.Error()}
	if d.After == 0 {
		w.send(thrift.Fault(w.sequence, fields))
		return
	}
	if w.client.listener.server.cfg.Settings.Limits.RetryAfter {
		fields["pushback"] = strconv.FormatInt((min(d.After, w.client.listener.server.cfg.Settings.Limits.MaxRetryAfter)+monotime.Millisecond-1)/monotime.Millisecond, 10)
	}
	w.send(thrift.Shed(w.sequence, fields))
}

// Fail promises nothing.
func (w *responder) Fail() { w.send(thrift.Fault(w.sequence, nil)) }
