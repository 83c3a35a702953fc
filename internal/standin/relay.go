package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay is the way from one front end to another: all bytes of the links that the first dials pass through it, and faults
// are put here. What the second answers on such a link (its hello) passes too.
type Relay struct {
	Addr   string // that the first dials
	target string
	l      net.Listener

	mu     sync.Mutex
	cut    bool
	stall  bool
	delay  time.Duration
	jitter time.Duration
	rate   int // bytes a second; 0: no limit
	twice  bool
	random *Random
	conns  map[net.Conn]bool
	wake   chan struct{} // closed when a stall ends
}

// NewRelay begins a relay to a target.
func NewRelay(target string, random *Random) (*Relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: l.Addr().String(), target: target, l: l, random: random, conns: map[net.Conn]bool{},
		wake: make(chan struct{})}
	go r.accept()
	return r, nil
}

func (r *Relay) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		cut := r.cut
		if !cut {
			r.conns[c] = true
		}
		r.mu.Unlock()
		if cut {
			c.Close()
			continue
		}
		go r.carry(c)
	}
}

func (r *Relay) carry(c net.Conn) {
	defer r.drop(c)
	to, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.conns[to] = true
	r.mu.Unlock()
	defer r.drop(to)
	go func() { // the hello's answer
		_, _ = io.Copy(c, to)
		r.drop(c)
		r.drop(to)
	}()
	r.pass(c, to)
}

func (r *Relay) drop(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

type chunk struct {
	b  []byte
	at time.Time
}

// pass carries frames whole, so that one can come twice, each after the delay that holds when it comes.
func (r *Relay) pass(from, to net.Conn) {
	list := make(chan chunk, 4096)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for c := range list {
			time.Sleep(time.Until(c.at))
			r.held()
			if _, err := to.Write(c.b); err != nil {
				from.Close()
			}
		}
	}()
	var buf []byte
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			break
		}
		buf = append(buf, b[:n]...)
		for len(buf) >= 4 {
			size := 4 + int(uint32(buf[0])<<24|uint32(buf[1])<<16|uint32(buf[2])<<8|uint32(buf[3]))
			if len(buf) < size {
				break
			}
			frame := append([]byte(nil), buf[:size]...)
			buf = buf[size:]
			r.mu.Lock()
			at, rate := time.Now().Add(r.delay), r.rate
			if r.jitter > 0 {
				at = at.Add(time.Duration(r.random.Uint64() % uint64(r.jitter)))
			}
			if r.twice && frame[4] > 3 && r.random.Uint64()%3 == 0 {
				frame = append(frame, frame...)
			}
			r.mu.Unlock()
			list <- chunk{frame, at}
			if rate > 0 {
				time.Sleep(time.Duration(len(frame)) * time.Second / time.Duration(rate))
			}
		}
		r.held()
	}
	close(list)
	<-done
}

// held waits while the relay stalls: connections stay open and nothing moves.
func (r *Relay) held() {
	for {
		r.mu.Lock()
		stall, wake := r.stall, r.wake
		r.mu.Unlock()
		if !stall {
			return
		}
		<-wake
	}
}

// Cut ends all connections and refuses new ones, or lets them through again.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	var conns []net.Conn
	if cut {
		for c := range r.conns {
			conns = append(conns, c)
		}
	}
	r.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Reset ends all connections once.
func (r *Relay) Reset() { r.Cut(true); r.Cut(false) }

// Stall leaves connections open with nothing moving, or lets them go on.
func (r *Relay) Stall(stall bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stall && !stall {
		close(r.wake)
		r.wake = make(chan struct{})
	}
	r.stall = stall
}

// Slow sets a delay with jitter and a rate in bytes a second, 0 for none.
func (r *Relay) Slow(delay, jitter time.Duration, rate int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay, r.jitter, r.rate = delay, jitter, rate
}

// Twice has a third of all frames come twice.
func (r *Relay) Twice(twice bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.twice = twice
}

// Close ends the relay.
func (r *Relay) Close() {
	r.l.Close()
	r.Cut(true)
	r.Stall(false)
}

// Random is a sequence of numbers from a seed, for one goroutine at a time.
type Random struct {
	mu    sync.Mutex
	state uint64
}

// NewRandom begins a sequence.
func NewRandom(seed uint64) *Random { return &Random{state: seed*0x9e3779b97f4a7c15 | 1} }

// Uint64 is the next number.
func (r *Random) Uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state ^= r.state << 13
	r.state ^= r.state >> 7
	r.state ^= r.state << 17
	return r.state * 0x2545f4914f6cdd1d
}

// N is a number below n.
func (r *Random) N(n int) int { return int(r.Uint64() >> 33 % uint64(n)) }
