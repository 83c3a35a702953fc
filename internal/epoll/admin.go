package epoll

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"golang.org/x/sys/unix"

	"chutechute/internal/ring"
	"chutechute/ledger/loads"
	"chutechute/recordclient"
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
	since    Micros
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

// answer is what an operator's question comes to.
func (p *peers) answer(question string) any {
	switch question {
	case "status":
		return p.status()
	case "ledger":
		return FleetRecord{p.status(), p.loads.Show(), p.records.Show()}
	}
	if question == "budgets" || strings.HasPrefix(question, "budgets ") {
		return p.showBudgets(strings.TrimPrefix(strings.TrimPrefix(question, "budgets"), " "))
	}
	return map[string]string{"error": fmt.Sprintf("%q is no question", question)}
}

// FleetRecord is the loads on record as this copy has them, and those that this front end holds.
type FleetRecord struct {
	Status FleetStatus            `json:"status"`
	Loads  []loads.Shown          `json:"loads"`
	Held   []recordclient.Tracked `json:"held"`
}

// FleetStatus is what a front end says of itself and of the others, as it sees them.
type FleetStatus struct {
	Site        string         `json:"site"`
	Name        string         `json:"name"`
	Incarnation string         `json:"incarnation"`
	Copy        string         `json:"copy"`
	Lasting     bool           `json:"lasting"` // the record is on a disk, and not in memory only
	Group       string         `json:"group"`   // the record's number
	Role        string         `json:"role"`    // leader, voter, learner, none or failed
	Leader      string         `json:"leader"`
	Term        uint64         `json:"term"`
	Applied     uint64         `json:"applied"`
	Sum         string         `json:"sum"`
	Differing   int            `json:"differing"`
	Elections   int            `json:"elections"`
	Commits     int            `json:"commits"`
	Snapshots   int            `json:"snapshots"`
	HandOvers   int            `json:"hand_overs"` // of the lead, as its disk was slow
	Relayed     int            `json:"relayed"`    // messages by way of a third front end
	Loads       int            `json:"loads"`
	LoadBytes   int            `json:"load_bytes"`
	Held        int            `json:"held"`
	Error       string         `json:"error,omitempty"`
	Warning     string         `json:"warning,omitempty"`
	Copies      []FleetCopy    `json:"copies"`
	Members     []FleetMembers `json:"members"`
}

// FleetCopy is one copy of the record.
type FleetCopy struct {
	Copy  string `json:"copy"`
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Votes bool   `json:"votes"`
}

// FleetMembers is another front end as this one sees it.
type FleetMembers struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
	Link        bool   `json:"link"` // messages go there
}

func (p *peers) status() FleetStatus {
	r := p.node.Replica()
	index, sum := r.Applied()
	f := FleetStatus{Site: p.cfg.Site, Name: p.cfg.Name, Incarnation: hex(p.self.Incarnation), Copy: hex(r.ID()),
		Lasting: p.cfg.Folder != "", Group: hex(r.Group()), Role: "none", Leader: p.node.NameOf(r.Leader()), Term: r.Term(),
		Applied: index, Sum: hex(sum), Differing: r.Differing, Elections: r.Elections, Commits: r.Commits,
		Snapshots: r.Snapshots, HandOvers: r.HandOvers, Relayed: p.node.Relayed, Loads: p.loads.Len(), LoadBytes: p.loads.Bytes(), Held: p.records.Len(),
		Copies: []FleetCopy{}, Members: []FleetMembers{}}
	voters, learners := r.Members()
	switch {
	case r.Err() != nil:
		f.Role, f.Error = "failed", r.Err().Error()
	case r.Leads():
		f.Role = "leader"
	case r.Votes():
		f.Role = "voter"
	case r.Group() != 0:
		f.Role = "learner"
	}
	if !f.Lasting {
		f.Warning = "the record is kept in memory only: what was told is lost where a majority of the copies end at once"
	}
	for _, m := range voters {
		f.Copies = append(f.Copies, FleetCopy{hex(m.ID), m.Name, m.Zone, true})
	}
	for _, m := range learners {
		f.Copies = append(f.Copies, FleetCopy{hex(m.ID), m.Name, m.Zone, false})
	}
	for _, m := range p.node.Members().List() {
		f.Members = append(f.Members, FleetMembers{m.Name, m.Zone, m.State.String(), hex(m.Incarnation), p.out[m.Name].open()})
	}
	return f
}
