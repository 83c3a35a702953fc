package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// patience bounds each wait of a test; nothing is timed by it.
const patience = 20 * time.Second

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "chutechute")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "chutechute")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// call is one call that an engine got.
type call struct {
	engine, method, path string
	header               http.Header
	body                 string
	at                   time.Time
}

// engine plays an engine on a loopback socket; its answers are the test's.
type engine struct {
	name   string
	addr   *net.TCPAddr
	server *httptest.Server
}

// rig is a front end that runs, with its journal service and engines.
type rig struct {
	t        *testing.T
	cmd      *exec.Cmd
	addr     string
	log      *lockedBuffer
	exited   chan error
	journal  net.Listener
	mu       sync.Mutex
	calls    []call
	engines  []*engine
	settings map[string]any
	sockets  int
	memory   int
	conns    func(net.Conn, http.ConnState) // sees the engines' connections
	config   map[string]any
	path     string // of the configuration
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const settings = `{"balancers":1,"rank":0,"zone":"a","discovery":"push","failure_domains":["a"],"host_types":["k"],
"classes":[{"name":"lookup","on_time":0.4,"aim_stretch":2.5,"give_up":5,"worth":1,"repeat":"safe","group":"all","window":5},
 {"name":"load","on_time":3,"give_up":25,"worth":5,"repeat":"keyed","group":"all","window":25,"by_arrival":true}],
"tenants":[{"name":"t","quota_per_s":1000,"share":1}],
"domain":{"class_threads":[1,2],"cpu_of_kind":[64],"ram_of_kind_mb":[65536],"writes_tables":[false,true],"yields_to_loads":[true,false]},
"limits":{"conn_idle":30,"dial_timeout":0.25,"max_attempts":5,"max_open":20000,"max_retry_after":2,"retry_after":true,"streams_per_conn":1},
"rules":{"cold":14,"cold_from":0.3,"fall":1,"fall_multiple":2,"drain_grace":0.5,"answer_slack":0.02}}`

type answer func(r *rig, w http.ResponseWriter, c call)

// start runs the program with engines that answer so.
func start(t *testing.T, engines int, do answer, change ...func(*rig)) *rig {
	r := &rig{t: t, log: &lockedBuffer{}, exited: make(chan error, 1), sockets: 1024, memory: 192}
	require.NoError(t, json.Unmarshal([]byte(settings), &r.settings))
	for i := range engines {
		e := &engine{name: fmt.Sprintf("s-%08x", i+1)}
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			body, _ := io.ReadAll(req.Body)
			c := call{e.name, req.Method, req.URL.Path, req.Header, string(body), time.Now()}
			r.mu.Lock()
			r.calls = append(r.calls, c)
			r.mu.Unlock()
			do(r, w, c)
		}))
		server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
			if r.conns != nil {
				r.conns(conn, state)
			}
		}
		server.Start()
		e.server = server
		e.addr = server.Listener.Addr().(*net.TCPAddr)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		r.engines = append(r.engines, e)
	}
	var err error
	r.journal, err = net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { r.journal.Close() })
	for _, f := range change {
		f(r)
	}
	var targets []any
	for _, e := range r.engines {
		targets = append(targets, map[string]any{"uid": e.name, "endpoint": e.addr.String(), "az": "a",
			"model": "k", "pod_group": 0, "state": "in_service", "capacity_hint": 1, "boot_ms": 0})
	}
	r.run(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
		"limits":  map[string]any{"cores": 1, "memory_mb": r.memory, "sockets": r.sockets},
		"journal": r.journal.Addr().String(), "settings": r.settings,
		"known": map[string]any{"pos": 41, "entries": []any{map[string]any{"pos": 41,
			"hosts": map[string]any{"rev": 1, "all": true, "targets": targets}}}}})
	listen := regexp.MustCompile(`listen=(\S+)`)
	require.Eventually(t, func() bool {
		if m := listen.FindStringSubmatch(r.log.String()); m != nil {
			r.addr = m[1]
		}
		return r.addr != ""
	}, patience, time.Millisecond, "%s", r.log)
	return r
}

// run starts the program; it is ended with the test, which shows its log if it failed.
func (r *rig) run(config map[string]any) {
	r.config, r.path = config, filepath.Join(r.t.TempDir(), "config.json")
	r.write()
	r.cmd = exec.Command(program)
	r.cmd.Env = []string{"NODE_CONFIG=" + r.path}
	r.cmd.Stderr = r.log
	require.NoError(r.t, r.cmd.Start())
	go func() { r.exited <- r.cmd.Wait() }()
	r.t.Cleanup(func() {
		_ = r.cmd.Process.Kill()
		if r.t.Failed() {
			r.t.Log(r.log)
		}
	})
}

// write puts the configuration into its file, in place of what was there.
func (r *rig) write() {
	text, err := json.Marshal(r.config)
	require.NoError(r.t, err)
	require.NoError(r.t, os.WriteFile(r.path+".new", text, 0o600))
	require.NoError(r.t, os.Rename(r.path+".new", r.path))
}

func (r *rig) signal(s syscall.Signal) { require.NoError(r.t, r.cmd.Process.Signal(s)) }

// peakMB is the most memory that the program has held.
func (r *rig) peakMB() (kb int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	require.NoError(r.t, err)
	_, err = fmt.Sscanf(string(status[bytes.Index(status, []byte("VmHWM:")):]), "VmHWM: %d kB", &kb)
	require.NoError(r.t, err)
	return kb / 1024
}

// got is the calls that engines have got, by method and the start of the path.
func (r *rig) got(method, path string) (list []call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if c.method == method && strings.HasPrefix(c.path, path) {
			list = append(list, c)
		}
	}
	return list
}

