// Command standin plays the clients, engines and journal service of the cases in review, starts the project's programs
// as processes and checks what was seen.
package main

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Run is one run of a case.
type Run struct {
	Root, Case, Dir string // the repository; the case's folder; a temporary folder
	Trouble         bool
	MemoryMB        int      // of a front end
	Rooms           []string // of the front ends of a fleet, in turn
	startedAt       time.Time
	command         string // the deploy file's run command
	frontEnds       []*FrontEnd
	broken          []string
	lastID          atomic.Uint64

	mu     sync.Mutex
	record *os.File
}

// maxTempDir is the longest name of a folder below which paths of sockets keep to the system's limit of 107 bytes.
const maxTempDir = 60

// errNotRun ends a case that couldn't run.
var errNotRun = errors.New("not run")

var cases = map[string]func(*Run){}

func main() {
	runtime.LockOSThread() // the processes end with this thread
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(root, folder, name string) (code int) {
	r := &Run{Root: root, Case: folder, Trouble: os.Getenv("TROUBLE") != "0", MemoryMB: 192,
		Rooms: []string{"room-a", "room-b"}, startedAt: time.Now()}
	r.lastID.Store(uint64(time.Now().UnixNano()) << 8)
	var err error
	if r.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return exitNotRun
	}
	defer r.record.Close()
	temporary := os.TempDir()
	if len(temporary) > maxTempDir {
		temporary = "/tmp"
	}
	if r.Dir, err = os.MkdirTemp(temporary, "review"); err != nil {
		return exitNotRun
	}
	defer os.RemoveAll(r.Dir)
	defer func() {
		p := recover()
		for _, f := range r.frontEnds {
			f.end()
		}
		switch {
		case p != nil:
			r.Log("the case could not run: %v", p)
			for _, f := range r.frontEnds {
				r.Log("log of %s:\n%s", f.Name, f.log())
			}
			code = exitNotRun
		case len(r.broken) > 0:
			r.Log("RULE BROKEN: %s", strings.Join(r.broken, "; "))
			code = exitBroken
		default:
			r.Log("rule held")
		}
	}()
	r.Log("trouble: %v", r.Trouble)
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	r.need(err)
	command := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if command == nil {
		panic("the deploy file has no run")
	}
	r.command = string(command[1])
	cases[name](r)
	return code
}

// Log writes a line to the record.
func (r *Run) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Broken notes that the rule was broken.
func (r *Run) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Log("broken: %s", text)
	r.broken = append(r.broken, text)
}

func (r *Run) need(err error) {
	if err != nil {
		panic(fmt.Errorf("%w: %w", errNotRun, err))
	}
}

// NewID returns an id for a request.
func (r *Run) NewID() string { return fmt.Sprintf("%016x", r.lastID.Add(1)) }

// NewKey returns an idempotency key.
func (r *Run) NewKey() string { return r.NewID() + r.NewID() }

// Await waits until a condition holds. The case can't run if it doesn't in time.
func (r *Run) Await(what string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			panic(fmt.Errorf("%w: %s", errNotRun, what))
		}
	}
}

// FreeAddress returns a loopback address with a free port.
func (r *Run) FreeAddress() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	r.need(err)
	defer listener.Close()
	return listener.Addr().String()
}

// Settings are those of a small site with a look-up, a report and a keyed, ordered load.
func Settings(frontEnds, rank int) map[string]any {
	return map[string]any{
		"balancers": frontEnds, "rank": rank, "zone": "room-a",
		"failure_domains": []string{"room-a", "room-b"}, "host_types": []string{"std-8a"},
		"classes": []any{
			map[string]any{"name": "lookup", "on_time": 1, "aim_stretch": 1.5, "give_up": 5, "worth": 1,
				"late_value": 0.1, "repeat": "safe"},
			map[string]any{"name": "report", "on_time": 3, "aim_stretch": 2.5, "give_up": 25, "worth": 7.5,
				"late_value": 0.4, "repeat": "safe"},
			map[string]any{"name": "manifest-load", "on_time": 3, "aim_stretch": 2.5, "give_up": 25, "worth": 5,
				"late_value": 0.5, "repeat": "keyed", "group": "all", "window": 25, "by_arrival": true},
		},
		"tenants": []any{map[string]any{"name": "volta-air", "quota_per_s": 100, "share": 1}},
		"domain": map[string]any{"class_threads": []int{1, 3, 2}, "cpu_of_kind": []int{8},
			"ram_of_kind_mb": []int{16384}, "writes_tables": []bool{false, false, true},
			"yields_to_loads": []bool{true, false, false}},
		"limits": map[string]any{"conn_idle": 30, "dial_timeout": 0.25, "max_attempts": 5, "max_retry_after": 2,
			"retry_after": true, "probes": true, "cancel": false, "may_duplicate": false},
		"rules": map[string]any{"drain_grace": 0.5, "cold": 14, "cold_from": 0.32, "fall": 1, "fall_multiple": 2,
			"answer_slack": 0.02, "settle_after_doubt": 0},
	}
}

// Config is the configuration of a front end.
func (r *Run) Config(name, listen, journal string, settings map[string]any, engines ...*Engine) map[string]any {
	var targets []any
	for _, e := range engines {
		targets = append(targets, map[string]any{"uid": e.Name, "endpoint": e.Addr, "az": e.Zone, "model": "std-8a",
			"pod_group": 0, "state": "in_service", "boot_ms": 0})
	}
	entry := map[string]any{"pos": 1, "hosts": map[string]any{"rev": 1, "all": true, "targets": targets}}
	return map[string]any{
		"name": name, "listen": listen, "journal": journal, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1, "memory_mb": r.MemoryMB, "sockets": 1024},
		"known":  map[string]any{"pos": 1, "entries": []any{entry}}, "settings": settings,
	}
}

