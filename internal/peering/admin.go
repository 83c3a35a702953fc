package peering

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"golang.org/x/sys/unix"

	"chutechute/fleet/idempotency"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/ring"
)

const (
	adminMost    = 8 // operators at a time
	adminPatient = 3000 * monotime.Millisecond
	adminIn      = 4 << 10
	adminOut     = 4 << 20
)

// adminListener is the operators' socket, a file that only its owner may use: a line with a question in, JSON out.
type adminListener struct {
	p    *Peering
	fd   int
	open map[*adminConn]struct{}
}

func newAdminListener(p *Peering) (*adminListener, error) {
	fault := func(err error) (*adminListener, error) { return nil, fmt.Errorf("installation: fleet.admin: %w", err) }
	if err := os.Remove(p.cfg.Admin); err != nil && !os.IsNotExist(err) { // of an earlier process
		return fault(err)
	}
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fault(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrUnix{Name: p.cfg.Admin}); err != nil {
		return fault(err)
	}
	if err := os.Chmod(p.cfg.Admin, 0o600); err != nil {
		return fault(err)
	}
	if err := unix.Listen(fd, adminMost); err != nil {
		return fault(err)
	}
	a := &adminListener{p: p, fd: fd, open: map[*adminConn]struct{}{}}
	return a, p.Host.Loop.Add(fd, unix.EPOLLIN, a)
}

func (a *adminListener) Ready(uint32) {
	for {
		fd, _, err := unix.Accept4(a.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		if len(a.open) >= adminMost {
			unix.Close(fd)
			continue
		}
		c := &adminConn{a: a, since: a.p.Host.TurnTime}
		c.budget.Most = adminIn + adminOut
		c.Stream = eventloop.NewStream(a.p.Host.Loop, fd, adminIn, adminOut, &c.budget)
		c.Interest = unix.EPOLLIN
		if err := a.p.Host.Loop.Add(fd, c.Interest, c); err != nil {
			c.Close()
			continue
		}
		a.open[c] = struct{}{}
	}
}

func (a *adminListener) tick() {
	for c := range a.open {
		if a.p.Host.TurnTime-c.since >= adminPatient {
			c.end()
		}
	}
}

func (a *adminListener) close() {
	a.p.Host.Loop.CloseDescriptor(a.fd)
	_ = os.Remove(a.p.cfg.Admin) // the next start takes it away too
}

type adminConn struct {
	eventloop.Stream
	a        *adminListener
	budget   ring.Budget
	since    monotime.Micros
	answered bool
}

func (c *adminConn) end() {
	c.Close()
	delete(c.a.open, c)
}

func (c *adminConn) Ready(events uint32) {
	if events&unix.EPOLLIN != 0 && !c.answered {
		more := c.Fill()
		line := c.In.Bytes()
		if n := len(line); n == 0 || line[n-1] != '\n' {
			if !more || n >= adminIn {
				c.end()
			}
			return
		}
		c.answered = true
		b, err := json.Marshal(c.a.p.answer(string(line[:len(line)-1])))
		if err == nil {
			_, err = c.Out.Write(append(b, '\n'))
		}
		if err != nil {
			c.end()
			return
		}
	}
	if err := c.Flush(); err != nil || c.answered && c.Out.Len() == 0 {
		c.end()
		return
	}
	c.UpdateInterest(false)
}

// recorded is the loads on record as this front end's copy has them; none where it keeps no copy.
func (p *Peering) recorded() []idempotency.RecordStatus {
	if p.node == nil {
		return []idempotency.RecordStatus{}
	}
	return p.loads.Records()
}

// answer is what an operator's question comes to.
func (p *Peering) answer(question string) any {
	switch question {
	case "status":
		return p.status()
	case "ledger":
		return ReplicatedRecords{p.status(), p.recorded(), p.records.Records()}
	}
	if question == "budgets" || strings.HasPrefix(question, "budgets ") {
		return p.showBudgets(strings.TrimPrefix(strings.TrimPrefix(question, "budgets"), " "))
	}
	return map[string]string{"error": fmt.Sprintf("%q is no question", question)}
}
