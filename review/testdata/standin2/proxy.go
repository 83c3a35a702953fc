package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to a target until it is cut: then it closes all and takes no new ones.
type proxy struct {
	addr, target string
	mu           sync.Mutex
	isCut        bool
	conns        map[net.Conn]bool
}

// startProxy starts a proxy on a free port.
func startProxy(w *world, target string) *proxy {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err, "proxy")
	w.atEnd(func() { _ = listener.Close() })
	p := &proxy{addr: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}}
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

// add counts connections as open, unless the proxy is cut.
func (p *proxy) add(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		if p.isCut {
			conn.Close()
			continue
		}
		p.conns[conn] = true
	}
	return !p.isCut
}

func (p *proxy) serve(conn net.Conn) {
	if !p.add(conn) {
		return
	}
	far, err := net.Dial("tcp4", p.target)
	if err != nil {
		conn.Close()
		return
	}
	if !p.add(far) {
		conn.Close()
		return
	}
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		to.Close()
		from.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, to)
		delete(p.conns, from)
	}
	go pass(conn, far)
	pass(far, conn)
}

// setCut cuts the proxy, or ends the cut.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	for conn := range p.conns {
		if cut {
			conn.Close()
			delete(p.conns, conn)
		}
	}
}
