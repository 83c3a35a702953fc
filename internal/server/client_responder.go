package server

import (
	"strconv"

	"chutechute/identity"
	"chutechute/internal/monotime"
	"chutechute/internal/thrift"
)

// responder writes the response to one request of a client. It is the gateway's Responder.
type responder struct {
	client   *clientConn
	sequence int32
	sent     bool
}

// send writes the response; the request is no longer in flight.
func (r *responder) send(response []byte) {
	r.sent = true
	delete(r.client.inFlight, r.sequence)
	r.client.respond(response)
}

// Respond sends the rows that the request has given.
func (r *responder) Respond(rows []byte) {
	r.send(thrift.EncodeReply("call", r.sequence, rows, nil, true))
}

// Reject sends that the request was not run, and that it may be retried after some time.
func (r *responder) Reject(after monotime.Micros) {
	fields := map[string]string{}
	r.addRetryAfter(fields, after)
	r.send(thrift.EncodeRejection(r.sequence, fields))
}

// Fail sends that the request has failed, and nothing on whether it has run.
func (r *responder) Fail() { r.send(thrift.EncodeFailure(r.sequence, nil)) }

// deny responds to a request that was refused before it was taken, and that may be retried only where that can help.
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

// addRetryAfter adds after how many milliseconds, rounded up, the request may be retried, where the settings allow it.
func (r *responder) addRetryAfter(fields map[string]string, after monotime.Micros) {
	if !r.client.listener.server.cfg.Settings.Limits.RetryAfter {
		return
	}
	millis := (after + monotime.Millisecond - 1) / monotime.Millisecond
	fields["pushback"] = strconv.FormatInt(millis, 10)
}
