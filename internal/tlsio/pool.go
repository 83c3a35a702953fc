package tlsio

import (
	"sync"
	"time"
)

// Pool runs handshakes. Only one computes at a time, and with pauses in between, so that all together take at most a
// given share of a processor core. The pool does not limit the number of pending handshakes: identity.HandshakeLimiter
// does.
type Pool struct{ throttle throttle }

// NewPool returns a pool whose handshakes take at most a share of a core. The share is above 0 and at most 1.
func NewPool(share float64) *Pool { return &Pool{throttle{share: share}} }

// Start starts a connection's handshake. It calls notify on another goroutine whenever the handshake has output and
// waits for input, and once more, with done set, after the handshake has succeeded or failed with err. Each time there
// may be output to send.
func (p *Pool) Start(c *Conn, notify func(done bool, err error)) {
	c.pipe.mu.Lock()
	c.pipe.throttle, c.pipe.notify = &p.throttle, func() { notify(false, nil) }
	c.pipe.mu.Unlock()
	go func() {
		err := c.runHandshake(&p.throttle)
		notify(true, err)
	}()
}

// SetHandshakeDone marks the handshake as complete, which ends the limit on the input. The owner calls it after notify
// was called with done set.
func (c *Conn) SetHandshakeDone() { c.handshakeDone = true }

// throttle lets one handshake compute at a time, and pauses after each so that they take at most the share of a core.
type throttle struct {
	mu         sync.Mutex
	share      float64
	acquiredAt time.Time
}

// maxPause limits the pause after each computation. The pause follows from the elapsed time, which is more than the
// processor time if something else delayed the computation.
const maxPause = 20 * time.Millisecond

// acquire waits until no other handshake computes.
func (t *throttle) acquire() {
	t.mu.Lock()
	t.acquiredAt = time.Now()
}

// release pauses as the share requires, and then lets the next handshake compute.
func (t *throttle) release() {
	elapsed := time.Since(t.acquiredAt)
	if pause := time.Duration(float64(elapsed) * (1/t.share - 1)); pause > 0 {
		time.Sleep(min(pause, maxPause))
	}
	t.mu.Unlock()
}
