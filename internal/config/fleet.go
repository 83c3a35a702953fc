package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"chutechute/fleet"
	"chutechute/fleet/budget"
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// Fleet sets how front ends work together. All of one site have the same section; each finds itself by its name, or attaches
// itself to the members where that is allowed.
type Fleet struct {
	Enabled    bool          `json:"enabled"`
	Site       string        `json:"site"`
	Members    []FleetMember `json:"members"`
	SecretFile string        `json:"secret_file"` // what proves one front end to another
	Folder     string        `json:"folder"`      // of the record, with {name} for the name; without one it is kept in memory only
	Admin      string        `json:"admin"`       // path of the operators' socket, with {name} for the name
	Copies     int           `json:"copies"`
	LedgerMB   float64       `json:"ledger_mb"`
	KeepS      float64       `json:"keep_s"`
	OrphanS    float64       `json:"orphan_s"`
	TickMS     float64       `json:"tick_ms"`
	BeatMS     float64       `json:"beat_ms"`
	SuspectMS  float64       `json:"suspect_ms"`
	DeadMS     float64       `json:"dead_ms"`
	ReplaceS   float64       `json:"replace_s"`
	Budgets    *Budgets      `json:"budgets,omitempty"`
	Attached   *Attached     `json:"attached,omitempty"`
	Zone       string        `json:"zone,omitempty"` // of a front end that is not among the members
}

// FleetMember is one front end of the site.
type FleetMember struct {
	Name    string `json:"name"`
	Address string `json:"address"` // where it listens for the others
	Zone    string `json:"zone"`
}

// Peers is the section in force for one front end.
type Peers struct {
	Site         string
	Name         string
	Zone         string
	Listen       netip.AddrPort
	Others       map[string]netip.AddrPort
	Secret       []byte
	Folder       string
	Admin        string
	Digest       []byte // of what all have to agree on
	Node         fleet.Config
	Loads        idempotency.Options
	RecordClient idempotencyclient.Config
	Budgets      *budget.Set // nil where none are set
	MostBulk     int         // bytes of one message
	Attached     *Attachment // nil where no front ends may attach
}

// Bounds and defaults of the section.
const (
	mostMembers    = 80
	mostTickMS     = 1000
	defaultLedger  = 16 // MB
	defaultTick    = 50 * time.Millisecond
	defaultBeat    = 100 * time.Millisecond
	defaultSuspect = 600 * time.Millisecond
	defaultDead    = 3 * time.Second
	defaultReplace = 10 * time.Second
	defaultOrphan  = 3 * time.Second
	keepBeyond     = 10 * monotime.Second
)

