// Package site writes the configuration and installation files of the front ends of a small site, and has a stub
// discovery service that never sends an event. It is used by tests and by the tool that measures fleets.
package site

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Engine is an engine that the configuration of the front ends lists.
type Engine struct {
	Name    string
	Address string // host:port
}

// ControlMember is an entry of the list of control members in the fleet section of the installation file.
type ControlMember struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port for other front ends
	Zone    string `json:"zone"`
}

// FrontEndFiles is the content of the files of one front end.
type FrontEndFiles struct {
	Name          string
	ClientAddr    string // host:port for clients
	Seed          string // seed of its random numbers, in hexadecimal
	DiscoveryAddr string // host:port of the discovery service
	SiteSize      int    // number of front ends of the site
	SocketLimit   int    // limit of open sockets; 0 means DefaultSocketLimit
	Engines       []Engine
	FleetSection  map[string]any // the fleet section of the installation file
}

// Configured limits of a front end, in addition to one core.
const (
	// MemoryLimitMB is the memory limit, in MiB. The replicated log uses a share of it that has to be the same at all
	// front ends.
	MemoryLimitMB = 192
	// DefaultSocketLimit is the limit of open sockets if FrontEndFiles sets none.
	DefaultSocketLimit = 1024
)

// KnownPosition is the position in the discovery service's sequence of events that the endpoint list in the
// configuration corresponds to.
const KnownPosition = 41

// Write writes the front end's two files into a folder, each atomically, and returns their paths.
func (f *FrontEndFiles) Write(dir string) (config, installation string, err error) {
	settings := map[string]any{}
	if err := json.Unmarshal([]byte(Settings), &settings); err != nil {
		return "", "", fmt.Errorf("site: settings: %w", err)
	}
	settings["balancers"] = f.SiteSize
	config = filepath.Join(dir, f.Name+"-config.json")
	installation = filepath.Join(dir, f.Name+"-installation.json")
	if err := replaceFile(config, f.nodeConfig(settings)); err != nil {
		return "", "", err
	}
	return config, installation, replaceFile(installation, map[string]any{"fleet": f.FleetSection})
}

// nodeConfig returns the content of the configuration file.
func (f *FrontEndFiles) nodeConfig(settings map[string]any) map[string]any {
	sockets := f.SocketLimit
	if sockets == 0 {
		sockets = DefaultSocketLimit
	}
	return map[string]any{
		"name":     f.Name,
		"listen":   f.ClientAddr,
		"seed":     f.Seed,
		"limits":   map[string]any{"cores": 1, "memory_mb": MemoryLimitMB, "sockets": sockets},
		"journal":  f.DiscoveryAddr,
		"settings": settings,
		"known":    KnownEndpoints(f.Engines),
	}
}

// KnownEndpoints returns the "known" section of a configuration: an endpoint list with the given engines, all in
// service, at KnownPosition.
func KnownEndpoints(engines []Engine) map[string]any {
	targets := make([]any, 0, len(engines))
	for _, engine := range engines {
		targets = append(targets, map[string]any{"uid": engine.Name, "endpoint": engine.Address, "az": "a", "model": "k",
			"pod_group": 0, "state": "in_service", "capacity_hint": 1, "boot_ms": 0})
	}
	hosts := map[string]any{"rev": 1, "all": true, "targets": targets}
	entry := map[string]any{"pos": KnownPosition, "hosts": hosts}
	return map[string]any{"pos": KnownPosition, "entries": []any{entry}}
}

// replaceFile atomically replaces a file by the JSON encoding of the content.
func replaceFile(path string, content any) error {
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
