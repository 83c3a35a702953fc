package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"

	"chutechute/internal/discovery"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

// Defaults and limits of the node configuration.
const (
	defaultMemoryMB = 192
	minMemoryMB     = 16
	defaultSockets  = 1024 // file descriptors
	minSockets      = 64   // file descriptors

	defaultConnIdle    = 30 * monotime.Second
	defaultDialTimeout = 250 * monotime.Millisecond
	defaultMaxOpen     = 20_000 // requests
)

// nodeDocument is the JSON form of the node configuration. It is an alias, because encoding/json puts the name of a
// defined type into errors, which operators read.
type nodeDocument = struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"` // hexadecimal
	Limits struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	} `json:"limits"`
	Journal  string                 `json:"journal"`
	Known    discovery.CachedEvents `json:"known"`
	Settings json.RawMessage        `json:"settings"`
}

// Parse reads the JSON of a node configuration. The name and the listen address, if not empty, override those in the
// text. The error for a key is a *KeyError.
func Parse(text []byte, name, listen string) (*Config, error) {
	var document nodeDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	document.Listen = cmp.Or(listen, document.Listen)
	c := &Config{Name: cmp.Or(name, document.Name), LastKnownPosition: document.Known.LastEvent}
	for _, convert := range []func(*nodeDocument) error{
		c.parseAddresses, c.parseSeed, c.parseLimits, c.parseSettings, c.parseKnown,
	} {
		if err := convert(&document); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// parseAddresses sets the addresses of this front end and of the discovery service.
func (c *Config) parseAddresses(document *nodeDocument) (err error) {
	if c.Listen, err = parseAddress("listen", document.Listen); err != nil {
		return err
	}
	c.Discovery, err = parseAddress("journal", document.Journal)
	return err
}

// parseAddress reads the value of a key that is an IPv4 address with a port.
func parseAddress(key, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() {
		return address, nodeKeyError(key, "%q is no IPv4 address with a port", text)
	}
	return address, nil
}

// parseSeed sets the seed.
func (c *Config) parseSeed(document *nodeDocument) (err error) {
	if c.Seed, err = strconv.ParseUint(document.Seed, 16, 64); err != nil {
		return nodeKeyError("seed", "%q is not 16 hex digits", document.Seed)
	}
	return nil
}

// parseLimits sets the limits of memory and file descriptors.
func (c *Config) parseLimits(document *nodeDocument) error {
	limits := document.Limits
	if limits.MemoryMB < 0 || limits.Sockets < 0 {
		return nodeKeyError("limits", "memory_mb and sockets may not be negative")
	}
	c.MemoryMB, c.Sockets = int(limits.MemoryMB), int(limits.Sockets)
	replaceNonPositive(&c.MemoryMB, defaultMemoryMB)
	replaceNonPositive(&c.Sockets, defaultSockets)
	if c.Sockets < minSockets {
		return nodeKeyError("limits.sockets", "%d is below %d", c.Sockets, minSockets)
	}
	if c.MemoryMB < minMemoryMB {
		return nodeKeyError("limits.memory_mb", "%d is below %d", c.MemoryMB, minMemoryMB)
	}
	return nil
}

// parseSettings reads and checks the settings object and fills in its defaults.
func (c *Config) parseSettings(document *nodeDocument) (err error) {
	if len(document.Settings) == 0 {
		return nodeKeyError("settings", "missing")
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, document.Settings); err != nil {
		return nodeKeyError("settings", "%w", err)
	}
	c.settings = compact.Bytes()
	if c.Settings, err = settings.Parse(document.Settings); err != nil {
		return nodeKeyError("settings", "%w", err)
	}
	if err := checkSettings(c.Settings); err != nil {
		return err
	}
	replaceNonPositive(&c.Settings.ConnIdle, defaultConnIdle)
	replaceNonPositive(&c.Settings.DialTimeout, defaultDialTimeout)
	replaceNonPositive(&c.Settings.MaxOpen, defaultMaxOpen)
	return nil
}

// replaceNonPositive replaces a value that is zero or negative by its default.
func replaceNonPositive[T int | monotime.Micros](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// parseKnown sets the known events of the discovery service.
func (c *Config) parseKnown(document *nodeDocument) (err error) {
	if c.KnownEvents, err = document.Known.Parse(); err != nil {
		return section{file: nodeFile, path: "known"}.addKey(err)
	}
	return nil
}
