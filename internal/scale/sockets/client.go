package sockets

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// replyWait bounds how long a reply may take: a busy machine lets a loop wait, and a collection of garbage takes a while.
const replyWait = 30 * time.Second

// client asks one worker.
type client struct {
	mu      sync.Mutex
	encoder *json.Encoder
	last    int
	waiting map[int]func(reply)
	ended   chan struct{} // closed when no more replies can come
}

func newClient(in io.Writer, out io.Reader) *client {
	c := &client{encoder: json.NewEncoder(in), waiting: map[int]func(reply){}, ended: make(chan struct{})}
	go c.read(out)
	return c
}

// read hands replies to who waits for them.
func (c *client) read(out io.Reader) {
	defer close(c.ended)
	decoder := json.NewDecoder(out)
	for {
		var r reply
		if decoder.Decode(&r) != nil {
			return
		}
		c.mu.Lock()
		done := c.waiting[r.ID]
		delete(c.waiting, r.ID)
		c.mu.Unlock()
		if done != nil {
			done(r)
		}
	}
}

// send sends a request; done is called with its reply, from another goroutine.
func (c *client) send(q request, done func(reply)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	q.ID = c.last
	c.waiting[q.ID] = done
	if err := c.encoder.Encode(q); err != nil {
		return fmt.Errorf("sockets: a process of hollow front ends: %w", err)
	}
	return nil
}

// Errors of a worker.
var (
	errWorkerEnded  = errors.New("sockets: a process of hollow front ends has ended")
	errWorkerSilent = errors.New("sockets: a process of hollow front ends does not answer")
)

// ask sends a request and waits for its reply.
func (c *client) ask(q request) (reply, error) {
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
	case <-c.ended:
		return reply{}, errWorkerEnded
	case <-time.After(replyWait):
		return reply{}, errWorkerSilent
	}
}
