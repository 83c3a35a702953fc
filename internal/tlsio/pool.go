package tlsio

import (
	"sync"
	"time"
)

// Pool runs handshakes: one at a time computes, and with pauses, so that all together take no more than their share of the
// core. It starts what it is told to; how many may be on their way is identity.HandshakeLimiter' to decide.
type Pool struct{ gate gate }

// NewPool is a pool whose handshakes take at most a share of the core, above 0 and 1 at most.
func NewPool(share float64) *Pool { return &Pool{gate{share: share}} }

// Start begins a connection's handshake. After each step, and at the end, tell is called on another goroutine: there may be
// output, and done says whether the handshake is over, and how.
func (p *Pool) Start(c *Conn, tell func(done bool, err error)) {
	c.pipe.mu.Lock()
	c.pipe.gate, c.pipe.tell = &p.gate, func() { tell(false, nil) }
	c.pipe.mu.Unlock()
	go func() {
		err := c.shake(&p.gate)
		tell(true, err)
	}()
}

// Finish says that the owner has heard of the handshake's end.
func (c *Conn) Finish() { c.done = true }

// gate lets one handshake compute at a time. Who leaves it rests first for as long as the share asks.
type gate struct {
	mu    sync.Mutex
	share float64
	since time.Time
}

// longestRest bounds a pause, since a step that was held up by something else is no work.
const longestRest = 20 * time.Millisecond

func (g *gate) enter() {
	g.mu.Lock()
	g.since = time.Now()
}

func (g *gate) leave() {
	spent := time.Since(g.since)
	if rest := time.Duration(float64(spent) * (1/g.share - 1)); rest > 0 {
		time.Sleep(min(rest, longestRest))
	}
	g.mu.Unlock()
}
