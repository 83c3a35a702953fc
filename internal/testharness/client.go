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

// Client is a client of a front end. It uses framed Thrift in the binary protocol, implemented independently of the
// program's own codec. It is not safe for concurrent use.
type Client struct {
	T       *testing.T
	Conn    net.Conn
	LastSeq int32 // sequence number of the last message sent
}

// NewClient connects a new client to the front end. All reads and writes have to complete within WaitTimeout from now.
// The connection is closed at the end of the test.
func (h *Harness) NewClient() *Client {
	conn, err := net.Dial("tcp4", h.Addr)
	require.NoError(h.T, err)
	h.T.Cleanup(func() { conn.Close() })
	require.NoError(h.T, conn.SetDeadline(time.Now().Add(WaitTimeout)))
	return &Client{T: h.T, Conn: conn}
}

// NewTLSClient connects a new client over TLS. It returns an error if the connection or the handshake fails.
func (h *Harness) NewTLSClient(config *tls.Config) (*Client, error) {
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: WaitTimeout}, "tcp4", h.Addr, config)
	if err != nil {
		return nil, err
	}
	h.T.Cleanup(func() { conn.Close() })
	return &Client{T: h.T, Conn: conn}, conn.SetDeadline(time.Now().Add(WaitTimeout))
}

// Message and field types of Thrift's binary protocol.
const (
	callMessage  = 1
	replyMessage = 2

	stringField = 11
	mapField    = 13
	fieldsEnd   = 0
)

// thriftVersion is the version at the start of each message. The message's type follows.
var thriftVersion = []byte{0x80, 1, 0}

// appendText appends the encoding of a string: its length and its bytes.
func appendText(b []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
}

// SendMessage sends a message of the given Thrift type and method name, and returns its sequence number. The arguments
// are completely encoded fields.
func (c *Client) SendMessage(kind byte, name string, args ...[]byte) int32 {
	require.NoError(c.T, c.TrySendMessage(kind, name, args...))
	return c.LastSeq
}

// TrySendMessage is SendMessage, but returns the error if the message can't be written.
func (c *Client) TrySendMessage(kind byte, name string, args ...[]byte) error {
	c.LastSeq++
	_, err := c.Conn.Write(EncodeMessage(kind, c.LastSeq, name, args...))
	return err
}

// EncodeMessage returns the frame of a message of the given Thrift type, sequence number and method name. The arguments
// are completely encoded fields.
func EncodeMessage(kind byte, seq int32, name string, args ...[]byte) []byte {
	message := append(bytes.Clone(thriftVersion), kind)
	message = appendText(message, name)
	message = binary.BigEndian.AppendUint32(message, uint32(seq))
	message = append(message, bytes.Join(args, nil)...)
	message = append(message, fieldsEnd)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	return append(frame, message...)
}

// SendRequest sends a request with the given statement, and returns its sequence number. The entries of the request's
// map are given as name, value, name, value and so on.
func (c *Client) SendRequest(statement string, fields ...string) int32 {
	require.NoError(c.T, c.TrySendRequest(statement, fields...))
	return c.LastSeq
}

// TrySendRequest is SendRequest, but returns the error if the request can't be written.
func (c *Client) TrySendRequest(statement string, fields ...string) error {
	return c.TrySendMessage(callMessage, "call", RequestArguments(statement, fields...))
}

// RequestArguments returns the encoded arguments of a request. Its map is given as for SendRequest.
func RequestArguments(statement string, fields ...string) []byte {
	arguments := []byte{mapField, 0, 1, stringField, stringField, 0, 0, 0, byte(len(fields) / 2)}
	for _, text := range fields {
		arguments = appendText(arguments, text)
	}
	return appendText(append(arguments, stringField, 0, 2), statement)
}

// RequestID returns the request id with the given number: 16 hexadecimal digits.
func RequestID(n int) string { return fmt.Sprintf("%016x", n) }

// SendLookup sends a lookup with the request id RequestID(n), and returns its sequence number. clientTimeoutMS is the
// client timeout in milliseconds.
func (c *Client) SendLookup(n int, clientTimeoutMS string) int32 {
	return c.SendRequest("SELECT * FROM s_1.t",
		"call", RequestID(n), "op", "lookup", "ttl", clientTimeoutMS, "org", "t", "work", "1000.0", "mb", "8")
}

// SendLoad sends a load with the request id RequestID(n) and the idempotency key n, and returns its sequence number.
// All loads have the same order key. clientTimeoutMS is the client timeout in milliseconds.
func (c *Client) SendLoad(n int, clientTimeoutMS string) int32 {
	return c.SendRequest("INSERT INTO s_1.t",
		"call", RequestID(n), "op", "load", "ttl", clientTimeoutMS, "dedupe", fmt.Sprint(n), "row", "k", "work", "10.0")
}

// Reply is one message from the front end.
type Reply struct {
	Seq     int32  // sequence number of the request
	Kind    string // answer, shed, fault or exception
	Payload string // everything after the sequence number
}

// Healthy calls the front end's health method, and reports whether the response is that it is healthy.
func (c *Client) Healthy() bool {
	c.SendMessage(callMessage, "health")
	return strings.HasSuffix(c.ReadReply().Payload, "\x02\x00\x03\x01\x00\x00")
}

// replyKinds are the kinds of replies, by the id of the first field of a reply's result.
var replyKinds = []string{history.Succeeded, history.Rejected, history.Failed}

const exceptionReply = "exception"

// ReadReply reads the next message from the front end. The test fails if none can be read.
func (c *Client) ReadReply() Reply {
	c.T.Helper()
	reply, err := c.TryReadReply()
	require.NoError(c.T, err)
	return reply
}

// TryReadReply is ReadReply, but returns the error if no message can be read.
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

// decodeReply decodes a message: version and type (4 bytes), name (preceded by its length in 4 bytes), sequence number
// (4 bytes) and, in a reply, a result. The id of the result's first field is in its second and third byte.
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

// Rows returns the rows of a reply of the kind answer.
func (r Reply) Rows() string {
	const lengthOffset, rowsOffset = 6, 10
	length := binary.BigEndian.Uint32([]byte(r.Payload[lengthOffset:]))
	return r.Payload[rowsOffset : rowsOffset+length]
}
