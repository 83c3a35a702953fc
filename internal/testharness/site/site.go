// Package site writes the files of the front ends of a small site, their configuration and installation, and plays a
// discovery service that never has an event. Tests use it, and the tool that measures fleets.
package site

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Engine is an engine that the front ends know from their configuration.
type Engine struct {
	Name    string
	Address string // host:port
}

// ControlMember is a control member as the fleet's section of the installation file lists it.
type ControlMember struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port for other front ends
	Zone    string `json:"zone"`
}

// FrontEndFiles is what is configured for one front end.
type FrontEndFiles struct {
	Name          string
	ClientAddr    string // host:port for clients
	Seed          string // of its random numbers, hexadecimal
	DiscoveryAddr string // host:port of the discovery service
	SiteSize      int    // number of front ends of the site
	SocketLimit   int    // limit of open sockets; 0: the default
	Engines       []Engine
	FleetSection  map[string]any // the fleet's section of the installation file
}

// The configured limits of a front end, besides one core.
const (
	// MemoryLimitMB is the limit of memory, in MiB. The replicated record takes a share of it, on which all front ends
	// have to agree.
	MemoryLimitMB = 192
	// DefaultSocketLimit is the limit of open sockets where none is given.
	DefaultSocketLimit = 1024
)

// knownPosition is the position of the discovery service's events that the configuration is written at.
const knownPosition = 41

// Write writes the front end's two files into a folder, each at once, and returns their paths.
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

// nodeConfig returns the content of the configuration's file.
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

// KnownEndpoints returns the "known" section of a configuration: a list of endpoints, at one position, that has the
// given engines, all in service.
func KnownEndpoints(engines []Engine) map[string]any {
	targets := make([]any, 0, len(engines))
	for _, engine := range engines {
		targets = append(targets, map[string]any{"uid": engine.Name, "endpoint": engine.Address, "az": "a", "model": "k",
			"pod_group": 0, "state": "in_service", "capacity_hint": 1, "boot_ms": 0})
	}
	hosts := map[string]any{"rev": 1, "all": true, "targets": targets}
	entry := map[string]any{"pos": knownPosition, "hosts": hosts}
	return map[string]any{"pos": knownPosition, "entries": []any{entry}}
}

// replaceFile writes a file, as JSON, that a reader finds either as it was or whole.
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
