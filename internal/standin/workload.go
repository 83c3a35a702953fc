package standin

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

// NewCall returns a request id that no request to this fleet has had yet.
func (f *Fleet) NewCall() string { return ID(int(f.calls.Add(1))) }

// Try is one attempt of a load.
type Try struct {
	Once, Key, Statement string        // idempotency key, order key ("" for none) and statement
	TTL                  time.Duration // the client's timeout
}

// Load sends a load to a front end and returns the response. Its kind is answer, shed or fault, or lost where the
// connection ended or no response came in time. Request and response are recorded in the history.
func (f *Fleet) Load(frontEnd *Front, attempt Try) Reply {
	call := f.NewCall()
	f.Record.Add(history.Event{What: history.Asked, Front: frontEnd.Name, Call: call,
		Once: attempt.Once, Key: attempt.Key, Body: attempt.Statement})
	fields := []string{"call", call, "op", "load", "ttl", milliseconds(attempt.TTL),
		"dedupe", attempt.Once, "work", "10.0"}
	if attempt.Key != "" {
		fields = append(fields, "row", attempt.Key)
	}
	reply := frontEnd.request(attempt.Statement, fields, attempt.TTL)
	body := ""
	if reply.What == history.Answer {
		body = reply.Body()
	}
	f.Record.Add(history.Event{What: history.Answered, Front: frontEnd.Name, Call: call,
		Once: attempt.Once, Key: attempt.Key, Detail: reply.What, Body: body})
	return reply
}

// The look-up of which only the kind of response is of interest.
const (
	lookupRunTimeMS = 5
	lookupTimeout   = 4 * time.Second
)

// Lookup sends a short look-up without a tenant to the front end and returns the kind of the response: answer, shed,
// fault or lost.
func (n *Front) Lookup() string { return n.Query("", lookupRunTimeMS, lookupTimeout).What }

// Query sends a look-up of a tenant ("" for none) to the front end, which runs for runTimeMS milliseconds and whose
// client's timeout is ttl. It returns the response, which is lost where none came, and records both in the history.
func (n *Front) Query(tenant string, runTimeMS int, ttl time.Duration) Reply {
	call := n.F.NewCall()
	statement := fmt.Sprintf("SELECT * FROM s_1.t -- ms=%d tenant=%s", runTimeMS, tenant)
	n.F.Record.Add(history.Event{What: history.Asked, Front: n.Name, Call: call, Body: statement})
	fields := []string{"call", call, "op", "lookup", "ttl", milliseconds(ttl), "work", "10.0"}
	if tenant != "" {
		fields = append(fields, "org", tenant)
	}
	reply := n.request(statement, fields, ttl)
	n.F.Record.Add(history.Event{What: history.Answered, Front: n.Name, Call: call, Detail: reply.What})
	return reply
}

// milliseconds returns a duration as a request's fields have it.
func milliseconds(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) }

// request sends a request on a connection of its own and returns the response, which is lost where none comes.
func (n *Front) request(statement string, fields []string, ttl time.Duration) Reply {
	reply, err := n.tryRequest(statement, fields, ttl)
	if err != nil {
		reply.What = history.Lost
	}
	return reply
}

// tryRequest sends a request on a connection of its own and returns the response.
func (n *Front) tryRequest(statement string, fields []string, ttl time.Duration) (Reply, error) {
	conn, err := net.DialTimeout("tcp4", n.Listen, clientDialTimeout)
	if err != nil {
		return Reply{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(ttl + clientGrace))
	client := &Client{T: n.F.T, Conn: conn}
	if err := client.TryAsk(statement, fields...); err != nil {
		return Reply{}, err
	}
	return client.TryRead()
}

// offeredTimeout is the client's timeout of the look-ups of a workload generator.
const offeredTimeout = 2 * time.Second

// Offer starts an open-loop workload generator: it sends the front end a tenant's look-ups, perSecond of them, each
// with a run time of runTimeMS milliseconds, until stop is closed. The generator belongs to the wait group
// generators, which is done once the last response has come. The counter that is returned is of the requests that
// were answered.
func (n *Front) Offer(
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
				if n.Query(tenant, runTimeMS, offeredTimeout).What == history.Answer {
					answered.Add(1)
				}
			})
		}
	})
	return answered
}
