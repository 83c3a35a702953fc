package server

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"chutechute/internal/fairqueue"
	"chutechute/internal/monotime"
	"chutechute/internal/thrift"
)

const (
	// maxTurnDuration is the time after which a turn of the loop handles no more messages of clients. What arrives
	// meanwhile on different connections is read in one turn, and the order in which it arrived is then unknown.
	maxTurnDuration = 10 * monotime.Millisecond
	// maxQueuedMessages is the number of messages of one connection above which only requests are queued.
	maxQueuedMessages = 2 * maxInFlight
	// messageOverhead is the cost of a message beside that of its bytes, in bytes.
	messageOverhead = 256
	// decodedOverhead is the memory of a queued message beside the bytes of its frame, in bytes.
	decodedOverhead = 1 << 10
)

// queuedMessage is a message of a client that was received and is to be handled.
type queuedMessage struct {
	client     *clientConn
	message    thrift.Message
	failure    error // why the message could not be decoded; nil if it could
	receivedAt monotime.Micros
}

// clientQueue holds the messages of one connection that are queued in clientListener.messages, in the order of their
// arrival.
type clientQueue struct {
	flow     fairqueue.Flow
	messages []*fairqueue.Entry[queuedMessage]
	calls    int // number of requests among the messages
	bytes    int // reserved from the buffer budget
}

// isException reports whether a message could not be decoded and its sender gets an exception for it.
func isException(err error) bool {
	var exception *thrift.Exception
	return errors.As(err, &exception)
}

// memory returns the bytes that the message takes while it is queued.
func (m *queuedMessage) memory() int { return m.message.Size() + decodedOverhead }

// isCall reports whether the message is a readable request.
func (m *queuedMessage) isCall() bool { return m.failure == nil && m.message.Name == thrift.MethodCall }

// callLimit is a limit of one connection that a request exceeds.
type callLimit int

const (
	noLimit callLimit = iota
	openLimit
	memoryLimit
)

// exceededLimit returns the limit that a request with a frame of the given size would exceed if it were queued. Memory
// does not limit the only queued message.
func (c *clientConn) exceededLimit(frameSize int) callLimit {
	memory := frameSize + decodedOverhead
	switch {
	case len(c.inFlight)+c.queue.calls >= maxInFlight:
		return openLimit
	case c.queue.bytes == 0:
		return noLimit
	case c.queue.bytes+memory > c.listener.maxUnreadOutput() || !c.listener.bufferBudget.HasSpace(memory):
		return memoryLimit
	}
	return noLimit
}

// accept queues a message, or the failure to decode one. A client that closes its connection is noticed only once all
// that it sent before is read, and requests of one order key keep the order in which they are read. Therefore a message
// never waits in the input buffer for others to be handled: a request that exceeds a limit is answered at once. A
// cancel takes effect at once, too: no attempt may begin for a request whose client no longer waits.
func (c *clientConn) accept(message thrift.Message, failure error, limit callLimit) {
	received := queuedMessage{client: c, message: message, failure: failure, receivedAt: c.turnTime()}
	switch {
	case failure == nil && message.Name == thrift.MethodCancel:
		c.cancel(message.Target)
	case received.isCall() && limit == openLimit:
		c.respondUnusable(message, fmt.Errorf("more than %d open requests", maxInFlight))
	case received.isCall() && limit == memoryLimit && c.inFlight[message.Seq] == nil:
		c.listener.server.core.RejectUnqueued(&responder{client: c, sequence: message.Seq})
	case !received.isCall() && len(c.queue.messages) >= maxQueuedMessages && !c.inputMalformed:
		c.handle(received)
	default:
		c.enqueue(received)
	}
}

// enqueue adds a message to the queue.
func (c *clientConn) enqueue(received queuedMessage) {
	cost := received.message.Size() + messageOverhead
	entry := c.listener.messages.Add(&c.queue.flow, cost, received.message.Fields[thrift.FieldOrderKey], received)
	c.queue.messages = append(c.queue.messages, entry)
	c.queue.bytes += received.memory()
	if received.isCall() {
		c.queue.calls++
	}
	c.listener.bufferBudget.Reserve(received.memory())
}

// cancel cancels the request with a sequence number, whether it was submitted or is still queued.
func (c *clientConn) cancel(sequence int32) {
	if request := c.inFlight[sequence]; request != nil {
		delete(c.inFlight, sequence)
		c.listener.server.core.Cancel(request)
		return
	}
	for i, entry := range c.queue.messages {
		if queued := &entry.Value; queued.isCall() && queued.message.Seq == sequence {
			c.listener.messages.Remove(entry)
			c.removeQueued(i)
			c.counters().CanceledRequests++
			return
		}
	}
}

// removeQueued removes the message at an index from the connection's queue.
func (c *clientConn) removeQueued(index int) {
	queued := &c.queue.messages[index].Value
	c.queue.bytes -= queued.memory()
	if queued.isCall() {
		c.queue.calls--
	}
	c.listener.bufferBudget.Release(queued.memory())
	c.queue.messages = slices.Delete(c.queue.messages, index, index+1)
}

// dropQueued drops all queued messages of the connection.
func (c *clientConn) dropQueued() {
	for _, entry := range c.queue.messages {
		c.listener.messages.Remove(entry)
	}
	c.listener.bufferBudget.Release(c.queue.bytes)
	c.queue.messages, c.queue.bytes, c.queue.calls = nil, 0, 0
}

// handleMessages handles queued messages, at least one, until the turn has lasted maxTurnDuration.
func (l *clientListener) handleMessages() {
	host := &l.server.host
	for {
		queued, ok := l.messages.Next()
		if !ok {
			return
		}
		queued.client.removeQueued(0)
		queued.client.handle(queued)
		if host.Clock.Now()-host.TurnTime >= maxTurnDuration {
			return
		}
	}
}

// handle handles a message.
func (c *clientConn) handle(queued queuedMessage) {
	var exception *thrift.Exception
	switch {
	case errors.As(queued.failure, &exception):
		c.counters().UnusableRequests++
		c.respond(exception.Reply())
	case queued.failure != nil:
		c.counters().MalformedInput++
		slog.Debug("malformed client message", slog.Any("error", queued.failure))
		c.closeAfterResponses()
	default:
		c.dispatch(queued.message, queued.receivedAt)
	}
}
