// Package config reads and checks the configuration of a front end and fills in its defaults. The configuration has two
// files: the node configuration, which the platform writes (JSON; NODE_CONFIG has its path), and the installation file,
// which operators write (Jsonnet or JSON).
//
// Each section of the installation file has its own Go file with the type that it is decoded into, its defaults and
// limits, its checks, and its conversion to the types of the package that it configures. The error for a key is a
// *KeyError.
package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"slices"

	"chutechute/identity"
	"chutechute/internal/discovery"
	"chutechute/internal/settings"
	"chutechute/statement"
)

// Config is the checked configuration of one front end, with defaults filled in.
type Config struct {
	Name              string         // of the front end
	Listen            netip.AddrPort // where clients connect
	Discovery         netip.AddrPort // of the discovery service, which lists engines
	Seed              uint64         // of the random number generator
	MemoryMB          int            // memory that the front end may use; at least 16, default 192
	Sockets           int            // maximum number of file descriptors; at least 64, default 1024
	Settings          *settings.Settings
	KnownEvents       []discovery.Event // events of the discovery service up to LastKnownPosition
	LastKnownPosition uint64            // position of the last known event

	// InstallationPath is the path of the installation file; empty if there is none.
	InstallationPath string
	// Statements has the options for parsing statements; nil if that is off.
	Statements *statement.Options
	// Callers has the options for identifying callers; nil if that is off.
	Callers *identity.Options
	// Peers has the options for working with the other front ends of the fleet; nil if that is off.
	Peers *Peers

	installation *Installation // nil if there is no installation file
	settings     []byte        // compact JSON of Settings, which a reload compares
}

// Load reads the node configuration, whose path is in the environment variable NODE_CONFIG, and the installation file
// if its path is not empty. The variables NODE_NAME and NODE_LISTEN override keys of the node configuration. The error
// for a key is a *KeyError.
func Load(getenv func(string) string, installation string) (*Config, error) {
	c, err := loadNode(getenv)
	if err != nil || installation == "" {
		return c, err
	}
	if c.installation, err = ReadInstallation(installation); err != nil {
		return nil, err
	}
	c.InstallationPath = installation
	return c, c.applyInstallation(c.Settings)
}

// loadNode reads the node configuration.
func loadNode(getenv func(string) string) (*Config, error) {
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

// applyInstallation checks the sections of the installation file against the site's settings and converts them. It does
// nothing if there is no installation file.
func (c *Config) applyInstallation(site *settings.Settings) (err error) {
	if c.installation == nil {
		return nil
	}
	c.Statements, err = c.installation.Statement.optionsWithin(Classes(site), c.MemoryMB)
	if err != nil {
		return err
	}
	if c.Callers, err = c.installation.Identity.Options(site); err != nil {
		return err
	}
	if c.Peers, err = c.installation.Fleet.Options(c.Name, site, c.MemoryMB); err != nil {
		return err
	}
	return c.installation.TLS.check()
}

// TLS returns the section "tls" of the installation file; if there is no file, a section that is off.
func (c *Config) TLS() *TLS {
	if c.installation == nil {
		return &TLS{}
	}
	return &c.installation.TLS
}

// Identity returns the section "identity" of the installation file; if there is no file, a section that is off.
func (c *Config) Identity() *Identity {
	if c.installation == nil {
		return &Identity{}
	}
	return &c.installation.Identity
}

// CheckReload checks the installation file of next, which a reload has read, against the settings of c, because a
// reload does not change the settings. It returns next.
func (c *Config) CheckReload(next *Config) (*Config, error) {
	return next, next.applyInstallation(c.Settings)
}

// Reloaded returns the configuration that is in force after a reload: c with the keys of next that can change while the
// front end runs. The known engines are not among these keys, because the discovery service reports changes of engines.
func (c *Config) Reloaded(next *Config) *Config {
	merged := *c
	merged.Discovery = next.Discovery
	merged.MemoryMB = next.MemoryMB
	merged.Sockets = next.Sockets
	merged.Statements = next.Statements
	merged.Callers = next.Callers
	merged.installation = next.installation
	return &merged
}

// RestartKeys returns the keys, sorted, that differ in next but take effect only at the start of a front end.
func (c *Config) RestartKeys(next *Config) (keys []string) {
	equal := map[string]bool{
		"name":     c.Name == next.Name,
		"listen":   c.Listen == next.Listen,
		"seed":     c.Seed == next.Seed,
		"settings": bytes.Equal(c.settings, next.settings),
	}
	for key, same := range equal {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
