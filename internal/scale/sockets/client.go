package sockets

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// replyTimeout is long because a loop on a busy machine may have to wait for a core, and because garbage collections
// take time.
const replyTimeout = 30 * time.Second

// client sends requests to one worker.
type client struct {
	mu      sync.Mutex
	encoder *json.Encoder
	lastID  int                 // of requests
	pending map[int]func(reply) // callbacks by the IDs of their requests
	closed  chan struct{}       // closed when no more replies can arrive
}

func newClient(in io.Writer, out io.Reader) *client {
	c := &client{encoder: json.NewEncoder(in), pending: map[int]func(reply){}, closed: make(chan struct{})}
	go c.readReplies(out)
	return c
}

// readReplies passes each reply to the callback of its request.
func (c *client) readReplies(out io.Reader) {
	defer close(c.closed)
	decoder := json.NewDecoder(out)
	for {
		var r reply
		if decoder.Decode(&r) != nil {
			return
		}
		c.mu.Lock()
		done := c.pending[r.ID]
		delete(c.pending, r.ID)
		c.mu.Unlock()
		if done != nil {
			done(r)
		}
	}
}

// send sends a request. It calls done with the reply, on another goroutine.
func (c *client) send(q request, done func(reply)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	q.ID = c.lastID
	c.pending[q.ID] = done
	if err := c.encoder.Encode(q); err != nil {
		return fmt.Errorf("sockets: sending a request to a worker: %w", err)
	}
	return nil
}

// Errors of calls.
var (
	errWorkerExited = errors.New("sockets: worker exited")
	errReplyTimeout = errors.New("sockets: worker did not reply in time")
)

// call sends a request and waits for its reply. The error of the reply, if any, is returned as an error.
func (c *client) call(q request) (reply, error) {
	replies := make(chan reply, 1)
	if err := c.send(q, func(r reply) { replies <- r }); err != nil {
		return reply{}, err
	}
	select {
	case r := <-replies:
		if r.Error != "" {
			return r, fmt.Errorf("%s %s: %s", q.Op, q.Member, r.Error)
		}
		return r, nil
	case <-c.closed:
		return reply{}, errWorkerExited
	case <-time.After(replyTimeout):
		return reply{}, errReplyTimeout
	}
}
