package server

import (
	"strconv"

	"chutechute/identity"
	"chutechute/internal/monotime"
	"chutechute/internal/thrift"
)

// responder sends the response to one request of a client. It implements gateway.Responder.
type responder struct {
	client   *clientConn
	sequence int32
	sent     bool
}

// send sends the response and removes the request from those in flight.
func (r *responder) send(response []byte) {
	r.sent = true
	delete(r.client.inFlight, r.sequence)
	r.client.respond(response)
}

// Respond sends the result rows of the request.
func (r *responder) Respond(rows []byte) {
	r.send(thrift.EncodeReply(thrift.MethodCall, r.sequence, rows, nil, true))
}

// Reject tells the client that the request did not run, and after what time it may be retried.
func (r *responder) Reject(after monotime.Micros) {
	fields := map[string]string{}
	r.addRetryAfter(fields, after)
	r.send(thrift.EncodeRejection(r.sequence, fields))
}

// Fail tells the client that the request failed. It does not say whether the request ran.
func (r *responder) Fail() { r.send(thrift.EncodeFailure(r.sequence, nil)) }

// deny responds to a request that was denied before it was accepted. It invites a retry only if one can succeed.
func (r *responder) deny(denied *identity.Denied) {
	fields := map[string]string{"never_ran": "1", "reason": denied.Error()}
	if denied.RetryAfter == 0 {
		r.send(thrift.EncodeFailure(r.sequence, fields))
		return
	}
	maxRetryAfter := r.client.listener.server.cfg.Settings.Limits.MaxRetryAfter
	r.addRetryAfter(fields, min(denied.RetryAfter, maxRetryAfter))
	r.send(thrift.EncodeRejection(r.sequence, fields))
}

// addRetryAfter adds the time after which the request may be retried, in milliseconds and rounded up, if the settings
// enable it.
func (r *responder) addRetryAfter(fields map[string]string, after monotime.Micros) {
	if !r.client.listener.server.cfg.Settings.Limits.RetryAfter {
		return
	}
	millis := (after + monotime.Millisecond - 1) / monotime.Millisecond
	fields["pushback"] = strconv.FormatInt(millis, 10)
}
