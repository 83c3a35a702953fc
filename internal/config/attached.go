package config

import (
	"cmp"

	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
)

// Attached is the section "fleet.attached". It allows front ends that are not control members: each of them attaches to
// two members. The section must be the same on all front ends of a site.
type Attached struct {
	Enabled      bool    `json:"enabled"`
	HeartbeatMS  float64 `json:"heartbeat_ms"` // interval of heartbeats on a link; 250 to 10,000, default 1000
	SuspectMS    float64 `json:"suspect_ms"`   // without a heartbeat; at least 2 * HeartbeatMS, default 2500
	DeadMS       float64 `json:"dead_ms"`      // without a heartbeat; SuspectMS + HeartbeatMS to 120,000, default 4000
	MaxFrontEnds int     `json:"most"`         // including the members; at most 16,384, default 8192
}

// Attachment has the settings of the section "fleet.attached" as they apply to one front end.
type Attachment struct {
	IsAttached bool              // this front end is attached; false if it is a member
	Config     membership.Config // without the incarnation and the seed, which are chosen at start
	// MaxViewBytes is the maximum size of the complete membership view in a message.
	MaxViewBytes int
}

// Limits and defaults of the section.
const (
	defaultAttachedHeartbeatMS = 1000
	defaultAttachedSuspectMS   = 2500
	defaultAttachedDeadMS      = 4000
	// minAttachedHeartbeatMS limits the traffic of heartbeats and their responses to 4 times 0.4 KB/s for each attached
	// front end.
	minAttachedHeartbeatMS = 250
	maxAttachedHeartbeatMS = 10_000
	maxAttachedDeadMS      = 120_000
	// maxFrontEnds limits the membership view, which every front end keeps in memory: about 200 bytes per entry, 3 MB
	// in total.
	maxFrontEnds = 16_384
	// maxViewEntryBytes is the maximum size of an entry of the view in a message: three strings of up to
	// transport.MaxNameLength bytes, and numbers.
	maxViewEntryBytes = 256
)

// attachedSection creates the errors for keys of the section.
var attachedSection = section{file: installationFile, path: fleetSection.path + ".attached"}

// enabled reports whether front ends may attach.
func (a *Attached) enabled() bool { return a != nil && a.Enabled }

// withDefaults returns a copy of the section with defaults filled in.
func (a Attached) withDefaults() *Attached {
	a.HeartbeatMS = cmp.Or(a.HeartbeatMS, defaultAttachedHeartbeatMS)
	a.SuspectMS = cmp.Or(a.SuspectMS, defaultAttachedSuspectMS)
	a.DeadMS = cmp.Or(a.DeadMS, defaultAttachedDeadMS)
	a.MaxFrontEnds = cmp.Or(a.MaxFrontEnds, membership.DefaultMaxEntries)
	return &a
}

// agreedSection returns the section with defaults, in the form that goes into the settings digest; nil if no front ends
// may attach.
func (a *Attached) agreedSection() *Attached {
	if !a.enabled() {
		return nil
	}
	return a.withDefaults()
}

// check returns an error if a value is out of range. The section must have its defaults filled in.
func (a *Attached) check(members int) error {
	keyError := attachedSection.keyError
	switch minDeadMS := a.SuspectMS + a.HeartbeatMS; {
	case a.HeartbeatMS < minAttachedHeartbeatMS || a.HeartbeatMS > maxAttachedHeartbeatMS:
		return keyError("heartbeat_ms", "%g is not from %d to %d",
			a.HeartbeatMS, minAttachedHeartbeatMS, maxAttachedHeartbeatMS)
	case a.SuspectMS < 2*a.HeartbeatMS:
		return keyError("suspect_ms", "%g is below two heartbeats, %g", a.SuspectMS, 2*a.HeartbeatMS)
	case a.DeadMS < minDeadMS || a.DeadMS > maxAttachedDeadMS:
		return keyError("dead_ms", "%g is not from suspect_ms and a heartbeat, %g, to %d",
			a.DeadMS, minDeadMS, maxAttachedDeadMS)
	case a.MaxFrontEnds <= members || a.MaxFrontEnds > maxFrontEnds:
		return keyError("most", "%d is not from one above the %d members to %d: each front end holds the view of all",
			a.MaxFrontEnds, members, maxFrontEnds)
	}
	return nil
}

// attachment checks the section "fleet.attached" and returns the settings of the named front end; nil if no front ends
// may attach.
func (f *Fleet) attachment(name string, self *ownMembership) (*Attachment, error) {
	if !f.Attached.enabled() {
		if f.Zone != "" {
			return nil, fleetSection.keyError("zone",
				"stands without fleet.attached: a member's zone stands with it in fleet.members")
		}
		return nil, nil
	}
	attached := f.Attached.withDefaults()
	if err := attached.check(len(f.Members)); err != nil {
		return nil, err
	}
	if err := f.checkAttachedCombination(name, self); err != nil {
		return nil, err
	}
	members, err := f.controlMembers()
	if err != nil {
		return nil, err
	}
	return &Attachment{
		IsAttached: !self.isMember,
		Config: membership.Config{
			Name:              name,
			Zone:              self.zone,
			ControlMembers:    members,
			HeartbeatInterval: fromMilliseconds(attached.HeartbeatMS),
			SuspectAfter:      fromMilliseconds(attached.SuspectMS),
			DeadAfter:         fromMilliseconds(attached.DeadMS),
			MaxEntries:        attached.MaxFrontEnds,
		},
		MaxViewBytes: attached.MaxFrontEnds * maxViewEntryBytes,
	}, nil
}

// checkAttachedCombination returns an error if other keys of the section "fleet" cannot be combined with attached front
// ends.
func (f *Fleet) checkAttachedCombination(name string, self *ownMembership) error {
	keyError := fleetSection.keyError
	switch {
	case f.Budgets != nil:
		return keyError("budgets",
			"attached front ends would spend beside them: not both of fleet.budgets and fleet.attached")
	case self.isMember && f.Zone != "" && f.Zone != self.zone:
		return keyError("zone", "%q is not what stands with this front end in fleet.members, %q", f.Zone, self.zone)
	case len(f.Zone) > transport.MaxNameLength:
		return keyError("zone", "%d bytes are above %d", len(f.Zone), transport.MaxNameLength)
	case !self.isMember && !transport.ValidName(name):
		return keyError("attached", "the name %q is not 1 to %d letters, digits, dots, hyphens and underscores",
			name, transport.MaxNameLength)
	case !self.isMember && f.OrphanTimeoutS != 0:
		return keyError("orphan_s",
			"stands at an attached front end, which takes over no loads: it belongs to the members' files")
	case len(f.Members) == 0:
		return keyError("members", "missing: there are none to attach to")
	}
	return nil
}

// controlMembers converts the members to the type of package membership.
func (f *Fleet) controlMembers() (members []membership.ControlMember, err error) {
	for i, member := range f.Members {
		if len(member.Name) > transport.MaxNameLength || len(member.Zone) > transport.MaxNameLength {
			return nil, fleetSection.element("members", i).valueError(
				"a name or a zone above %d bytes, the most with fleet.attached", transport.MaxNameLength)
		}
		members = append(members, membership.ControlMember{Name: member.Name, Zone: member.Zone})
	}
	return members, nil
}
