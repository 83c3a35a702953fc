// Package config is the one place where the front end's configuration is read, checked and given defaults.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"chutechute/gateway"
	"chutechute/identity"
	"chutechute/internal/discovery"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
	"chutechute/statement"
)

// Defaults for what a configuration leaves out.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastSockets    = 64
	leastMemoryMB   = 16
	defaultIdle     = 30 * monotime.Second
	defaultDial     = monotime.Second / 4
	defaultOpen     = 20000
)

// Config is all that a front end is told.
type Config struct {
	Name     string
	Listen   netip.AddrPort
	Journal  netip.AddrPort
	Seed     uint64
	MemoryMB int
	Sockets  int
	Settings *settings.Settings
	Known    []discovery.Event
	LastPos  uint64

	// Installation is the path of the installation file; empty without one.
	Installation string
	// Statements are the options for reading statements; nil where that is off.
	Statements *statement.Options
	// Callers are the options for identifying callers; nil where that is off.
	Callers *identity.Options
	// Peers is how this front end works with others; nil where that is off.
	Peers *Peers

	installation *Installation
	settings     []byte // as they stand in the file, but for white space
}

// Load reads the configuration that the environment names, and the installation file where a path is given.
func Load(getenv func(string) string, installation string) (*Config, error) {
	c, err := load(getenv)
	if err != nil || installation == "" {
		return c, err
	}
	if c.installation, err = ReadInstallation(installation); err != nil {
		return nil, err
	}
	c.Installation = installation
	return c, c.under(c.Settings)
}

// under checks the installation against the site's settings that are in force.
func (c *Config) under(s *settings.Settings) (err error) {
	if c.installation != nil {
		if c.Statements, err = c.installation.Statement.options(Classes(s), c.MemoryMB); err == nil {
			c.Callers, err = c.installation.Identity.Options(s)
		}
		if err == nil {
			c.Peers, err = c.installation.Fleet.Options(c.Name, s, c.MemoryMB)
		}
		if t := &c.installation.TLS; err == nil && (t.Enabled || t.Engines.Enabled) {
			if _, err = t.Files(); err != nil {
				err = fmt.Errorf("installation: %w", err)
			}
		}
	}
	return err
}

// TLS is the installation's section on TLS with clients.
func (c *Config) TLS() *TLS {
	if c.installation == nil {
		return &TLS{}
	}
	return &c.installation.TLS
}

// Identity is the installation's section on callers.
func (c *Config) Identity() *Identity {
	if c.installation == nil {
		return &Identity{}
	}
	return &c.installation.Identity
}

// Rebase checks what a reload has read against the settings in force, which a reload does not change.
func (c *Config) Rebase(next *Config) (*Config, error) { return next, next.under(c.Settings) }

func load(getenv func(string) string) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("config: NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: NODE_CONFIG: %w", err)
	}
	return Parse(text, getenv("NODE_NAME"), getenv("NODE_LISTEN"))
}

