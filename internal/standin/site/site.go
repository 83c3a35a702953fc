// Package site writes what the front ends of a small site are told: their configuration and installation files, and a journal service
// that has nothing to tell. Tests use it, and the tool that measures fleets.
package site

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Engine is an engine that the front ends know from the start.
type Engine struct {
	Name    string
	Address string
}

// Member is a front end as the fleet's section names it.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Front is what one front end is told.
type Front struct {
	Name      string
	Listen    string // for clients
	Seed      string // hexadecimal
	Journal   string // address of the journal service
	FrontEnds int    // of the site
	Sockets   int    // descriptors that it may have; 0: DefaultSockets
	Engines   []Engine
	Fleet     map[string]any // the installation's section
}

// What one front end may use besides a core. The record takes a share of the memory, which all have to agree on.
const (
	MemoryMB       = 192
	DefaultSockets = 1024
)

const journalStart = 41 // the position of the journal that the configuration is written at

// Write writes the front end's files into a folder, each at once, and gives their paths.
func (f *Front) Write(dir string) (config, installation string, err error) {
	settings := map[string]any{}
	if err := json.Unmarshal([]byte(Settings), &settings); err != nil {
		return "", "", fmt.Errorf("site: settings: %w", err)
	}
	settings["balancers"] = f.FrontEnds
	sockets := f.Sockets
	if sockets == 0 {
		sockets = DefaultSockets
	}
	limits := map[string]any{"cores": 1, "memory_mb": MemoryMB, "sockets": sockets}
	known := map[string]any{"pos": journalStart, "entries": []any{map[string]any{"pos": journalStart,
		"hosts": map[string]any{"rev": 1, "all": true, "targets": f.targets()}}}}
	config = filepath.Join(dir, f.Name+"-config.json")
	installation = filepath.Join(dir, f.Name+"-installation.json")
	if err := replace(config, map[string]any{"name": f.Name, "listen": f.Listen, "seed": f.Seed, "limits": limits, "journal": f.Journal,
		"settings": settings, "known": known}); err != nil {
		return "", "", err
	}
	return config, installation, replace(installation, map[string]any{"fleet": f.Fleet})
}

func (f *Front) targets() []any {
	list := make([]any, 0, len(f.Engines))
	for _, e := range f.Engines {
		list = append(list, map[string]any{"uid": e.Name, "endpoint": e.Address, "az": "a", "model": "k", "pod_group": 0,
			"state": "in_service", "capacity_hint": 1, "boot_ms": 0})
	}
	return list
}

// replace writes a file that a reader finds either as it was or whole.
func replace(path string, content any) error {
	text, err := json.Marshal(content)
	if err != nil {
		return fmt.Errorf("site: %w", err)
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("site: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("site: %w", err)
	}
	return nil
}

// Settings are those of a small site: look-ups, and loads with a key.
const Settings = `{"balancers":1,"rank":0,"zone":"a","discovery":"push","failure_domains":["a"],"host_types":["k"],
"classes":[{"name":"lookup","on_time":0.4,"aim_stretch":2.5,"give_up":5,"worth":1,"repeat":"safe","group":"all","window":5},
 {"name":"load","on_time":3,"give_up":25,"worth":5,"repeat":"keyed","group":"all","window":25,"by_arrival":true}],
"tenants":[{"name":"t","quota_per_s":1000,"share":1}],
"domain":{"class_threads":[1,2],"cpu_of_kind":[64],"ram_of_kind_mb":[65536],"writes_tables":[false,true],"yields_to_loads":[true,false]},
"limits":{"conn_idle":30,"dial_timeout":0.25,"max_attempts":5,"max_open":20000,"max_retry_after":2,"retry_after":true,"streams_per_conn":1},
"rules":{"cold":14,"cold_from":0.3,"fall":1,"fall_multiple":2,"drain_grace":0.5,"answer_slack":0.02}}`

// Journal is a journal service that has nothing to tell but that it is there.
type Journal struct{ listener net.Listener }

// heartbeat is a frame of the journal without an event.
var heartbeat = []byte{0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0}

const heartbeatEvery = time.Second

// NewJournal begins a journal service on loopback.
func NewJournal() (*Journal, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("site: journal: %w", err)
	}
	j := &Journal{listener}
	go j.serve()
	return j, nil
}

// Address is where it listens.
func (j *Journal) Address() string { return j.listener.Addr().String() }

// Close ends it; front ends that are connected go on until their connection's next heartbeat.
func (j *Journal) Close() error { return j.listener.Close() }

func (j *Journal) serve() {
	for {
		connection, err := j.listener.Accept()
		if err != nil {
			return
		}
		go beat(connection)
	}
}

// beat tells a front end that the service is there until its connection ends.
func beat(connection net.Conn) {
	defer connection.Close()
	for {
		if _, err := connection.Write(heartbeat); err != nil {
			return
		}
		time.Sleep(heartbeatEvery)
	}
}
