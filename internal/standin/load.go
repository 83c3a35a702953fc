package standin

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chutechute/internal/history"
)

// NewCall is a call's id that was not used yet.
func (f *Fleet) NewCall() string { return ID(int(f.calls.Add(1))) }

// Try is one try of a load.
type Try struct {
	Once, Key, Statement string
	TTL                  time.Duration
}

// Load sends a load to a front end and gives what came of it: answer, shed, fault, or lost where the connection ended.
func (f *Fleet) Load(n *Front, try Try) Reply {
	call := f.NewCall()
	f.Record.Add(history.Event{What: history.Asked, Front: n.Name, Call: call, Once: try.Once, Key: try.Key, Body: try.Statement})
	p, err := f.try(n, call, try)
	if err != nil {
		p.What = history.Lost
	}
	body := ""
	if p.What == history.Answer {
		body = p.Body()
	}
	f.Record.Add(history.Event{What: history.Answered, Front: n.Name, Call: call, Once: try.Once, Key: try.Key, Detail: p.What, Body: body})
	return p
}

func (f *Fleet) try(n *Front, call string, try Try) (Reply, error) {
	conn, err := net.DialTimeout("tcp4", n.Listen, time.Second)
	if err != nil {
		return Reply{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(try.TTL + time.Second))
	c := &Client{T: f.T, Conn: conn}
	fields := []string{"call", call, "op", "load", "ttl", fmt.Sprint(try.TTL.Milliseconds()), "dedupe", try.Once, "work", "10.0"}
	if try.Key != "" {
		fields = append(fields, "row", try.Key)
	}
	if err := c.TryAsk(try.Statement, fields...); err != nil {
		return Reply{}, err
	}
	return c.TryRead()
}

// Lookup asks the front end for a look-up and gives what came of it.
func (n *Front) Lookup() string { return n.Query("", 5, 4*time.Second).What }

// Query asks the front end for a look-up of a tenant, "" for none, that runs for so many milliseconds.
func (n *Front) Query(tenant string, ms int, ttl time.Duration) Reply {
	call := n.F.NewCall()
	statement := fmt.Sprintf("SELECT * FROM s_1.t -- ms=%d tenant=%s", ms, tenant)
	n.F.Record.Add(history.Event{What: history.Asked, Front: n.Name, Call: call, Body: statement})
	p, err := n.query(call, statement, tenant, ttl)
	if err != nil {
		p.What = history.Lost
	}
	n.F.Record.Add(history.Event{What: history.Answered, Front: n.Name, Call: call, Detail: p.What})
	return p
}

func (n *Front) query(call, statement, tenant string, ttl time.Duration) (p Reply, err error) {
	conn, err := net.DialTimeout("tcp4", n.Listen, time.Second)
	if err != nil {
		return p, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(ttl + time.Second))
	fields := []string{"call", call, "op", "lookup", "ttl", fmt.Sprint(ttl.Milliseconds()), "work", "10.0"}
	if tenant != "" {
		fields = append(fields, "org", tenant)
	}
	c := &Client{T: n.F.T, Conn: conn}
	if err := c.TryAsk(statement, fields...); err != nil {
		return p, err
	}
	return c.TryRead()
}

// Offer has clients ask a front end for a tenant's look-ups, so many a second, until the stop is closed. It gives a count of those
// that were answered.
func (n *Front) Offer(all *sync.WaitGroup, stop <-chan struct{}, tenant string, perSecond float64, ms int) (served *atomic.Int64) {
	served = &atomic.Int64{}
	all.Go(func() {
		var asked sync.WaitGroup
		defer asked.Wait()
		began := time.Now()
		for k := 1; ; k++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Until(began.Add(time.Duration(float64(k) / perSecond * float64(time.Second))))):
			}
			asked.Go(func() {
				if n.Query(tenant, ms, 2*time.Second).What == history.Answer {
					served.Add(1)
				}
			})
		}
	})
	return served
}
