package config

import (
	"bytes"
	"cmp"
	"os"
	"strings"

	"chutechute/fleet/budget"
	"chutechute/internal/settings"
)

// Fleet is the section "fleet": how the front ends of a site work together. The section is the same on all front ends
// of a site, except for the keys that agreedSection removes. A front end is a control member if its name is among the
// members; otherwise it attaches to members, if "attached" allows that.
type Fleet struct {
	Enabled        bool          `json:"enabled"`
	Site           string        `json:"site"`              // name of the fleet
	Members        []FleetMember `json:"members"`           // control members; at most 80
	SecretFile     string        `json:"secret_file"`       // path of a secret of 16 bytes or more; empty: none
	Folder         string        `json:"folder"`            // of the replicated log, may have {name}; empty: in memory
	AdminSocket    string        `json:"admin"`             // path of the admin socket, may have {name}; empty: none
	Replicas       int           `json:"copies"`            // replicas of the log: odd, at most 7; default 3
	RegistryMB     float64       `json:"ledger_mb"`         // memory of the registry; default 16, at most memory_mb / 8
	RetentionS     float64       `json:"keep_s"`            // retention of outcomes; default: required one plus 10 s
	OrphanTimeoutS float64       `json:"orphan_s"`          // until unstarted requests of a dead owner expire; default 3
	TickMS         float64       `json:"tick_ms"`           // unit of election timeouts; default 50, at most 1000
	HeartbeatMS    float64       `json:"beat_ms"`           // interval of heartbeats of members; default 100
	SuspectMS      float64       `json:"suspect_ms"`        // without a heartbeat, until suspected; default 600
	DeadMS         float64       `json:"dead_ms"`           // without a heartbeat, until presumed dead; default 3000
	ReplaceAfterS  float64       `json:"replace_s"`         // without a heartbeat, until a replica is replaced; default 10
	Budgets        *Budgets      `json:"budgets,omitempty"` // not with Attached
	Attached       *Attached     `json:"attached,omitempty"`
	Zone           string        `json:"zone,omitempty"` // of this front end; for attached ones only
}

// FleetMember is one control member of the fleet.
type FleetMember struct {
	Name    string `json:"name"`
	Address string `json:"address"` // for links of other front ends: IPv4 loopback, with a port
	Zone    string `json:"zone"`
}

// Limits and defaults of the section.
const (
	// maxMembers limits the number of members, because each sends heartbeats to all others.
	maxMembers     = 80
	minSecretBytes = 16

	defaultReplicas = 3
	maxReplicas     = 7

	defaultRegistryMB = 16
	minRegistryMB     = 1
)

// nameVariable is replaced by the front end's name in paths of the section.
const nameVariable = "{name}"

// fleetSection creates the errors for keys of the section.
var fleetSection = section{file: installationFile, path: "fleet"}

// resolvedFleet is the section as it applies to one front end, checked and with defaults filled in.
type resolvedFleet struct {
	section    *Fleet
	name       string
	self       ownMembership
	links      memberLinks
	attachment *Attachment // nil if no front ends may attach
	replicas   int
	secret     []byte // nil if there is none
	registryMB float64
	durations  fleetDurations
	budgets    *budget.Set // nil if none are set
	digest     []byte
}

// Options checks the section and returns the options of the named front end, which has memoryMB of memory; nil if the
// section is off. It reads the secret file. The error for a key is a *KeyError.
func (f *Fleet) Options(name string, site *settings.Settings, memoryMB int) (*Peers, error) {
	if !f.Enabled {
		return nil, nil
	}
	resolved, err := f.resolve(name, site, memoryMB)
	if err != nil {
		return nil, err
	}
	return resolved.peers(), nil
}

// resolve checks the section for the named front end and fills in defaults. It returns the error of the first invalid
// key.
func (f *Fleet) resolve(name string, site *settings.Settings, memoryMB int) (*resolvedFleet, error) {
	resolved := &resolvedFleet{section: f, name: name}
	var err error
	if f.Site == "" {
		return nil, fleetSection.keyError("site", "missing")
	}
	if resolved.self, resolved.links, err = f.findMembers(name); err != nil {
		return nil, err
	}
	if resolved.attachment, err = f.attachment(name, &resolved.self); err != nil {
		return nil, err
	}
	if resolved.replicas, err = f.replicas(); err != nil {
		return nil, err
	}
	if resolved.secret, err = f.readSecret(); err != nil {
		return nil, err
	}
	if resolved.registryMB, err = f.registrySize(memoryMB, resolved.self.isMember); err != nil {
		return nil, err
	}
	if resolved.durations, err = f.resolveDurations(site); err != nil {
		return nil, err
	}
	if resolved.budgets, err = f.Budgets.resolve(f.Members, resolved.durations.tick, site); err != nil {
		return nil, err
	}
	resolved.digest, err = resolved.computeDigest()
	return resolved, err
}

// replicas returns the number of replicas of the log. The default is 3, or the largest odd number of members if there
// are fewer.
func (f *Fleet) replicas() (int, error) {
	members := len(f.Members)
	largestOdd := members - 1 + members%2
	replicas := cmp.Or(f.Replicas, min(defaultReplicas, largestOdd))
	if replicas < 1 || replicas%2 == 0 || replicas > maxReplicas || replicas > members {
		return 0, fleetSection.keyError("copies", "%d is not odd, or not from 1 to the %d members (%d at most)",
			f.Replicas, members, maxReplicas)
	}
	return replicas, nil
}

// readSecret returns the secret with which front ends authenticate one another, without leading and trailing white
// space; nil if there is none.
func (f *Fleet) readSecret() ([]byte, error) {
	if f.SecretFile == "" {
		return nil, nil
	}
	text, err := os.ReadFile(f.SecretFile)
	if err != nil {
		return nil, fleetSection.keyError("secret_file", "%w", err)
	}
	secret := bytes.TrimSpace(text)
	if len(secret) < minSecretBytes {
		return nil, fleetSection.keyError("secret_file", "%s has fewer than %d bytes", f.SecretFile, minSecretBytes)
	}
	return secret, nil
}

// registrySize returns the memory of the registry of idempotent requests, in MB. All front ends have to agree on it.
// The memory of a front end that is not a member does not limit it, because that front end has no registry.
func (f *Fleet) registrySize(memoryMB int, isMember bool) (float64, error) {
	maxMB := float64(memoryMB) / memoryShares
	size := cmp.Or(f.RegistryMB, min(defaultRegistryMB, maxMB))
	if size < minRegistryMB || isMember && size > maxMB {
		return 0, fleetSection.keyError("ledger_mb", "%g is not from %d to an eighth of memory_mb, %g",
			size, minRegistryMB, maxMB)
	}
	return size, nil
}

// resolvePaths resolves the section's relative paths against the installation file's folder.
func (f *Fleet) resolvePaths(folder string) {
	resolvePaths(folder, &f.Folder, &f.AdminSocket, &f.SecretFile)
}

// withName replaces {name} in a path by the front end's name.
func withName(path, name string) string {
	return strings.ReplaceAll(path, nameVariable, name)
}
