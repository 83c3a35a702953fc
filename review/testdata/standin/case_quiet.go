package main

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"time"
)

func init() { cases["quiet"] = (*Run).quietCase }

// dialEthernet connects with the segment size of Ethernet and a usual receive buffer, as over a network. Over loopback
// the system would otherwise hold megabytes for a client that does not read.
func (r *Run) dialEthernet(address string) net.Conn {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
			}
		})
		return errors.Join(err, controlErr)
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp4", address)
	r.need(err)
	return conn
}

// quietCase: a client's connection falls quiet for 1.5 s while its answers come.
func (r *Run) quietCase() {
	row := strings.Repeat("x", 95) + "\t1\t2\n" // 100 bytes
	page := strings.Repeat(row, 60)             // 6,000 bytes
	pages := []string{page, page, page, page, page, page, page, page}
	plan := func(Start) Plan { return Plan{Run: 300 * time.Millisecond, End: EndServed, Pages: pages} }
	e1, e2 := r.NewEngine(1, plan), r.NewEngine(2, plan)
	config := r.Config("n1", r.FreeAddress(), r.NewJournal().Addr, Settings(1, 0), e1, e2)
	config["limits"].(map[string]any)["memory_mb"] = 32
	f := r.StartFrontEnd(config, nil)
	c := NewClient(r.dialEthernet(f.Addr))
	defer c.Close()
	if (<-c.Health()).Good != true {
		panic("not healthy")
	}
	if r.Trouble {
		c.quiet.Lock()
		r.Log("the client's connection falls quiet")
	}
	var replies []chan Reply
	for range 32 {
		fields := map[string]string{"op": "lookup", "call": r.NewID(), "ttl": "4500", "org": "volta-air", "work": "100",
			"mb": "16"}
		r.Log("client sends lookup %s", fields["call"])
		_, reply := c.Call(fields, "select * from ops_1.passengers")
		replies = append(replies, reply)
	}
	time.Sleep(1500 * time.Millisecond)
	if r.Trouble {
		r.Log("the client's connection goes on")
		c.quiet.Unlock()
	}
	counts := map[string]int{}
	for i, reply := range replies {
		got := <-reply
		counts[got.Kind]++
		r.Log("request %d: %s, %d bytes", i+1, got.Kind, len(got.Body))
	}
	// One answer may have begun when the connection ended: that one has failed and is not lost.
	if lost := counts["closed"] - 1; lost > 0 {
		r.Broken("%d requests were taken and their connection was closed with no answer: %v", lost, counts)
	}
}
