package config

import (
	"fmt"
	"time"

	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// Attached allows front ends that are not among the members: each attaches itself to two of them. All of a site have it alike.
type Attached struct {
	Enabled     bool    `json:"enabled"`
	HeartbeatMS float64 `json:"heartbeat_ms"` // between two heartbeats of an attached front end
	SuspectMS   float64 `json:"suspect_ms"`   // of silence
	DeadMS      float64 `json:"dead_ms"`      // of silence
	Most        int     `json:"most"`         // front ends of both roles that there may ever be at a time
}

// Attachment is the section in force for one front end.
type Attachment struct {
	Here   bool              // this front end is an attached one, and no member
	Config membership.Config // but for the incarnation and the seed, which are the process's
	// MostView is the most bytes that the whole view takes in a message.
	MostView int
}

// Bounds and defaults of the section. Times are in milliseconds.
const (
	defaultAttachedBeat    = 1000
	defaultAttachedSuspect = 2500
	defaultAttachedDead    = 4000
	// leastAttachedBeat bounds what two heartbeats and their answers cost an attached front end: 4 times 0.4 KB/s.
	leastAttachedBeat = 250
	mostAttachedBeat  = 10_000
	mostAttachedDead  = 120_000
	// mostAttached bounds the view, which each front end holds whole: some 200 bytes an entry, 3 MB.
	mostAttached = 16_384
	// mostEntry is the most bytes that an entry of the view takes in a message: three texts of transport.MaxNameLength, and numbers.
	mostEntry = 256
)

// on says whether front ends may attach.
func (a *Attached) on() bool { return a != nil && a.Enabled }

// filled is the section with its defaults.
func (a Attached) filled() Attached {
	fill := func(value *float64, otherwise float64) {
		if *value == 0 {
			*value = otherwise
		}
	}
	fill(&a.HeartbeatMS, defaultAttachedBeat)
	fill(&a.SuspectMS, defaultAttachedSuspect)
	fill(&a.DeadMS, defaultAttachedDead)
	if a.Most == 0 {
		a.Most = membership.DefaultMaxEntries
	}
	return a
}

// check names the faulty key of a section that has its defaults.
func (a *Attached) check(members int) (key string, err error) {
	switch {
	case a.HeartbeatMS < leastAttachedBeat || a.HeartbeatMS > mostAttachedBeat:
		return "heartbeat_ms", fmt.Errorf("%g is not from %d to %d", a.HeartbeatMS, leastAttachedBeat, mostAttachedBeat)
	case a.SuspectMS < 2*a.HeartbeatMS:
		return "suspect_ms", fmt.Errorf("%g is below two heartbeats, %g", a.SuspectMS, 2*a.HeartbeatMS)
	case a.DeadMS < a.SuspectMS+a.HeartbeatMS || a.DeadMS > mostAttachedDead:
		return "dead_ms", fmt.Errorf("%g is not from suspect_ms and a heartbeat, %g, to %d", a.DeadMS, a.SuspectMS+a.HeartbeatMS, mostAttachedDead)
	case a.Most <= members || a.Most > mostAttached:
		return "most", fmt.Errorf("%d is not from one above the %d members to %d: each front end holds the view of all", a.Most, members, mostAttached)
	}
	return "", nil
}

// attachment is the section's word for the named front end; nil where no front ends may attach. An error names the key.
func (f *Fleet) attachment(name, zone string, listed bool) (*Attachment, error) {
	fault := func(key, form string, args ...any) (*Attachment, error) {
		return nil, fmt.Errorf("installation: fleet.%s: %s", key, fmt.Sprintf(form, args...))
	}
	if !f.Attached.on() {
		if f.Zone != "" {
			return fault("zone", "stands without fleet.attached: a member's zone stands with it in fleet.members")
		}
		return nil, nil
	}
	set := f.Attached.filled()
	if key, err := set.check(len(f.Members)); err != nil {
		return fault("attached."+key, "%v", err)
	}
	switch {
	case f.Budgets != nil:
		return fault("budgets", "attached front ends would spend beside them: not both of fleet.budgets and fleet.attached")
	case listed && f.Zone != "" && f.Zone != zone:
		return fault("zone", "%q is not what stands with this front end in fleet.members, %q", f.Zone, zone)
	case len(f.Zone) > transport.MaxNameLength:
		return fault("zone", "%d bytes are above %d", len(f.Zone), transport.MaxNameLength)
	case !listed && !transport.ValidName(name):
		return fault("attached", "the name %q is not 1 to %d letters, digits, dots, hyphens and underscores", name, transport.MaxNameLength)
	case !listed && f.OrphanS != 0:
		return fault("orphan_s", "stands at an attached front end, which takes over no loads: it belongs to the members' files")
	case len(f.Members) == 0:
		return fault("members", "missing: there are none to attach to")
	}
	micros := func(ms float64) monotime.Micros {
		return monotime.Micros(ms * float64(time.Millisecond/time.Microsecond))
	}
	cfg := membership.Config{Name: name, Zone: zone, HeartbeatInterval: micros(set.HeartbeatMS), SuspectAfter: micros(set.SuspectMS),
		DeadAfter: micros(set.DeadMS), MaxEntries: set.Most}
	for i, m := range f.Members {
		if len(m.Name) > transport.MaxNameLength || len(m.Zone) > transport.MaxNameLength {
			return fault(fmt.Sprintf("members[%d]", i), "a name or a zone above %d bytes, the most with fleet.attached", transport.MaxNameLength)
		}
		cfg.ControlMembers = append(cfg.ControlMembers, membership.ControlMember{Name: m.Name, Zone: m.Zone})
	}
	return &Attachment{Here: !listed, Config: cfg, MostView: set.Most * mostEntry}, nil
}

// agreedAttached is the section as all front ends of a site have to have it; nil where no front ends may attach.
func (f *Fleet) agreedAttached() *Attached {
	if !f.Attached.on() {
		return nil
	}
	set := f.Attached.filled()
	return &set
}
