package config

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"strings"
)

// digestBytes is the length of a settings digest, which is a prefix of a SHA-256 sum.
const digestBytes = 8

// computeDigest returns the digest of the keys that all front ends of a site have to agree on. It is a hash of the
// section's JSON. Therefore the order, the names and the types of the keys of Fleet must not change.
func (r *resolvedFleet) computeDigest() ([]byte, error) {
	text, err := json.Marshal(r.agreedSection())
	if err != nil {
		return nil, fleetSection.keyError("members", "%w", err)
	}
	sum := sha256.Sum256(text)
	return sum[:digestBytes], nil
}

// agreedSection returns the section, with defaults, without the keys that may differ among front ends.
func (r *resolvedFleet) agreedSection() *Fleet {
	agreed := *r.section
	agreed.Budgets = nil // may differ for some time: the highest version is in force
	agreed.Zone = ""
	agreed.Attached = agreed.Attached.agreedSection()
	if agreed.Attached != nil {
		agreed.OrphanTimeoutS = 0 // an attached front end may not set it
	}
	agreed.Members = agreedMembers(agreed.Members)
	agreed.Folder, agreed.AdminSocket, agreed.SecretFile = "", "", ""
	agreed.Replicas = r.replicas
	agreed.RegistryMB = r.registryMB
	agreed.RetentionS = float64(r.durations.retention) // digests have always had it in microseconds
	return &agreed
}

// agreedMembers returns the members sorted by name and without addresses: front ends may list the members in different
// orders and reach a member at different addresses.
func agreedMembers(members []FleetMember) (agreed []FleetMember) {
	for _, member := range members {
		agreed = append(agreed, FleetMember{Name: member.Name, Zone: member.Zone})
	}
	slices.SortFunc(agreed, func(a, b FleetMember) int { return strings.Compare(a.Name, b.Name) })
	return agreed
}
