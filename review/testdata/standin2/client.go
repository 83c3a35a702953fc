package main

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// answer is what a front end said to a request.
type answer struct {
	kind string // served, refused, failed or exception; closed if the connection ended without one
	text string
	at   time.Time
}

// client is one connection of a client.
type client struct {
	w    *world
	name string
	conn net.Conn

	mu      sync.Mutex
	seq     int32
	pending map[int32]chan answer
	closed  bool
}

// dial connects a client to a front end.
func dial(w *world, name, addr string, config *tls.Config) (*client, error) {
	conn, err := net.DialTimeout("tcp4", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	if config != nil {
		secure := tls.Client(conn, config)
		_ = secure.SetDeadline(time.Now().Add(5 * time.Second))
		if err := secure.Handshake(); err != nil {
			conn.Close()
			return nil, err
		}
		_ = secure.SetDeadline(time.Time{})
		conn = secure
	}
	c := &client{w: w, name: name, conn: conn, pending: map[int32]chan answer{}}
	w.atEnd(func() { conn.Close() })
	go c.read()
	return c, nil
}

// mustDial connects a client, or gives the case up.
func mustDial(w *world, name, addr string) *client {
	c, err := dial(w, name, addr, nil)
	check(err, "client")
	return c
}

func text(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// message returns the next message and its number.
func (c *client) message(method string, arguments []byte) (int32, []byte) {
	c.seq++
	message := text([]byte{0x80, 1, 0, 1}, method)
	message = binary.BigEndian.AppendUint32(message, uint32(c.seq))
	message = append(append(message, arguments...), 0)
	return c.seq, append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
}

// send writes a message and returns its number and where its answer arrives.
func (c *client) send(method string, arguments []byte, answered bool) (int32, chan answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seq, message := c.message(method, arguments)
	result := make(chan answer, 1)
	if answered {
		c.pending[seq] = result
	}
	_, err := c.conn.Write(message)
	return seq, result, err
}

// request encodes the arguments of a request. The fields are name, value, name, value and so on.
func request(statement string, fields ...string) []byte {
	b := []byte{13, 0, 1, 11, 11}
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)/2))
	for _, f := range fields {
		b = text(b, f)
	}
	return text(append(b, 11, 0, 2), statement)
}

// call sends a request and returns its number and where its answer arrives.
func (c *client) call(statement string, fields ...string) (int32, chan answer) {
	seq, result, err := c.send("call", request(statement, fields...), true)
	if err != nil {
		c.fail(seq)
	}
	return seq, result
}

// cancel takes a request back.
func (c *client) cancel(seq int32) {
	b := binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(seq))
	_, _, _ = c.send("cancel", b, false)
}

// healthy asks for the front end's health.
func (c *client) healthy() bool {
	_, result, err := c.send("health", nil, true)
	if err != nil {
		return false
	}
	select {
	case a := <-result:
		return a.kind == "served" && a.text == "good"
	case <-time.After(time.Second):
		return false
	}
}

// fail ends a request whose connection has ended.
func (c *client) fail(seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result := c.pending[seq]; result != nil {
		delete(c.pending, seq)
		result <- answer{kind: "closed", at: time.Now()}
	}
}

// read reads answers until the connection ends.
func (c *client) read() {
	for {
		var size uint32
		if binary.Read(c.conn, binary.BigEndian, &size) != nil || size > 1<<20 {
			break
		}
		message := make([]byte, size)
		if _, err := io.ReadFull(c.conn, message); err != nil {
			break
		}
		at := 8 + int(binary.BigEndian.Uint32(message[4:]))
		seq := int32(binary.BigEndian.Uint32(message[at:]))
		a := answer{kind: "exception", at: time.Now(), text: string(message[at+4:])}
		if message[3] == 2 {
			a.kind = []string{"served", "refused", "failed"}[message[at+4+2]]
		}
		if body := message[at+4:]; a.kind == "served" && len(body) >= 3 && body[len(body)-3] == 1 {
			a.text = "good"
		}
		c.mu.Lock()
		result := c.pending[seq]
		delete(c.pending, seq)
		c.mu.Unlock()
		if result != nil {
			result <- a
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for seq, result := range c.pending {
		delete(c.pending, seq)
		result <- answer{kind: "closed", at: time.Now()}
	}
}

// newID returns a new request id.
func newID() string { return randomHex(8) }

// newKey returns a new idempotency key.
func newKey() string { return randomHex(16) }

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// load returns the fields of a manifest-load.
func load(id, key, row string, ttl time.Duration) []string {
	return []string{"op", "manifest-load", "call", id, "dedupe", key, "row", row, "org", "volta-air",
		"ttl", fmt.Sprint(ttl.Milliseconds()), "work", "3000.0", "mb", "64"}
}
