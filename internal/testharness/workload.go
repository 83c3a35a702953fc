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
	// clientGrace is the time for which a client waits for a response beyond its timeout.
	clientGrace = time.Second
)

// NewRequestID returns a request id that is unique in this fleet.
func (f *Fleet) NewRequestID() string { return RequestID(int(f.lastRequestID.Add(1))) }

// LoadRequest is a load as a client sends it: the first sending of a request, or a repeat.
type LoadRequest struct {
	IdempotencyKey, OrderKey, Statement string // OrderKey is "" if there is none
	ClientTimeout                       time.Duration
}

// SendLoad sends a load to a front end and returns the response. Its kind is answer, shed or fault, or lost if the
// connection ended or no response was received in time. Request and response are recorded in the history.
func (f *Fleet) SendLoad(frontEnd *FrontEnd, load LoadRequest) Reply {
	call := f.NewRequestID()
	f.History.Add(history.Event{Kind: history.RequestSent, FrontEnd: frontEnd.Name, CallID: call,
		IdempotencyKey: load.IdempotencyKey, OrderKey: load.OrderKey, Body: load.Statement})
	fields := []string{"call", call, "op", "load", "ttl", milliseconds(load.ClientTimeout),
		"dedupe", load.IdempotencyKey, "work", "10.0"}
	if load.OrderKey != "" {
		fields = append(fields, "row", load.OrderKey)
	}
	reply := frontEnd.request(load.Statement, fields, load.ClientTimeout)
	body := ""
	if reply.Kind == history.Succeeded {
		body = reply.Rows()
	}
	f.History.Add(history.Event{Kind: history.RequestEnded, FrontEnd: frontEnd.Name, CallID: call,
		IdempotencyKey: load.IdempotencyKey, OrderKey: load.OrderKey, Outcome: reply.Kind, Body: body})
	return reply
}

// Run time and client timeout of the lookups that FrontEnd.SendLookup sends.
const (
	lookupRunTimeMS = 5
	lookupTimeout   = 4 * time.Second
)

// SendLookup sends a short lookup without a tenant to the front end and returns the kind of the response: answer, shed,
// fault or lost.
func (n *FrontEnd) SendLookup() string {
	return n.SendTenantLookup("", lookupRunTimeMS, lookupTimeout).Kind
}

// SendTenantLookup sends a lookup of a tenant ("" for none) to the front end and returns the response, whose kind is
// lost if none was received. The lookup runs for runTimeMS milliseconds. Request and response are recorded in the
// history.
func (n *FrontEnd) SendTenantLookup(tenant string, runTimeMS int, clientTimeout time.Duration) Reply {
	call := n.Fleet.NewRequestID()
	statement := fmt.Sprintf("SELECT * FROM s_1.t -- ms=%d tenant=%s", runTimeMS, tenant)
	n.Fleet.History.Add(history.Event{Kind: history.RequestSent, FrontEnd: n.Name, CallID: call, Body: statement})
	fields := []string{"call", call, "op", "lookup", "ttl", milliseconds(clientTimeout), "work", "10.0"}
	if tenant != "" {
		fields = append(fields, "org", tenant)
	}
	reply := n.request(statement, fields, clientTimeout)
	n.Fleet.History.Add(history.Event{Kind: history.RequestEnded, FrontEnd: n.Name, CallID: call, Outcome: reply.Kind})
	return reply
}

// milliseconds formats a duration for a field of a request.
func milliseconds(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) }

// request sends a request on a new connection and returns the response, whose kind is lost if none was received.
func (n *FrontEnd) request(statement string, fields []string, clientTimeout time.Duration) Reply {
	reply, err := n.tryRequest(statement, fields, clientTimeout)
	if err != nil {
		reply.Kind = history.ConnectionLost
	}
	return reply
}

// tryRequest sends a request on a new connection and returns the response.
func (n *FrontEnd) tryRequest(statement string, fields []string, clientTimeout time.Duration) (Reply, error) {
	conn, err := net.DialTimeout("tcp4", n.ClientAddr, clientDialTimeout)
	if err != nil {
		return Reply{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout + clientGrace))
	client := &Client{T: n.Fleet.T, Conn: conn}
	if err := client.TrySendRequest(statement, fields...); err != nil {
		return Reply{}, err
	}
	return client.TryReadReply()
}

// generatedLookupTimeout is the client timeout of the lookups of a workload generator.
const generatedLookupTimeout = 2 * time.Second

// GenerateLookups starts an open-loop workload generator: until stop is closed, it sends lookups of a tenant to the
// front end at a rate of perSecond, each with a run time of runTimeMS milliseconds. The generator is added to the wait
// group generators, and is done once it has received the last response. GenerateLookups returns a counter of the
// lookups that succeeded.
func (n *FrontEnd) GenerateLookups(
	generators *sync.WaitGroup, stop <-chan struct{}, tenant string, perSecond float64, runTimeMS int,
) *atomic.Int64 {
	answered := &atomic.Int64{}
	generators.Go(func() {
		var requests sync.WaitGroup
		defer requests.Wait()
		startedAt := time.Now()
		for k := 1; ; k++ {
			due := startedAt.Add(time.Duration(float64(k) / perSecond * float64(time.Second)))
			select {
			case <-stop:
				return
			case <-time.After(time.Until(due)):
			}
			requests.Go(func() {
				if n.SendTenantLookup(tenant, runTimeMS, generatedLookupTimeout).Kind == history.Succeeded {
					answered.Add(1)
				}
			})
		}
	})
	return answered
}
