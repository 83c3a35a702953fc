package server

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"

	"chutechute/gateway"
	"chutechute/identity"
	"chutechute/internal/decimal"
	"chutechute/internal/monotime"
	"chutechute/internal/thrift"
)

// Limits that the protocol sets for requests.
const (
	maxInFlight           = 32 // requests in flight on one connection
	requestIDLength       = 16 // hexadecimal digits
	maxIdempotencyKeySize = 64 // bytes
	maxTTLMillis          = 3600 * 1000
	maxWorkMillis         = 1e9
	maxMemoryMB           = 1e9
)

const (
	hexDigits    = "0123456789abcdefABCDEF"
	alphanumeric = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)

// dispatch handles a message other than a cancel according to its method.
func (c *clientConn) dispatch(message thrift.Message, receivedAt monotime.Micros) {
	switch message.Name {
	case thrift.MethodHealth:
		healthy := c.listener.server.lifecycle.Healthy()
		c.respond(thrift.EncodeReply(message.Name, message.Seq, nil, nil, healthy))
	case thrift.MethodCall:
		c.submit(message, receivedAt)
	}
}

// submit passes the request in a call message to the core.
func (c *clientConn) submit(message thrift.Message, receivedAt monotime.Micros) {
	if c.inFlight[message.Seq] != nil { // two responses with one sequence number could not be told apart
		c.counters().MalformedInput++
		c.closeAfterResponses()
		return
	}
	call, err := parseCall(message)
	if err != nil {
		c.respondUnusable(message, err)
		return
	}
	call.ClientTimeout -= c.turnTime() - receivedAt
	response := &responder{client: c, sequence: message.Seq}
	if c.denyRevoked(response) {
		return
	}
	call.Credentials = c.credentials(message.Fields[thrift.FieldToken])
	request, err := c.listener.server.core.Submit(c.turnTime(), call, response)
	var denied *identity.Denied
	if errors.As(err, &denied) {
		response.deny(denied)
		return
	}
	if err != nil {
		c.respondUnusable(message, err)
		return
	}
	if !response.sent {
		c.inFlight[message.Seq] = request
	}
}

// respondUnusable sends an exception for a request that is invalid or exceeds a limit.
func (c *clientConn) respondUnusable(message thrift.Message, cause error) {
	c.counters().UnusableRequests++
	slog.Debug("unusable client request", slog.Any("error", cause))
	exception := thrift.Exception{
		Seq:  message.Seq,
		Name: message.Name,
		Kind: thrift.ProtocolError,
		Text: cause.Error(),
	}
	c.respond(exception.Reply())
}

// parseCall parses a call message and validates the fields that are sent to engines in headers and paths. Missing
// fields stay zero, except that the request ID and the timeout are required. Errors are sent to the client, so each
// begins with the name of the invalid field.
func parseCall(message thrift.Message) (*gateway.Call, error) {
	fields := message.Fields
	call := &gateway.Call{
		ID:             fields[thrift.FieldID],
		Class:          fields[thrift.FieldClass],
		Tenant:         fields[thrift.FieldTenant],
		OrderKey:       fields[thrift.FieldOrderKey],
		IdempotencyKey: fields[thrift.FieldIdempotencyKey],
		Statement:      message.Body,
	}
	if !isRequestID(call.ID) {
		return nil, fmt.Errorf("call: %.80q is no id", call.ID)
	}
	if !isIdempotencyKey(call.IdempotencyKey) {
		return nil, fmt.Errorf("dedupe: %.80q is no key", call.IdempotencyKey)
	}
	ttl, err := parseNumber(fields, thrift.FieldTimeout, maxTTLMillis)
	if err == nil && ttl <= 0 {
		err = fmt.Errorf("ttl: %.80q is no span in milliseconds", fields[thrift.FieldTimeout])
	}
	if err != nil {
		return nil, err
	}
	work, err := parseNumber(fields, thrift.FieldWork, maxWorkMillis)
	if err != nil {
		return nil, err
	}
	call.ClientTimeout, call.EstimatedWork = millisToMicros(ttl), millisToMicros(work)
	call.MemoryMB, err = parseNumber(fields, thrift.FieldMemory, maxMemoryMB)
	return call, err
}

// millisToMicros converts milliseconds to microseconds.
func millisToMicros(millis float64) monotime.Micros {
	return monotime.Micros(millis * float64(monotime.Millisecond))
}

// parseNumber parses a field as a decimal number from 0 to limit. A missing field is 0.
func parseNumber(fields map[string]string, name string, limit float64) (float64, error) {
	text, ok := fields[name]
	if !ok {
		return 0, nil
	}
	number, err := decimal.Parse(text, limit)
	if err != nil {
		err = fmt.Errorf("%s: %w", name, err)
	}
	return number, err
}

// isRequestID reports whether text is a request ID in the form that the protocol requires.
func isRequestID(text string) bool {
	return len(text) == requestIDLength && strings.Trim(text, hexDigits) == ""
}

// isIdempotencyKey reports whether text is a valid idempotency key or empty. The characters allowed need no escaping in
// a header.
func isIdempotencyKey(text string) bool {
	return len(text) <= maxIdempotencyKeySize && strings.Trim(text, alphanumeric+"-_.") == ""
}
