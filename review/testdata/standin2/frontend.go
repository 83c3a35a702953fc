package main

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// frontEnd is one front end, a process of its own.
type frontEnd struct {
	w             *world
	name          string
	rank          int
	listen, peer  string // addresses for clients and for the other front ends
	socket        string // of the operators
	config        string // paths of its files
	installation  string // empty: none
	cmd           *exec.Cmd
	exited        chan struct{}
	logPath       string
	environment   []string
	configuration map[string]any
	running       bool
	memoryMB      int
	tls           *tls.Config // of its clients; nil without TLS
	proxies       []*proxy    // of its links with the other front ends
}

// freeAddress returns an address with a free port on a loopback address that no other program connects from.
func freeAddress() string {
	b := make([]byte, 3)
	_, _ = rand.Read(b)
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+b[0]%250, b[1], 1+b[2]%250))
	check(err, "free port")
	defer listener.Close()
	return listener.Addr().String()
}

// classes and settings are those of a small deployment: two rooms would only add to the distance between engines, so
// the front ends stand in one.
func settings(frontEnds, rank int) map[string]any {
	class := func(name string, onTime, stretch, giveUp, worth float64, repeat string, more map[string]any) map[string]any {
		c := map[string]any{"name": name, "on_time": onTime, "aim_stretch": stretch, "give_up": giveUp, "worth": worth,
			"late_value": 0.3, "repeat": repeat, "group": "all", "window": 5.0, "stream": false}
		for key, value := range more {
			c[key] = value
		}
		return c
	}
	return map[string]any{
		"balancers": frontEnds, "rank": rank, "zone": "room-a", "discovery": "push", "family": "queries",
		"failure_domains": []string{"room-a"}, "host_types": []string{"std-8a"},
		"classes": []any{
			class("lookup", 1, 1.5, 5, 1, "safe", nil),
			class("report", 3, 2.5, 25, 7.5, "safe", nil),
			class("manifest-load", 3, 2.5, 25, 5, "keyed", map[string]any{"window": 25.0, "by_arrival": true}),
			class("seat-release", 3, 2.5, 25, 5, "unsafe", map[string]any{"by_arrival": true}),
		},
		"tenants": []any{
			map[string]any{"name": "volta-air", "quota_per_s": 60.0, "share": 0.6},
			map[string]any{"name": "coastline-air", "quota_per_s": 40.0, "share": 0.4},
		},
		"domain": map[string]any{"class_threads": []int{1, 3, 2, 2}, "cpu_of_kind": []int{8},
			"ram_of_kind_mb": []float64{16384}, "writes_tables": []bool{false, false, true, true},
			"yields_to_loads": []bool{true, false, false, false}, "grants": true},
		"limits": map[string]any{"cancel": false, "conn_idle": 30.0, "dial_timeout": 0.25, "max_attempts": 5,
			"max_open": 20000, "max_retry_after": 2.0, "may_duplicate": false, "probes": true, "retry_after": true},
		"rules": map[string]any{"answer_slack": 0.02, "cold": 14.0, "cold_from": 0.32, "drain_grace": 0.5, "fall": 1.0,
			"fall_multiple": 2.0, "settle_after_doubt": 0.0},
		"report": map[string]any{"fields": []string{"util", "queue", "x0", "x1"}, "how": "probe"},
	}
}

// knownEvents is the number of the event that the configurations hold.
const knownEvents = 1

// newFrontEnd returns a front end that is not started, and writes its configuration.
func newFrontEnd(w *world, name string, frontEnds, rank int, j *journal, es *engines) *frontEnd {
	f := &frontEnd{w: w, name: name, rank: rank, listen: freeAddress(), peer: freeAddress(), memoryMB: 192,
		socket:  filepath.Join(w.dir, name+".sock"),
		config:  filepath.Join(w.dir, name+".json"),
		logPath: filepath.Join(w.dir, name+".log"),
	}
	var targets []any
	for _, e := range es.list {
		targets = append(targets, map[string]any{"uid": e.uid, "endpoint": e.addr.String(), "az": "room-a",
			"model": "std-8a", "pod_group": 0, "state": "in_service", "capacity_hint": 1, "boot_ms": e.bootMS})
	}
	f.configuration = map[string]any{"name": name, "listen": f.listen, "seed": newID(),
		"limits":  map[string]any{"cores": 1.0, "memory_mb": f.memoryMB, "sockets": 1024},
		"journal": j.listener.Addr().String(), "settings": settings(frontEnds, rank),
		"known": map[string]any{"pos": knownEvents, "entries": []any{map[string]any{"pos": knownEvents,
			"hosts": map[string]any{"rev": 1, "all": true, "targets": targets}}}}}
	writeJSON(f.config, f.configuration)
	return f
}

