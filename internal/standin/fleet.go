package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"chutechute/internal/history"
	"chutechute/internal/standin/site"
)

// Fleet is several front ends as processes, each on a loopback address of its own, with a relay for every way from one to
// another, and the engines that they share. Clients and engines note what they see.
type Fleet struct {
	T       *testing.T
	Program string
	Fronts  []*Front
	Workers []*Worker
	Record  *history.Record
	Random  *Random
	Seed    uint64
	Dir     string
	Lasting bool           // the record is kept in folders
	Section map[string]any // what the fleet's section sets besides
	relays  map[[2]int]*Relay
	journal *site.Journal
	calls   atomic.Int64
	script  *strings.Builder
	began   time.Time
}

// Front is one front end of a fleet.
type Front struct {
	F      *Fleet
	N      int
	Name   string
	Zone   string
	Listen string // for clients
	Peer   string // for other front ends
	Folder string
	Admin  string
	Cmd    *exec.Cmd
	Log    *LockedBuffer
	Starts int
	alive  bool
}

var nets atomic.Int64

// address gives a loopback address of its own with ports that are free on it: no others use it, so none can take them.
func address(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+(pid>>8)%200, pid&255, n)
}

func port(t *testing.T, ip string) string {
	l, err := net.Listen("tcp4", ip+":0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// NewFleet prepares a fleet; change may set it up further before its front ends start.
func NewFleet(t *testing.T, program string, fronts int, change ...func(*Fleet)) *Fleet {
	f := &Fleet{T: t, Program: program, Seed: 20261201, Dir: t.TempDir(), relays: map[[2]int]*Relay{},
		Section: map[string]any{}, script: &strings.Builder{}, began: time.Now()}
	f.Record = &history.Record{Now: func() int64 { return time.Since(f.began).Microseconds() }}
	var err error
	f.journal, err = site.NewJournal()
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.journal.Close() })
	for i := range fronts {
		ip := address(int(nets.Add(1))%250 + 1)
		name := fmt.Sprintf("n%d", i+1)
		f.Fronts = append(f.Fronts, &Front{F: f, N: i, Name: name, Zone: string(rune('a' + i%3)), Listen: port(t, ip), Peer: port(t, ip),
			Folder: filepath.Join(f.Dir, "disk-"+name), Admin: filepath.Join(f.Dir, name+".sock")})
	}
	for _, c := range change {
		c(f)
	}
	f.Random = NewRandom(f.Seed)
	seen := &Seen{keys: map[string]time.Time{}}
	for i := range 2 {
		w := NewWorker(fmt.Sprintf("s-%08x", i+1), f.Record, seen)
		t.Cleanup(w.Close)
		f.Workers = append(f.Workers, w)
	}
	for i := range f.Fronts {
		for j := range f.Fronts {
			if i != j {
				r, err := NewRelay(f.Fronts[j].Peer, f.Random)
				require.NoError(t, err)
				t.Cleanup(r.Close)
				f.relays[[2]int{i, j}] = r
			}
		}
	}
	for _, n := range f.Fronts {
		n.Start()
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d, script:\n%s", f.Seed, f.script)
			for _, n := range f.Fronts {
				s, _ := json.Marshal(n.Status())
				t.Logf("status of %s: %s", n.Name, s)
			}
		}
		for _, n := range f.Fronts {
			n.stop()
		}
		if t.Failed() {
			for _, n := range f.Fronts {
				t.Logf("log of %s:\n%s", n.Name, n.Log)
			}
		}
	})
	return f
}

