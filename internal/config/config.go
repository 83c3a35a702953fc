// Package config reads, checks and gives defaults to the configuration of a front end. It has two files: the node's
// configuration, which the platform writes (JSON, named by NODE_CONFIG), and the installation file, which operators
// write (Jsonnet or JSON).
//
// Each section of the installation file has a Go file of its own with the type that it is decoded into, its defaults
// and limits, its checks and its conversion into the types of the package that it configures. An error of a key is a
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
	Discovery         netip.AddrPort // of the journal service, which lists engines
	Seed              uint64         // for random numbers
	MemoryMB          int            // that the front end may use; at least 16, default 192
	Sockets           int            // file descriptors that the front end may have; at least 64, default 1024
	Settings          *settings.Settings
	KnownEvents       []discovery.Event // of the journal service up to LastPos
	LastKnownPosition uint64            // the position of the last known event

	// InstallationPath is the path of the installation file; empty without one.
	InstallationPath string
	// Statements are the options for reading statements; nil if that is off.
	Statements *statement.Options
	// Callers are the options for identifying callers; nil if that is off.
	Callers *identity.Options
	// Peers is how this front end works with the others of its fleet; nil if that is off.
	Peers *Peers

	installation *Installation // nil without an installation file
	settings     []byte        // the JSON of Settings without white space, by which a reload finds changes
}

// Load reads the node's configuration, whose path is in the environment variable NODE_CONFIG, and the installation
// file if its path is not empty. The variables NODE_NAME and NODE_LISTEN override keys of the node's configuration. An
// error of a key is a *KeyError.
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

// loadNode reads the node's configuration.
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

// applyInstallation checks the sections of the installation against the site's settings and converts them. Without an
// installation it does nothing.
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

// TLS returns the installation's section on TLS; without an installation one that is off.
func (c *Config) TLS() *TLS {
	if c.installation == nil {
		return &TLS{}
	}
	return &c.installation.TLS
}

// Identity returns the installation's section on callers; without an installation one that is off.
func (c *Config) Identity() *Identity {
	if c.installation == nil {
		return &Identity{}
	}
	return &c.installation.Identity
}

// CheckReload checks the installation of next, which a reload has read, against the settings of c, which a reload
// does not change. It returns next.
func (c *Config) CheckReload(next *Config) (*Config, error) {
	return next, next.applyInstallation(c.Settings)
}

// Reloaded returns the configuration that is in force after a reload: c with the keys of next that can change while the
// front end runs. The known engines of next are not among them, as the journal service reports these.
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

// RestartKeys returns the keys, in alphabetical order, that differ in next but take effect only when a front end
// starts.
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