// writeJSON replaces a file.
func writeJSON(path string, content any) {
	b, err := json.Marshal(content)
	check(err, path)
	writeFile(path, b)
}

func writeFile(path string, content []byte) {
	check(os.WriteFile(path+".new", content, 0o600), path)
	check(os.Rename(path+".new", path), path)
}

// install writes the installation file.
func (f *frontEnd) install(content any) {
	f.installation = filepath.Join(f.w.dir, f.name+"-installation.json")
	writeJSON(f.installation, content)
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the front end with the command of the deploy file, and waits until it is healthy.
func (f *frontEnd) start() {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	check(err, "deploy file")
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		giveUp("the deploy file has no run line")
	}
	command := string(match[1])
	if f.installation != "" {
		command += " --installation " + f.installation
	}
	log, err := os.OpenFile(f.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err, "log")
	f.cmd = exec.Command("/bin/sh", "-c", command)
	f.cmd.Env = append(os.Environ(), "NODE_NAME="+f.name, "NODE_LISTEN="+f.listen, "NODE_CONFIG="+f.config)
	f.cmd.Stderr, f.cmd.Stdout = log, log
	check(f.cmd.Start(), "front end")
	f.exited = make(chan struct{})
	f.running = true
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(f.cmd, f.exited)
	f.w.atEnd(f.kill)
	f.w.log("front end %s started", f.name)
	waitFor(f.name+" is healthy", 20*time.Second, func() bool {
		c, err := dial(f.w, "health", f.listen, f.tls)
		if err != nil {
			return false
		}
		defer c.conn.Close()
		return c.healthy()
	})
}

// kill ends the process at once.
func (f *frontEnd) kill() {
	if f.running {
		f.running = false
		_ = f.cmd.Process.Kill()
		<-f.exited
	}
}

func (f *frontEnd) signal(s syscall.Signal) { check(f.cmd.Process.Signal(s), "signal") }

// logText returns what the process has logged.
func (f *frontEnd) logText() string {
	b, _ := os.ReadFile(f.logPath)
	return string(b)
}

// status asks a front end of a fleet for its state.
func (f *frontEnd) status() map[string]any {
	conn, err := net.DialTimeout("unix", f.socket, time.Second)
	if err != nil {
		return nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintln(conn, "status")
	var status map[string]any
	if json.NewDecoder(conn).Decode(&status) != nil {
		return nil
	}
	return status
}

// startFleet starts front ends that keep a record of loads together, in memory, and returns them with the leader first.
func startFleet(w *world, count int, j *journal, es *engines, more map[string]any) []*frontEnd {
	var list []*frontEnd
	for i := range count {
		list = append(list, newFrontEnd(w, fmt.Sprintf("n%d", i+1), count, i, j, es))
	}
	for _, f := range list {
		var members []any // the others are reached through proxies
		for _, other := range list {
			address := other.peer
			if other != f {
				p := startProxy(w, other.peer)
				f.proxies, other.proxies = append(f.proxies, p), append(other.proxies, p)
				address = p.addr
			}
			members = append(members, map[string]any{"name": other.name, "address": address, "zone": "room-a"})
		}
		section := map[string]any{"enabled": true, "site": "review", "members": members, "copies": 3, "admin": f.socket}
		for key, value := range more {
			section[key] = value
		}
		f.install(map[string]any{"fleet": section})
	}
	for _, f := range list {
		f.start()
	}
	return leaderFirst(list)
}

// setCut cuts a front end off from the others, or ends the cut.
func (w *world) setCut(f *frontEnd, cut bool) {
	for _, p := range f.proxies {
		p.setCut(cut)
	}
}

// leaderFirst waits until one of the front ends leads a record with three votes, and returns that one first.
func leaderFirst(list []*frontEnd) (ordered []*frontEnd) {
	waitFor("the record has a leader and three votes", 30*time.Second, func() bool {
		ordered = nil
		for _, f := range list {
			status := f.status()
			b, _ := json.Marshal(status)
			if isLeader(status) && strings.Count(string(b), `"votes":true`) >= 3 {
				ordered = append([]*frontEnd{f}, without(list, f)...)
				return true
			}
		}
		return false
	})
	return ordered
}

func without(list []*frontEnd, f *frontEnd) (rest []*frontEnd) {
	for _, other := range list {
		if other != f {
			rest = append(rest, other)
		}
	}
	return rest
}

// isLeader reports whether a status, or an object in it, has the role of the leader.
func isLeader(v any) bool {
	object, ok := v.(map[string]any)
	if !ok {
		return false
	}
	if object["role"] == "leader" {
		return true
	}
	for _, part := range object {
		if isLeader(part) {
			return true
		}
	}
	return false
}