// Did adds a line to the script of faults, which a failing test prints.
func (f *Fleet) Did(format string, args ...any) {
	fmt.Fprintf(f.script, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// write writes the front end's files, and gives their paths.
func (n *Front) write() (config, installation string) {
	files := site.Front{Name: n.Name, Listen: n.Listen, Seed: fmt.Sprintf("%x", 100*n.N+n.Starts), Journal: n.F.journal.Address(),
		FrontEnds: len(n.F.Fronts)}
	for _, w := range n.F.Workers {
		files.Engines = append(files.Engines, site.Engine{Name: w.Name, Address: w.Addr.String()})
	}
	var members []site.Member
	for _, o := range n.F.Fronts {
		addr := n.Peer
		if o != n {
			addr = n.F.relays[[2]int{n.N, o.N}].Addr
		}
		members = append(members, site.Member{Name: o.Name, Address: addr, Zone: o.Zone})
	}
	files.Fleet = map[string]any{"enabled": true, "site": "test", "members": members, "admin": n.Admin}
	if n.F.Lasting {
		files.Fleet["folder"] = n.Folder
	}
	for k, v := range n.F.Section {
		files.Fleet[k] = v
	}
	config, installation, err := files.Write(n.F.Dir)
	require.NoError(n.F.T, err)
	return config, installation
}

// Start starts the front end's process, under its name and addresses.
func (n *Front) Start() {
	n.F.Did("start %s", n.Name)
	n.Starts++
	config, installation := n.write()
	n.Cmd = exec.Command(n.F.Program, "serve", "--installation", installation)
	n.Cmd.Env = []string{"NODE_CONFIG=" + config}
	if n.Log == nil {
		n.Log = &LockedBuffer{}
	}
	before := strings.Count(n.Log.String(), "msg=serving")
	n.Cmd.Stderr = n.Log
	require.NoError(n.F.T, n.Cmd.Start())
	n.alive = true
	require.Eventually(n.F.T, func() bool { return strings.Count(n.Log.String(), "msg=serving") > before }, Patience, time.Millisecond,
		"%s does not serve: %s", n.Name, n.Log)
}

// Reload has the front end read its files again, after a change of the section.
func (n *Front) Reload() {
	n.F.Did("reload %s", n.Name)
	n.write()
	require.NoError(n.F.T, n.Cmd.Process.Signal(syscall.SIGHUP))
}

// Leave ends the process as planned, and waits until it has ended.
func (n *Front) Leave() {
	n.F.Did("terminate %s", n.Name)
	require.NoError(n.F.T, n.Cmd.Process.Signal(syscall.SIGTERM))
	n.alive = false
	ended := make(chan error, 1)
	go func() { ended <- n.Cmd.Wait() }()
	select {
	case err := <-ended:
		require.NoError(n.F.T, err)
	case <-time.After(Patience):
		_ = n.Cmd.Process.Kill()
		require.Fail(n.F.T, "it does not end", n.Name)
	}
}

func (n *Front) stop() {
	if n.alive {
		n.alive = false
		_ = n.Cmd.Process.Signal(syscall.SIGCONT)
		_ = n.Cmd.Process.Kill()
		_ = n.Cmd.Wait()
	}
}

// Kill ends the process at once; empty loses its disk too.
func (n *Front) Kill(empty bool) {
	n.F.Did("kill %s, disk emptied: %v", n.Name, empty)
	n.stop()
	if empty {
		require.NoError(n.F.T, os.RemoveAll(n.Folder))
	}
}

// Stop has the process stand still; Continue lets it go on.
func (n *Front) Stop() {
	n.F.Did("stop %s", n.Name)
	require.NoError(n.F.T, n.Cmd.Process.Signal(syscall.SIGSTOP))
}

// Continue lets a process go on that stands still.
func (n *Front) Continue() {
	n.F.Did("continue %s", n.Name)
	require.NoError(n.F.T, n.Cmd.Process.Signal(syscall.SIGCONT))
}

// Way is the relay from one front end to another.
func (f *Fleet) Way(from, to *Front) *Relay { return f.relays[[2]int{from.N, to.N}] }

// Part cuts all ways between two sides, or heals them.
func (f *Fleet) Part(cut bool, a, b []*Front) {
	for _, x := range a {
		for _, y := range b {
			f.Did("cut %s-%s: %v", x.Name, y.Name, cut)
			f.Way(x, y).Cut(cut)
			f.Way(y, x).Cut(cut)
		}
	}
}

// Mute cuts the ways from a front end to all others, or heals them.
func (f *Fleet) Mute(n *Front, cut bool) {
	f.Did("cut %s to all others: %v", n.Name, cut)
	for _, o := range f.Fronts {
		if o != n {
			f.Way(n, o).Cut(cut)
		}
	}
}

// Deafen cuts the ways from all others to a front end, or heals them.
func (f *Fleet) Deafen(n *Front, cut bool) {
	f.Did("cut all others to %s: %v", n.Name, cut)
	for _, o := range f.Fronts {
		if o != n {
			f.Way(o, n).Cut(cut)
		}
	}
}

// Status is what a front end says of itself on its operators' socket; nil where it does not answer.
func (n *Front) Status() map[string]any { return n.Question("status") }

// Question puts a question on the operators' socket; nil where there is no answer.
func (n *Front) Question(question string) map[string]any {
	conn, err := net.DialTimeout("unix", n.Admin, time.Second)
	if err != nil {
		return nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintln(conn, question); err != nil {
		return nil
	}
	var v map[string]any
	if err := json.NewDecoder(conn).Decode(&v); err != nil {
		return nil
	}
	return v
}

// Leader waits until some front end leads with that many copies, all of them on the disks of processes that run now, and
// gives it.
func (f *Fleet) Leader(copies int) *Front {
	f.T.Helper()
	var leader *Front
	require.Eventually(f.T, func() bool {
		leader = nil
		disks := map[any]bool{}
		var voters []any
		for _, n := range f.Fronts {
			s := n.Status()
			if !n.alive || s == nil {
				continue
			}
			disks[s["copy"]] = true
			if s["role"] != "leader" {
				continue
			}
			leader, voters = n, nil
			for _, c := range s["copies"].([]any) {
				if v := c.(map[string]any); v["votes"] == true {
					voters = append(voters, v["copy"])
				}
			}
		}
		for _, v := range voters {
			if !disks[v] {
				return false
			}
		}
		return leader != nil && len(voters) == copies
	}, Patience, 20*time.Millisecond)
	return leader
}

// Check fails the test for each rule that what clients and engines saw breaks.
func (f *Fleet) Check() {
	f.T.Helper()
	events := f.Record.Events()
	for _, b := range history.Check(events) {
		f.T.Errorf("%s", b)
		for _, e := range history.Around(events, b, 20) {
			f.T.Logf("  %s", e)
		}
	}
}

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

// Until waits until the record shows an event, and gives it.
func (f *Fleet) Until(match func(history.Event) bool) (found history.Event) {
	f.T.Helper()
	require.Eventually(f.T, func() bool {
		for _, e := range f.Record.Events() {
			if match(e) {
				found = e
				return true
			}
		}
		return false
	}, Patience, time.Millisecond)
	return found
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

// Full bounds the size of the files that the process may write to what they have, as on a full disk.
func (n *Front) Full(full bool) {
	n.F.Did("disk of %s full: %v", n.Name, full)
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		info, err := os.Stat(filepath.Join(n.Folder, "log"))
		require.NoError(n.F.T, err)
		limit.Cur = uint64(info.Size())
	}
	require.NoError(n.F.T, unix.Prlimit(n.Cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
}

// AwaitLog waits until a line of the front end's log matches.
func (n *Front) AwaitLog(pattern string) {
	n.F.T.Helper()
	require.Eventually(n.F.T, func() bool { return n.Logged(pattern) > 0 }, Patience, time.Millisecond, pattern)
}

// Logged counts the lines of a front end's log that match.
func (n *Front) Logged(pattern string) int {
	return len(regexp.MustCompile(pattern).FindAllString(n.Log.String(), -1))
}
