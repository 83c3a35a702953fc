package config

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
	"strings"
)

// digestBytes is the length of a digest: a prefix of a SHA-256 sum.
const digestBytes = 8

// computeDigest returns the digest of the keys that all front ends of a site have to agree on. It is the sum of the
// section's JSON, so that the order, the names and the form of the keys of Fleet must not change.
func (r *resolvedFleet) computeDigest() ([]byte, error) {
	text, err := json.Marshal(r.agreedSection())
	if err != nil {
		return nil, fleetSection.keyError("members", "%w", err)
	}
	sum := sha256.Sum256(text)
	return sum[:digestBytes], nil
}

// agreedSection returns the section without the keys that a front end may have of its own.
func (r *resolvedFleet) agreedSection() *Fleet {
	agreed := *r.section
	agreed.Budgets = nil // front ends may differ for a while: the highest version counts
	agreed.Zone = ""
	agreed.Attached = agreed.Attached.agreedSection()
	if agreed.Attached != nil {
		agreed.OrphanTimeoutS = 0 // a front end that is no member may not have it
	}
	agreed.Members = agreedMembers(agreed.Members)
	agreed.Folder, agreed.AdminSocket, agreed.SecretFile = "", "", ""
	agreed.Replicas = r.replicas
	agreed.LedgerMB = r.ledgerMB
	agreed.RetentionS = float64(r.durations.retention) // in microseconds, as it always was in digests
	return &agreed
}

// agreedMembers returns the members in the order of their names, without addresses: the order may differ among front
// ends, and so may the addresses by which they reach a member.
func agreedMembers(members []FleetMember) (agreed []FleetMember) {
	for _, member := range members {
		agreed = append(agreed, FleetMember{Name: member.Name, Zone: member.Zone})
	}
	slices.SortFunc(agreed, func(a, b FleetMember) int { return strings.Compare(a.Name, b.Name) })
	return agreed
}
