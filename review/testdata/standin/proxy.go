package main

import (
	"net"
	"sync"
	"time"
)

// Proxy is a path from one process to another. While it is cut, open connections stay open and silent, what was sent
// waits, and new connections never come up.
type Proxy struct {
	Addr, target string

	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
}

// NewProxy starts a path to the target.
func (r *Run) NewProxy(target string) *Proxy {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	r.need(err)
	p := &Proxy{Addr: listener.Addr().String(), target: target}
	p.cond = sync.NewCond(&p.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// SetCut cuts or heals the path.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.cond.Broadcast()
}

func (p *Proxy) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.cond.Wait()
	}
}

func (p *Proxy) serve(dialer net.Conn) {
	defer dialer.Close()
	p.pass()
	target, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	go p.forward(target, dialer)
	p.forward(dialer, target)
}

func (p *Proxy) forward(from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
