package testharness

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chutechute/internal/history"
)

const (
	clientDialTimeout = time.Second
	// clientGrace is how much longer than its timeout a client waits for a response before it gives up.
	clientGrace = time.Second
)

// NewRequestID returns a request id that no request to this fleet has had yet.
func (f *Fleet) NewRequestID() string { return RequestID(int(f.calls.Add(1))) }

// LoadAttempt is one attempt of a load.
type LoadAttempt struct {
	IdempotencyKey, OrderKey, Statement string        // idempotency key, order key ("" for none) and statement
	ClientTimeout                       time.Duration // the client's timeout
}

// SendLoad sends a load to a front end and returns the response. Its kind is answer, shed or fault, or lost where the
// connection ended or no response came in time. Request and response are recorded in the history.
func (f *Fleet) SendLoad(frontEnd *FrontEnd, attempt LoadAttempt) Reply {
	call := f.NewRequestID()
	f.History.Add(history.Event{Kind: history.RequestSent, FrontEnd: frontEnd.Name, CallID: call,
		IdempotencyKey: attempt.IdempotencyKey, OrderKey: attempt.OrderKey, Body: attempt.Statement})
	fields := []string{"call", call, "op", "load", "ttl", milliseconds(attempt.ClientTimeout),
		"dedupe", attempt.IdempotencyKey, "work", "10.0"}
	if attempt.OrderKey != "" {
		fields = append(fields, "row", attempt.OrderKey)
	}
	reply := frontEnd.request(attempt.Statement, fields, attempt.ClientTimeout)
	body := ""
	if reply.Kind == history.Succeeded {
		body = reply.Rows()
	}
	f.History.Add(history.Event{Kind: history.RequestEnded, FrontEnd: frontEnd.Name, CallID: call,
		IdempotencyKey: attempt.IdempotencyKey, OrderKey: attempt.OrderKey, Outcome: reply.Kind, Body: body})
	return reply
}

// The look-up of which only the kind of response is of interest.
const (
	lookupRunTimeMS = 5
	lookupTimeout   = 4 * time.Second
)

// SendLookup sends a short look-up without a tenant to the front end and returns the kind of the response: answer,
// shed, fault or lost.
func (n *FrontEnd) SendLookup() string {
	return n.SendTenantLookup("", lookupRunTimeMS, lookupTimeout).Kind
}

// SendTenantLookup sends a look-up of a tenant ("" for none) to the front end, which runs for runTimeMS
// milliseconds and whose client's timeout is ttl. It returns the response, which is lost where none came, and
// records both in the history.
func (n *FrontEnd) SendTenantLookup(tenant string, runTimeMS int, ttl time.Duration) Reply {
	call := n.Fleet.NewRequestID()
	statement := fmt.Sprintf("SELECT * FROM s_1.t -- ms=%d tenant=%s", runTimeMS, tenant)
	n.Fleet.History.Add(history.Event{Kind: history.RequestSent, FrontEnd: n.Name, CallID: call, Body: statement})
	fields := []string{"call", call, "op", "lookup", "ttl", milliseconds(ttl), "work", "10.0"}
	if tenant != "" {
		fields = append(fields, "org", tenant)
	}
	reply := n.request(statement, fields, ttl)
	n.Fleet.History.Add(history.Event{Kind: history.RequestEnded, FrontEnd: n.Name, CallID: call, Outcome: reply.Kind})
	return reply
}

// milliseconds returns a duration as a request's fields have it.
func milliseconds(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) }

// request sends a request on a connection of its own and returns the response, which is lost where none comes.
func (n *FrontEnd) request(statement string, fields []string, ttl time.Duration) Reply {
	reply, err := n.tryRequest(statement, fields, ttl)
	if err != nil {
		reply.Kind = history.ConnectionLost
	}
	return reply
}

// tryRequest sends a request on a connection of its own and returns the response.
func (n *FrontEnd) tryRequest(statement string, fields []string, ttl time.Duration) (Reply, error) {
	conn, err := net.DialTimeout("tcp4", n.ClientAddr, clientDialTimeout)
	if err != nil {
		return Reply{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(ttl + clientGrace))
	client := &Client{T: n.Fleet.T, Conn: conn}
	if err := client.TrySendRequest(statement, fields...); err != nil {
		return Reply{}, err
	}
	return client.TryReadReply()
}

// offeredTimeout is the client's timeout of the look-ups of a workload generator.
const offeredTimeout = 2 * time.Second

// GenerateLookups starts an open-loop workload generator: it sends the front end a tenant's look-ups, perSecond of
// them, each with a run time of runTimeMS milliseconds, until stop is closed. The generator belongs to the wait
// group generators, which is done once the last response has come. The counter that is returned is of the requests
// that were answered.
func (n *FrontEnd) GenerateLookups(
	generators *sync.WaitGroup, stop <-chan struct{}, tenant string, perSecond float64, runTimeMS int,
) *atomic.Int64 {
	answered := &atomic.Int64{}
	generators.Go(func() {
		var requests sync.WaitGroup
		defer requests.Wait()
		began := time.Now()
		for k := 1; ; k++ {
			due := began.Add(time.Duration(float64(k) / perSecond * float64(time.Second)))
			select {
			case <-stop:
				return
			case <-time.After(time.Until(due)):
			}
			requests.Go(func() {
				if n.SendTenantLookup(tenant, runTimeMS, offeredTimeout).Kind == history.Succeeded {
					answered.Add(1)
				}
			})
		}
	})
	return answered
}