// Options is the section's word for the named front end, checked as a whole; nil where it is off. An error names the key.
func (f *Fleet) Options(name string, s *settings.Settings, memoryMB int) (*Peers, error) {
	if !f.Enabled {
		return nil, nil
	}
	fault := func(key, form string, args ...any) (*Peers, error) {
		return nil, fmt.Errorf("installation: fleet.%s: %s", key, fmt.Sprintf(form, args...))
	}
	p := &Peers{Site: f.Site, Name: name, Folder: strings.ReplaceAll(f.Folder, "{name}", name),
		Admin: strings.ReplaceAll(f.Admin, "{name}", name), Others: map[string]netip.AddrPort{}}
	zones := map[string]string{}
	if f.Site == "" {
		return fault("site", "missing")
	}
	if len(f.Members) > mostMembers {
		return fault("members", "%d are above %d: each sends heartbeats to all others, which grow with the square; further front ends attach "+
			"themselves to these, see fleet.attached", len(f.Members), mostMembers)
	}
	seen := map[string]bool{}
	for i, m := range f.Members {
		key := fmt.Sprintf("members[%d]", i)
		addr, err := netip.ParseAddrPort(m.Address)
		switch {
		case m.Name == "":
			return fault(key+".name", "missing")
		case seen[m.Name]:
			return fault(key+".name", "%q stands twice", m.Name)
		case err != nil || !addr.Addr().Is4() || addr.Port() == 0:
			return fault(key+".address", "%q is no IPv4 address with a port", m.Address)
		case !addr.Addr().IsLoopback():
			return fault(key+".address", "%s is not on loopback: links between machines have no TLS yet", m.Address)
		}
		seen[m.Name] = true
		if m.Name == name {
			p.Listen, p.Zone = addr, m.Zone
			continue
		}
		p.Others[m.Name], zones[m.Name] = addr, m.Zone
	}
	listed := seen[name]
	switch {
	case !listed && !f.Attached.on():
		return fault("members", "this front end, %q, is not among them", name)
	case !listed:
		p.Zone, p.Folder = f.Zone, "" // it keeps no record
	}
	var err error
	if p.Attached, err = f.attachment(name, p.Zone, listed); err != nil {
		return nil, err
	}
	copies := f.Copies
	if copies == 0 {
		copies = min(3, len(f.Members)-1+len(f.Members)%2)
	}
	if copies < 1 || copies%2 == 0 || copies > 7 || copies > len(f.Members) {
		return fault("copies", "%d is not odd, or not from 1 to the %d members (7 at most)", f.Copies, len(f.Members))
	}
	if f.SecretFile != "" {
		secret, err := os.ReadFile(f.SecretFile)
		if err == nil && len(bytes.TrimSpace(secret)) < 16 {
			err = fmt.Errorf("%s holds fewer than 16 bytes", f.SecretFile)
		}
		if err != nil {
			return fault("secret_file", "%v", err)
		}
		p.Secret = bytes.TrimSpace(secret)
	}
	mb := f.LedgerMB
	if mb == 0 {
		mb = min(defaultLedger, float64(memoryMB)/shares)
	}
	if mb < 1 || listed && mb > float64(memoryMB)/shares {
		return fault("ledger_mb", "%g is not from 1 to an eighth of memory_mb, %g", mb, float64(memoryMB)/shares)
	}
	span := func(key string, value, unit float64, otherwise time.Duration) monotime.Micros {
		v := monotime.Micros(value * unit)
		if value == 0 {
			v = otherwise.Microseconds()
		}
		if (value < 0 || v < 1000) && err == nil {
			_, err = fault(key, "%g is no span", value)
		}
		return v
	}
	const ms, second = 1000, 1e6
	tick := span("tick_ms", f.TickMS, ms, defaultTick)
	beat := span("beat_ms", f.BeatMS, ms, defaultBeat)
	suspect := span("suspect_ms", f.SuspectMS, ms, defaultSuspect)
	dead := span("dead_ms", f.DeadMS, ms, defaultDead)
	replace := span("replace_s", f.ReplaceS, second, defaultReplace)
	orphan := span("orphan_s", f.OrphanS, second, defaultOrphan)
	least := monotime.Micros(0) // that an outcome has to be kept: a client may repeat until it gives up, and engines drop repeats for a window
	for _, c := range s.Classes {
		if c.Effect == scheduler.IdempotentByKey {
			least = max(least, c.DedupeWindow+c.ClientTimeout)
		}
	}
	keep := span("keep_s", f.KeepS, second, time.Duration(least+keepBeyond)*time.Microsecond)
	switch {
	case err != nil:
		return nil, err
	case tick > mostTickMS*ms:
		return fault("tick_ms", "%g is above %d", f.TickMS, mostTickMS)
	case suspect < 2*beat:
		return fault("suspect_ms", "%d ms are below two heartbeats", suspect/ms)
	case dead < 2*suspect:
		return fault("dead_ms", "%d ms are below twice suspect_ms", dead/ms)
	case replace < dead:
		return fault("replace_s", "%g s are below dead_ms", float64(replace)/second)
	case keep < least:
		return fault("keep_s", "%g is below %g: a keyed class's window and give_up", float64(keep)/second, float64(least)/second)
	}
	if p.Budgets, err = f.Budgets.set(f.Members, tick, s); err != nil {
		return nil, err
	}
	agreed := *f
	agreed.Budgets = nil // of these the highest version counts
	agreed.Zone, agreed.Attached = "", f.agreedAttached()
	if agreed.Attached != nil {
		agreed.OrphanS = 0 // the members' alone
	}
	agreed.Members = nil // in any order, and each may be reached by addresses of its own
	for _, m := range f.Members {
		agreed.Members = append(agreed.Members, FleetMember{Name: m.Name, Zone: m.Zone})
	}
	slices.SortFunc(agreed.Members, func(a, b FleetMember) int { return strings.Compare(a.Name, b.Name) })
	agreed.Folder, agreed.Admin, agreed.SecretFile, agreed.Copies, agreed.LedgerMB, agreed.KeepS = "", "", "", copies, mb, float64(keep)
	text, err := json.Marshal(agreed)
	if err != nil {
		return fault("members", "%v", err)
	}
	sum := sha256.Sum256(text)
	p.Digest = sum[:8]
	p.MostBulk = int(mb*2)<<20 + 1<<20
	if p.Attached != nil {
		p.MostBulk = max(p.MostBulk, p.Attached.MostView)
	}
	p.Loads = idempotency.Options{MaxBytes: int(mb * (1 << 20)), Retention: keep, OrphanTimeout: orphan}
	p.Node = fleet.Config{Name: name, Zone: p.Zone, Zones: zones, HeartbeatInterval: beat, RetryInterval: 4 * tick,
		Heartbeat:   heartbeat.Config{SuspectAfter: suspect, DeadAfter: dead, PauseThreshold: suspect / 2},
		Replication: replication.Config{Replicas: copies, TickInterval: tick, ReplaceAfter: replace, SnapshotLogBytes: 4 << 20}}
	p.RecordClient = idempotencyclient.Config{PollInterval: 8 * tick, CommitTimeout: keep, CapacityRetryAfter: monotime.Second / 2}
	return p, nil
}

func (f *Fleet) rooted(dir string) { root(dir, []*string{&f.Folder, &f.Admin, &f.SecretFile}) }
