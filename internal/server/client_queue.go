package server

import (
	"errors"
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
	// maxQueuedMessages is the number of messages that one connection may have queued. A client that keeps to the
	// protocol has fewer, since each of its open requests is sent and canceled at most once.
	maxQueuedMessages = 2 * maxInFlight
	// messageOverhead is the cost of a message beside that of its bytes, in bytes.
	messageOverhead = 256
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
	bytes    int // reserved from the buffer budget
}

// isException reports whether a message could not be decoded and its sender gets an exception for it.
func isException(err error) bool {
	var exception *thrift.Exception
	return errors.As(err, &exception)
}

// hasQueueSpace reports whether another message of the connection may be queued.
func (c *clientConn) hasQueueSpace() bool {
	if len(c.queue.messages) == 0 {
		return true
	}
	next := min(c.In.Len(), thrift.MaxFrame)
	return len(c.queue.messages) < maxQueuedMessages && c.queue.bytes+next <= c.listener.maxUnreadOutput() &&
		c.listener.bufferBudget.HasSpace(next)
}

// enqueue queues a message, or the failure to decode one. A cancel takes effect at once: no attempt may begin for a
// request whose client no longer waits.
func (c *clientConn) enqueue(message thrift.Message, failure error) {
	if failure == nil && message.Name == methodCancel {
		c.cancel(message.Target)
		return
	}
	entry := c.listener.messages.Add(
		&c.queue.flow,
		message.Size()+messageOverhead,
		message.Fields[fieldOrderKey],
		queuedMessage{client: c, message: message, failure: failure, receivedAt: c.turnTime()},
	)
	c.queue.messages = append(c.queue.messages, entry)
	c.queue.bytes += message.Size()
	c.listener.bufferBudget.Reserve(message.Size())
}

// cancel cancels the request with a sequence number, whether it was submitted or is still queued.
func (c *clientConn) cancel(sequence int32) {
	if request := c.inFlight[sequence]; request != nil {
		delete(c.inFlight, sequence)
		c.listener.server.core.Cancel(request)
		return
	}
	for i, entry := range c.queue.messages {
		queued := &entry.Value
		if queued.failure == nil && queued.message.Name == methodCall && queued.message.Seq == sequence {
			c.listener.messages.Remove(entry)
			c.removeQueued(i)
			c.counters().CanceledRequests++
			return
		}
	}
}

// removeQueued removes the message at an index from the connection's queue.
func (c *clientConn) removeQueued(index int) {
	size := c.queue.messages[index].Value.message.Size()
	c.queue.bytes -= size
	c.listener.bufferBudget.Release(size)
	c.queue.messages = slices.Delete(c.queue.messages, index, index+1)
}

// dropQueued drops all queued messages of the connection.
func (c *clientConn) dropQueued() {
	for _, entry := range c.queue.messages {
		c.listener.messages.Remove(entry)
	}
	c.listener.bufferBudget.Release(c.queue.bytes)
	c.queue.messages, c.queue.bytes = nil, 0
}

// handleMessages handles queued messages, at least one and otherwise until the turn has lasted maxTurnDuration. A
// message is handled in a later turn than all that was read before it and has the same order key.
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