// await waits until that many such calls have come.
func (r *rig) await(n int, method, path string) []call {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return len(r.got(method, path)) >= n }, patience, time.Millisecond)
	return r.got(method, path)
}

func (r *rig) awaitLog(text string) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return strings.Contains(r.log.String(), text) }, patience, time.Millisecond)
}

// client is a Thrift client of the front end, written apart from the program's own codec.
type client struct {
	t    *testing.T
	conn net.Conn
	seq  int32
}

func (r *rig) client() *client {
	conn, err := net.Dial("tcp4", r.addr)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	require.NoError(r.t, conn.SetDeadline(time.Now().Add(patience)))
	return &client{t: r.t, conn: conn}
}

func text(s string) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(s))), s...) }

func (c *client) send(kind byte, name string, args ...[]byte) int32 {
	c.seq++
	m := append([]byte{0x80, 1, 0, kind}, text(name)...)
	m = binary.BigEndian.AppendUint32(m, uint32(c.seq))
	m = append(append(m, bytes.Join(args, nil)...), 0)
	_, err := c.conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(m))), m...))
	require.NoError(c.t, err)
	return c.seq
}

// ask sends a request: fields as name, value, name, value.
func (c *client) ask(statement string, fields ...string) int32 {
	m := []byte{13, 0, 1, 11, 11, 0, 0, 0, byte(len(fields) / 2)}
	for _, f := range fields {
		m = append(m, text(f)...)
	}
	return c.send(1, "call", m, append([]byte{11, 0, 2}, text(statement)...))
}

func id(n int) string { return fmt.Sprintf("%016x", n) }

// lookup asks for a lookup with the usual fields.
func (c *client) lookup(n int, ttl string) int32 {
	return c.ask("SELECT * FROM s_1.t", "call", id(n), "op", "lookup", "ttl", ttl, "org", "t", "work", "1000.0", "mb", "8")
}

func (c *client) load(n int, ttl string) int32 {
	return c.ask("INSERT INTO s_1.t", "call", id(n), "op", "load", "ttl", ttl, "dedupe", fmt.Sprint(n), "row", "k", "work", "10.0")
}

// reply is one message from the front end: what it is, and the text in it.
type reply struct {
	seq  int32
	what string // answer, shed, fault or exception
	raw  string
}

func (c *client) read() reply {
	c.t.Helper()
	var size uint32
	require.NoError(c.t, binary.Read(c.conn, binary.BigEndian, &size))
	b := make([]byte, size)
	_, err := io.ReadFull(c.conn, b)
	require.NoError(c.t, err)
	n := 8 + int(binary.BigEndian.Uint32(b[4:]))
	p := reply{seq: int32(binary.BigEndian.Uint32(b[n:])), raw: string(b[n+4:]), what: "exception"}
	if b[3] == 2 {
		p.what = []string{"answer", "shed", "fault"}[b[n+6]]
	}
	return p
}

// body is the rows of an answer.
func (p reply) body() string {
	n := binary.BigEndian.Uint32([]byte(p.raw[6:]))
	return p.raw[10 : 10+n]
}

func (c *client) healthy() bool {
	c.send(1, "health")
	return strings.HasSuffix(c.read().raw, "\x02\x00\x03\x01\x00\x00")
}

// row is a result's row, and all of most results here.
const row = "x\ty\tz\n"

// serve answers with a result of one page.
func serve(w http.ResponseWriter, page string) {
	w.Header().Set("X-Batches", "1")
	fmt.Fprint(w, page)
}

// raw answers with bytes of the test's own, and ends the connection or keeps it open.
func raw(w http.ResponseWriter, answer string, end bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, answer)
	if end {
		conn.Close()
	}
}

// store is an engine that keeps each query running until it has been asked so many times, then serves rows.
func store(asks int, rows ...string) answer {
	asked := map[string]int{}
	return func(r *rig, w http.ResponseWriter, c call) {
		name := c.header.Get("Request-Id")
		page := 0
		if c.method != "POST" {
			part := strings.Split(c.path, "/")
			name = part[3]
			if c.method == "DELETE" {
				w.WriteHeader(204)
				return
			}
			fmt.Sscan(part[4], &page)
		}
		r.mu.Lock()
		asked[name]++
		n := asked[name]
		r.mu.Unlock()
		if page == 0 && n <= asks {
			time.Sleep(50 * time.Millisecond)
			w.WriteHeader(202)
			return
		}
		if page > 0 {
			w.Header().Set("X-Batch", fmt.Sprint(page))
		} else {
			w.Header().Set("X-Batches", fmt.Sprint(len(rows)))
		}
		io.WriteString(w, rows[page])
	}
}

// frame is a frame of the journal service.
func frame(number uint64, kind byte, records ...[]byte) []byte {
	payload := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, number), kind), payload...)
}

func (e *engine) record(state byte) []byte {
	var n uint32
	fmt.Sscanf(e.name, "s-%x", &n)
	b := append(binary.BigEndian.AppendUint32(nil, n), e.addr.IP.To4()...)
	b = append(binary.BigEndian.AppendUint16(b, uint16(e.addr.Port)), state, 0, 0, 0, 0, 0, 0, 3, 232)
	return append(b, make([]byte, 8)...)
}

// accept is a connection of the front end to the journal, and the number that it began with.
func (r *rig) accept() (net.Conn, uint64) {
	conn, err := r.journal.Accept()
	require.NoError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	var last uint64
	require.NoError(r.t, binary.Read(bufio.NewReader(conn), binary.BigEndian, &last))
	return conn, last
}
