package main

import (
	"net"
	"sync"
)

// proxy passes connections on to a target until it is cut. Then it says nothing: open connections stay open and silent,
// and what is written to them arrives once the cut is over; new ones get no further than the proxy.
type proxy struct {
	addr, target string
	mu           sync.Mutex
	open         *sync.Cond
	isCut        bool
}

// startProxy starts a proxy on a free port.
func startProxy(w *world, target string) *proxy {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err, "proxy")
	w.atEnd(func() { _ = listener.Close() })
	p := &proxy{addr: listener.Addr().String(), target: target}
	p.open = sync.NewCond(&p.mu)
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

// wait waits while the proxy is cut.
func (p *proxy) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isCut {
		p.open.Wait()
	}
}

func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	p.wait()
	far, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer far.Close()
	go p.pass(conn, far)
	p.pass(far, conn)
}

// pass passes on what one side writes, until it closes.
func (p *proxy) pass(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}

// setCut cuts the proxy, or ends the cut.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	p.open.Broadcast()
}