// Parse reads a configuration; name and listen, where given, stand before its own.
func Parse(text []byte, name, listen string) (*Config, error) {
	var file struct {
		Name   string `json:"name"`
		Listen string `json:"listen"`
		Seed   string `json:"seed"`
		Limits struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64 `json:"sockets"`
		} `json:"limits"`
		Journal  string                 `json:"journal"`
		Known    discovery.CachedEvents `json:"known"`
		Settings json.RawMessage        `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if name == "" {
		name = file.Name
	}
	if listen == "" {
		listen = file.Listen
	}
	c := &Config{Name: name, MemoryMB: int(file.Limits.MemoryMB), Sockets: int(file.Limits.Sockets), LastPos: file.Known.Pos}
	var err error
	if c.Listen, err = address("listen", listen); err != nil {
		return nil, err
	}
	if c.Journal, err = address("journal", file.Journal); err != nil {
		return nil, err
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %q is not 16 hex digits", file.Seed)
	}
	if file.Limits.MemoryMB < 0 || file.Limits.Sockets < 0 {
		return nil, fmt.Errorf("config: limits: memory_mb and sockets may not be negative")
	}
	defaults(&c.MemoryMB, defaultMemoryMB)
	defaults(&c.Sockets, defaultSockets)
	if c.Sockets < leastSockets {
		return nil, fmt.Errorf("config: limits.sockets: %d is below %d", c.Sockets, leastSockets)
	}
	if c.MemoryMB < leastMemoryMB {
		return nil, fmt.Errorf("config: limits.memory_mb: %d is below %d", c.MemoryMB, leastMemoryMB)
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("config: settings: missing")
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, file.Settings); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	c.settings = compact.Bytes()
	if c.Settings, err = settings.Parse(file.Settings); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	if err := check(c.Settings); err != nil {
		return nil, err
	}
	defaults(&c.Settings.ConnIdle, defaultIdle)
	defaults(&c.Settings.DialTimeout, defaultDial)
	defaults(&c.Settings.MaxOpen, defaultOpen)
	if c.Known, err = file.Known.Events(); err != nil {
		return nil, fmt.Errorf("config: known.%w", err)
	}
	return c, nil
}

// With is the configuration in force after a reload: what c began with, but for the keys that next changes
// while the front end runs. What next knows of engines, the journal service tells.
func (c *Config) With(next *Config) *Config {
	now := *c
	now.Journal, now.MemoryMB, now.Sockets = next.Journal, next.MemoryMB, next.Sockets
	now.Statements, now.Callers, now.installation = next.Statements, next.Callers, next.installation
	return &now
}

// Fixed names the keys that differ in next but take effect at a start only.
func (c *Config) Fixed(next *Config) (keys []string) {
	for key, same := range map[string]bool{"name": c.Name == next.Name, "listen": c.Listen == next.Listen,
		"seed": c.Seed == next.Seed, "settings": bytes.Equal(c.settings, next.settings)} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// The memory that is not the program's own is shared out: an eighth each for the buffers of clients and of
// engines, for open requests and for their statements. What is left is for what the collector has not freed yet.
const (
	shares      = 8
	requestSize = 2 << 10 // bytes of an open request and its attempts, without the statement
)

func (c *Config) share() int { return c.MemoryMB << 20 / shares }

// BufferBytes bounds the buffers of all clients, and those of all connections to engines.
func (c *Config) BufferBytes() int { return c.share() }

// Bounds is what the core may hold.
func (c *Config) Bounds() gateway.Limits {
	return gateway.Limits{MaxOpen: min(c.Settings.MaxOpen, c.share()/requestSize), MaxStatementBytes: c.share()}
}

// HeapLimit is the soft limit of the heap, in bytes: the rest is for stacks, the program and the kernel.
func (c *Config) HeapLimit() int64 { return int64(c.MemoryMB) << 20 * 2 / 3 }

// check names the settings without which nothing can be decided.
func check(s *settings.Settings) error {
	switch {
	case s.Gateways < 1:
		return fmt.Errorf("config: settings.balancers: %d is below 1", s.Gateways)
	case len(s.Classes) == 0:
		return fmt.Errorf("config: settings.classes: missing")
	case len(s.Kinds) == 0:
		return fmt.Errorf("config: settings.host_types: missing")
	case len(s.Zones) == 0:
		return fmt.Errorf("config: settings.failure_domains: missing")
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("config: settings.classes[%d]", i)
		switch {
		case c.LatencyObjective <= 0 || c.ClientTimeout <= 0:
			return fmt.Errorf("%s: class %q lacks on_time or give_up", key, c.Name)
		case s.ClassOf[c.Name] != i:
			return fmt.Errorf("%s.name: %q stands twice", key, c.Name)
		case c.Effect == scheduler.IdempotentByKey && c.DedupeWindow <= 0:
			return fmt.Errorf("%s.window: class %q is keyed, and no engine would drop a repeat", key, c.Name)
		}
	}
	for i, t := range s.Tenants {
		if s.TenantOf[t.Name] != i {
			return fmt.Errorf("config: settings.tenants[%d].name: %q stands twice", i, t.Name)
		}
	}
	if f := s.Rules.InitialWarmth; f < 0 || f > 1 {
		return fmt.Errorf("config: settings.rules.cold_from: %g is no share of a capacity", f)
	}
	return nil
}

func address(key, text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() {
		return a, fmt.Errorf("config: %s: %q is no IPv4 address with a port", key, text)
	}
	return a, nil
}

func defaults[T int | monotime.Micros](v *T, otherwise T) {
	if *v <= 0 {
		*v = otherwise
	}
}
