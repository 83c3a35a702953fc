package testharness

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

	"chutechute/internal/history"
)

// Client is a client of a front end: framed Thrift in the binary protocol, written apart from the program's own
// codec. It is not safe for concurrent use.
type Client struct {
	T       *testing.T
	Conn    net.Conn
	LastSeq int32 // sequence number of the last message sent
}

// NewClient connects a new client to the front end. Its connection is closed with the test, and has one timeout for all
// of its reads and writes together.
func (h *Harness) NewClient() *Client {
	conn, err := net.Dial("tcp4", h.Addr)
	require.NoError(h.T, err)
	h.T.Cleanup(func() { conn.Close() })
	require.NoError(h.T, conn.SetDeadline(time.Now().Add(WaitTimeout)))
	return &Client{T: h.T, Conn: conn}
}

// NewTLSClient connects a new client by TLS. It returns the error of the handshake where there is one.
func (h *Harness) NewTLSClient(config *tls.Config) (*Client, error) {
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: WaitTimeout}, "tcp4", h.Addr, config)
	if err != nil {
		return nil, err
	}
	h.T.Cleanup(func() { conn.Close() })
	return &Client{T: h.T, Conn: conn}, conn.SetDeadline(time.Now().Add(WaitTimeout))
}

// Types of messages, and of fields, in Thrift's binary protocol.
const (
	callMessage  = 1
	replyMessage = 2

	stringField = 11
	mapField    = 13
	fieldsEnd   = 0
)

// thriftVersion is the first bytes of each message; the message's type follows.
var thriftVersion = []byte{0x80, 1, 0}

// appendText appends the binary form of a string: its length and its bytes.
func appendText(b []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
}

// SendMessage sends a message of a Thrift type, and returns its sequence number. The arguments are whole encoded
// fields.
func (c *Client) SendMessage(kind byte, name string, args ...[]byte) int32 {
	require.NoError(c.T, c.TrySendMessage(kind, name, args...))
	return c.LastSeq
}

// TrySendMessage sends a message of a Thrift type, and returns the error of writing.
func (c *Client) TrySendMessage(kind byte, name string, args ...[]byte) error {
	c.LastSeq++
	message := append(bytes.Clone(thriftVersion), kind)
	message = appendText(message, name)
	message = binary.BigEndian.AppendUint32(message, uint32(c.LastSeq))
	message = append(message, bytes.Join(args, nil)...)
	message = append(message, fieldsEnd)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	_, err := c.Conn.Write(append(frame, message...))
	return err
}

// SendRequest sends a request, and returns its sequence number. The fields of its map are name, value, name, value
// and so on.
func (c *Client) SendRequest(statement string, fields ...string) int32 {
	require.NoError(c.T, c.TrySendRequest(statement, fields...))
	return c.LastSeq
}

// TrySendRequest sends a request with the fields of its map, and returns the error of writing.
func (c *Client) TrySendRequest(statement string, fields ...string) error {
	info := []byte{mapField, 0, 1, stringField, stringField, 0, 0, 0, byte(len(fields) / 2)}
	for _, text := range fields {
		info = appendText(info, text)
	}
	return c.TrySendMessage(callMessage, "call", info, appendText([]byte{stringField, 0, 2}, statement))
}

// RequestID returns the request id of a number: 16 hexadecimal digits.
func RequestID(n int) string { return fmt.Sprintf("%016x", n) }

// SendLookup sends a look-up with the usual fields and the id of a number, and returns its sequence number. The
// ttl, the client's timeout, is in milliseconds.
func (c *Client) SendLookup(n int, ttl string) int32 {
	return c.SendRequest("SELECT * FROM s_1.t",
		"call", RequestID(n), "op", "lookup", "ttl", ttl, "org", "t", "work", "1000.0", "mb", "8")
}

// SendLoad sends a load with the id and idempotency key of a number, and returns its sequence number. All of them have
// the same order key. The ttl, the client's timeout, is in milliseconds.
func (c *Client) SendLoad(n int, ttl string) int32 {
	return c.SendRequest("INSERT INTO s_1.t",
		"call", RequestID(n), "op", "load", "ttl", ttl, "dedupe", fmt.Sprint(n), "row", "k", "work", "10.0")
}

// Reply is one message from the front end.
type Reply struct {
	Seq     int32  // sequence number of the request that it responds to
	Kind    string // answer, shed, fault or exception
	Payload string // all after the sequence number
}

// Healthy calls the front end's health method, and reports whether it responds that it is healthy.
func (c *Client) Healthy() bool {
	c.SendMessage(callMessage, "health")
	return strings.HasSuffix(c.ReadReply().Payload, "\x02\x00\x03\x01\x00\x00")
}

// replyKinds is the kind of reply for each id of the field that a reply's result begins with.
var replyKinds = []string{history.Succeeded, history.Rejected, history.Failed}

const exceptionReply = "exception"

// ReadReply reads the next message from the front end. The test fails where none can be read.
func (c *Client) ReadReply() Reply {
	c.T.Helper()
	reply, err := c.TryReadReply()
	require.NoError(c.T, err)
	return reply
}

// TryReadReply reads the next message from the front end. It returns the error of reading.
func (c *Client) TryReadReply() (Reply, error) {
	var size uint32
	if err := binary.Read(c.Conn, binary.BigEndian, &size); err != nil {
		return Reply{}, err
	}
	message := make([]byte, size)
	if _, err := io.ReadFull(c.Conn, message); err != nil {
		return Reply{}, err
	}
	return decodeReply(message), nil
}

// decodeReply decodes a message: version and type (4 bytes), name (with 4 bytes of length), sequence number (4) and,
// in a reply, a result whose first field has its id in the second and third byte.
func decodeReply(message []byte) Reply {
	const typeOffset, nameLengthOffset, nameOffset = 3, 4, 8
	seqOffset := nameOffset + int(binary.BigEndian.Uint32(message[nameLengthOffset:]))
	rawOffset := seqOffset + 4
	reply := Reply{
		Seq:     int32(binary.BigEndian.Uint32(message[seqOffset:])),
		Kind:    exceptionReply,
		Payload: string(message[rawOffset:]),
	}
	if message[typeOffset] == replyMessage {
		reply.Kind = replyKinds[message[rawOffset+2]]
	}
	return reply
}

// Rows returns the rows of an answer.
func (p Reply) Rows() string {
	const lengthOffset, rowsOffset = 6, 10
	length := binary.BigEndian.Uint32([]byte(p.Payload[lengthOffset:]))
	return p.Payload[rowsOffset : rowsOffset+length]
}
