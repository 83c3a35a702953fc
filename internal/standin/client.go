package standin

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Client is a Thrift client of the front end, written apart from the program's own codec.
type Client struct {
	T    *testing.T
	Conn net.Conn
	Seq  int32
}

// Client connects another client.
func (r *Rig) Client() *Client {
	conn, err := net.Dial("tcp4", r.Addr)
	require.NoError(r.T, err)
	r.T.Cleanup(func() { conn.Close() })
	require.NoError(r.T, conn.SetDeadline(time.Now().Add(Patience)))
	return &Client{T: r.T, Conn: conn}
}

func text(s string) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(s))), s...) }

// Secure connects another client by TLS, and gives the error where the front end does not have it.
func (r *Rig) Secure(config *tls.Config) (*Client, error) {
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: Patience}, "tcp4", r.Addr, config)
	if err != nil {
		return nil, err
	}
	r.T.Cleanup(func() { conn.Close() })
	return &Client{T: r.T, Conn: conn}, conn.SetDeadline(time.Now().Add(Patience))
}

// Send sends a message of a kind and gives its sequence number; the arguments are whole fields.
func (c *Client) Send(kind byte, name string, args ...[]byte) int32 {
	require.NoError(c.T, c.TrySend(kind, name, args...))
	return c.Seq
}

// TrySend sends a message to a front end that may be gone.
func (c *Client) TrySend(kind byte, name string, args ...[]byte) error {
	c.Seq++
	m := append([]byte{0x80, 1, 0, kind}, text(name)...)
	m = binary.BigEndian.AppendUint32(m, uint32(c.Seq))
	m = append(append(m, bytes.Join(args, nil)...), 0)
	_, err := c.Conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(m))), m...))
	return err
}

// Ask sends a request: fields as name, value, name, value.
func (c *Client) Ask(statement string, fields ...string) int32 {
	require.NoError(c.T, c.TryAsk(statement, fields...))
	return c.Seq
}

// TryAsk sends a request to a front end that may be gone.
func (c *Client) TryAsk(statement string, fields ...string) error {
	m := []byte{13, 0, 1, 11, 11, 0, 0, 0, byte(len(fields) / 2)}
	for _, f := range fields {
		m = append(m, text(f)...)
	}
	return c.TrySend(1, "call", m, append([]byte{11, 0, 2}, text(statement)...))
}

// ID is a request's id.
func ID(n int) string { return fmt.Sprintf("%016x", n) }

// Lookup asks for a lookup with the usual fields.
func (c *Client) Lookup(n int, ttl string) int32 {
	return c.Ask("SELECT * FROM s_1.t", "call", ID(n), "op", "lookup", "ttl", ttl, "org", "t", "work", "1000.0", "mb", "8")
}

// Load asks for a load with a key.
func (c *Client) Load(n int, ttl string) int32 {
	return c.Ask("INSERT INTO s_1.t", "call", ID(n), "op", "load", "ttl", ttl, "dedupe", fmt.Sprint(n), "row", "k", "work", "10.0")
}

// Reply is one message from the front end: what it is, and the text in it.
type Reply struct {
	Seq  int32
	What string // answer, shed, fault or exception
	Raw  string
}

// Read reads the next message from the front end.
func (c *Client) Read() Reply {
	c.T.Helper()
	p, err := c.TryRead()
	require.NoError(c.T, err)
	return p
}

// TryRead reads the next message from a front end that may be gone.
func (c *Client) TryRead() (Reply, error) {
	var size uint32
	if err := binary.Read(c.Conn, binary.BigEndian, &size); err != nil {
		return Reply{}, err
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(c.Conn, b); err != nil {
		return Reply{}, err
	}
	n := 8 + int(binary.BigEndian.Uint32(b[4:]))
	p := Reply{Seq: int32(binary.BigEndian.Uint32(b[n:])), Raw: string(b[n+4:]), What: "exception"}
	if b[3] == 2 {
		p.What = []string{"answer", "shed", "fault"}[b[n+6]]
	}
	return p, nil
}

// Body is the rows of an answer.
func (p Reply) Body() string {
	n := binary.BigEndian.Uint32([]byte(p.Raw[6:]))
	return p.Raw[10 : 10+n]
}

// Healthy asks for the front end's health.
func (c *Client) Healthy() bool {
	c.Send(1, "health")
	return strings.HasSuffix(c.Read().Raw, "\x02\x00\x03\x01\x00\x00")
}
