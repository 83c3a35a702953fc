package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Reply is what a client gets for one call.
type Reply struct {
	Kind   string // "served", "refused", "failed", "exception" or "closed"
	Body   string
	Fields map[string]string
	Good   bool
	At     time.Time
}

// Client is a client's connection to a front end: Thrift, framed, strict binary protocol.
type Client struct {
	conn net.Conn

	mu      sync.Mutex
	last    int32
	waiting map[int32]chan Reply
	closed  bool

	quiet sync.Mutex // held while the client reads nothing
}

// NewClient returns a client on an established connection, which may be one of crypto/tls.
func NewClient(conn net.Conn) *Client {
	c := &Client{conn: conn, waiting: map[int32]chan Reply{}}
	go c.read()
	return c
}

// Dial connects to a front end.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return NewClient(conn), nil
}

func str(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

func message(kind byte, name string, seq int32) []byte {
	b := []byte{0, 0, 0, 0, 0x80, 1, 0, kind}
	return binary.BigEndian.AppendUint32(str(b, name), uint32(seq))
}

func frame(b []byte) []byte {
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

// send registers a sequence number and writes the message that build returns for it.
func (c *Client) send(build func(seq int32) []byte) (int32, chan Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	ch := make(chan Reply, 4)
	if c.closed {
		ch <- Reply{Kind: "closed", At: time.Now()}
		return c.last, ch
	}
	c.waiting[c.last] = ch
	_, _ = c.conn.Write(build(c.last))
	return c.last, ch
}

// Call sends a request and returns its sequence number and the channel of its reply.
func (c *Client) Call(fields map[string]string, body string) (int32, chan Reply) {
	return c.send(func(seq int32) []byte {
		b := append(message(1, "call", seq), 13, 0, 1, 11, 11)
		b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
		for k, v := range fields {
			b = str(str(b, k), v)
		}
		return frame(append(str(append(b, 11, 0, 2), body), 0))
	})
}

// Health asks whether the front end takes requests.
func (c *Client) Health() chan Reply {
	_, ch := c.send(func(seq int32) []byte { return frame(append(message(1, "health", seq), 2, 0, 1, 1, 0)) })
	return ch
}

// Cancel tells the front end that the client has stopped waiting for a call.
func (c *Client) Cancel(target int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	b := append(message(4, "cancel", c.last), 8, 0, 1)
	_, _ = c.conn.Write(frame(append(binary.BigEndian.AppendUint32(b, uint32(target)), 0)))
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

func (c *Client) waitWhileQuiet() {
	c.quiet.Lock()
	defer c.quiet.Unlock()
}

func (c *Client) read() {
	in := bufio.NewReader(c.conn)
	for {
		c.waitWhileQuiet()
		seq, reply, err := readReply(in)
		if err != nil {
			break
		}
		reply.At = time.Now()
		c.mu.Lock()
		if ch := c.waiting[seq]; ch != nil {
			ch <- reply
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, ch := range c.waiting {
		select {
		case ch <- Reply{Kind: "closed", At: time.Now()}:
		default:
		}
	}
}

var errReply = errors.New("unreadable reply")

// decoder reads the values of one frame.
type decoder struct{ b []byte }

func (d *decoder) take(n int) []byte {
	if n < 0 || n > len(d.b) {
		panic(errReply)
	}
	out := d.b[:n]
	d.b = d.b[n:]
	return out
}
func (d *decoder) byte() byte   { return d.take(1)[0] }
func (d *decoder) u16() uint16  { return binary.BigEndian.Uint16(d.take(2)) }
func (d *decoder) u32() uint32  { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) text() string { return string(d.take(int(d.u32()))) }

func (d *decoder) fields() map[string]string {
	d.take(2)
	m := map[string]string{}
	for n := d.u32(); n > 0; n-- {
		k := d.text()
		m[k] = d.text()
	}
	return m
}

func readReply(in io.Reader) (seq int32, r Reply, err error) {
	var head [4]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return 0, r, err
	}
	b := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err = io.ReadFull(in, b); err != nil {
		return 0, r, err
	}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
	}()
	d := &decoder{b}
	kind := d.u32() & 0xff
	d.text()
	seq = int32(d.u32())
	if kind == 3 {
		r.Kind = "exception"
		if d.byte() == 11 {
			d.u16()
			r.Body = d.text()
		}
		return seq, r, nil
	}
	d.byte()
	switch d.u16() {
	case 0:
		r.Kind = "served"
	case 1:
		r.Kind = "refused"
	default:
		r.Kind = "failed"
	}
	for t := d.byte(); t != 0; t = d.byte() {
		d.u16()
		switch t {
		case 11:
			r.Body = d.text()
		case 13:
			r.Fields = d.fields()
		case 2:
			r.Good = d.byte() == 1
		}
	}
	return seq, r, nil
}
