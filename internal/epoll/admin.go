package epoll

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"golang.org/x/sys/unix"

	"chutechute/fleet/idempotency"
	"chutechute/internal/monotime"
	"chutechute/internal/ring"
)

const (
	adminMost    = 8 // operators at a time
	adminPatient = 3000 * ms
	adminIn      = 4 << 10
	adminOut     = 4 << 20
)

// adminListener is the operators' socket, a file that only its owner may use: a line with a question in, JSON out.
type adminListener struct {
	p    *peers
	fd   int
	open map[*adminConn]struct{}
}

func newAdminListener(p *peers) (*adminListener, error) {
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
	return a, p.host.loop.add(fd, unix.EPOLLIN, a)
}

func (a *adminListener) ready(uint32) {
	for {
		fd, _, err := unix.Accept4(a.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		if len(a.open) >= adminMost {
			unix.Close(fd)
			continue
		}
		c := &adminConn{a: a, since: a.p.host.now}
		c.budget.Most = adminIn + adminOut
		c.stream = newStream(a.p.host.loop, fd, adminIn, adminOut, &c.budget)
		c.want = unix.EPOLLIN
		if err := a.p.host.loop.add(fd, c.want, c); err != nil {
			c.close()
			continue
		}
		a.open[c] = struct{}{}
	}
}

func (a *adminListener) tick() {
	for c := range a.open {
		if a.p.host.now-c.since >= adminPatient {
			c.end()
		}
	}
}

func (a *adminListener) close() {
	a.p.host.loop.drop(a.fd)
	_ = os.Remove(a.p.cfg.Admin) // the next start takes it away too
}

type adminConn struct {
	stream
	a        *adminListener
	budget   ring.Budget
	since    monotime.Micros
	answered bool
}

func (c *adminConn) end() {
	c.close()
	delete(c.a.open, c)
}

func (c *adminConn) ready(events uint32) {
	if events&unix.EPOLLIN != 0 && !c.answered {
		more := c.fill()
		line := c.in.Bytes()
		if n := len(line); n == 0 || line[n-1] != '\n' {
			if !more || n >= adminIn {
				c.end()
			}
			return
		}
		c.answered = true
		b, err := json.Marshal(c.a.p.answer(string(line[:len(line)-1])))
		if err == nil {
			_, err = c.out.Write(append(b, '\n'))
		}
		if err != nil {
			c.end()
			return
		}
	}
	if err := c.flush(); err != nil || c.answered && c.out.Len() == 0 {
		c.end()
		return
	}
	c.watch(false)
}

// recorded is the loads on record as this front end's copy has them; none where it keeps no copy.
func (p *peers) recorded() []idempotency.RecordStatus {
	if p.node == nil {
		return []idempotency.RecordStatus{}
	}
	return p.loads.Records()
}

// answer is what an operator's question comes to.
func (p *peers) answer(question string) any {
	switch question {
	case "status":
		return p.status()
	case "ledger":
		return FleetRecord{p.status(), p.recorded(), p.records.Records()}
	}
	if question == "budgets" || strings.HasPrefix(question, "budgets ") {
		return p.showBudgets(strings.TrimPrefix(strings.TrimPrefix(question, "budgets"), " "))
	}
	return map[string]string{"error": fmt.Sprintf("%q is no question", question)}
}