// FrontEnd is a front end's process.
type FrontEnd struct {
	Name, Addr string
	run        *Run
	cmd        *exec.Cmd
	exited     chan struct{}
	logPath    string
	configPath string
	// installation is the path of the installation file; empty without one.
	installation string
}

// StartFrontEnd starts a front end with the deploy file's command and waits until it serves. The installation is left
// out if it is nil.
func (r *Run) StartFrontEnd(config, installation map[string]any) *FrontEnd {
	f := &FrontEnd{run: r, Name: config["name"].(string), Addr: config["listen"].(string), exited: make(chan struct{})}
	dir := filepath.Join(r.Dir, fmt.Sprintf("%s-%d", f.Name, len(r.frontEnds)))
	r.need(os.MkdirAll(filepath.Join(dir, "tmp"), 0o700))
	configPath := filepath.Join(dir, "config.json")
	r.WriteJSON(configPath, config)
	f.configPath = configPath
	command, shown := r.command, r.command
	if installation != nil {
		path := filepath.Join(dir, "installation.json")
		r.WriteJSON(path, installation)
		f.installation = path
		command += " serve --installation " + path
		shown += " serve --installation installation.json"
	}
	f.logPath = filepath.Join(dir, "log")
	log, err := os.Create(f.logPath)
	r.need(err)
	defer log.Close()
	f.cmd = exec.Command("/bin/sh", "-c", command)
	f.cmd.Dir = r.Root
	f.cmd.Env = append(os.Environ(), "NODE_CONFIG="+configPath, "TMPDIR="+filepath.Join(dir, "tmp"))
	f.cmd.Stdout, f.cmd.Stderr = log, log
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.need(f.cmd.Start())
	r.frontEnds = append(r.frontEnds, f)
	go func() {
		_ = f.cmd.Wait()
		close(f.exited)
	}()
	r.Await(f.Name+" does not serve", 20*time.Second, func() bool {
		return strings.Contains(f.log(), "msg=serving")
	})
	r.Log("front end %s serves at %s: %s", f.Name, f.Addr, shown)
	return f
}

// WriteJSON replaces a file.
func (r *Run) WriteJSON(path string, value any) {
	text, err := json.Marshal(value)
	r.need(err)
	r.WriteFile(path, text)
}

// WriteFile replaces a file at once.
func (r *Run) WriteFile(path string, text []byte) {
	r.need(os.WriteFile(path+".new", text, 0o600))
	r.need(os.Rename(path+".new", path))
}

func (f *FrontEnd) log() string {
	text, _ := os.ReadFile(f.logPath)
	return string(text)
}

func (f *FrontEnd) logHas(text string) bool { return strings.Contains(f.log(), text) }

// Signal sends a signal to the front end's process.
func (f *FrontEnd) Signal(s syscall.Signal) {
	f.run.Log("front end %s gets %s", f.Name, s)
	_ = f.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (f *FrontEnd) Ended() bool {
	select {
	case <-f.exited:
		return true
	default:
		return false
	}
}

func (f *FrontEnd) end() {
	if !f.Ended() {
		_ = f.cmd.Process.Kill()
		<-f.exited
	}
}

// Dial connects a client to the front end.
func (f *FrontEnd) Dial() *Client {
	c, err := Dial(f.Addr)
	f.run.need(err)
	return c
}

// Journal is the journal service.
type Journal struct {
	Addr string

	mu     sync.Mutex
	events [][]byte // from number 2 on
	wake   chan struct{}
}

// NewJournal starts a journal service whose first event is known to all.
func (r *Run) NewJournal() *Journal {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	r.need(err)
	j := &Journal{Addr: listener.Addr().String(), wake: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go j.serve(conn)
		}
	}()
	return j
}

func (j *Journal) serve(conn net.Conn) {
	defer conn.Close()
	var hello [8]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return
	}
	sent := int(binary.BigEndian.Uint64(hello[:]))
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		j.mu.Lock()
		events, wake := j.events, j.wake
		j.mu.Unlock()
		for ; sent <= len(events); sent++ {
			if _, err := conn.Write(events[sent-1]); err != nil {
				return
			}
		}
		select {
		case <-wake:
		case <-beat.C:
			b := binary.BigEndian.AppendUint32(nil, 9)
			b = append(binary.BigEndian.AppendUint64(b, uint64(sent)), 0)
			if _, err := conn.Write(b); err != nil {
				return
			}
		}
	}
}

// Change tells of an engine's new state: 0 ready, 1 draining, 2 gone.
func (j *Journal) Change(e *Engine, state byte) {
	address, _ := net.ResolveTCPAddr("tcp4", e.Addr)
	var number uint32
	fmt.Sscanf(e.Name, "s-%x", &number)
	record := binary.BigEndian.AppendUint32(nil, number)
	record = append(record, address.IP.To4()...)
	record = binary.BigEndian.AppendUint16(record, uint16(address.Port))
	record = append(record, state, 0, 0, 0, 0)
	record = binary.BigEndian.AppendUint32(record, 1000)
	record = binary.BigEndian.AppendUint64(record, 0)
	j.mu.Lock()
	defer j.mu.Unlock()
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(record)))
	b = binary.BigEndian.AppendUint64(b, uint64(len(j.events)+2))
	b = append(append(b, 2), record...)
	j.events = append(j.events, b)
	close(j.wake)
	j.wake = make(chan struct{})
}
