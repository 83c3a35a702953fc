package peering

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"

	"chutechute/fleet"
	"chutechute/fleet/budget"
	"chutechute/fleet/budget/enforce"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/replication"
	"chutechute/fleet/replication/wal"
	"chutechute/fleet/transport"
	"chutechute/internal/config"
	"chutechute/internal/monotime"
)

// Peering is this front end among others: the links, the disk and the stepped module between them. The server has none where
// no fleet is set.
type Peering struct {
	Program
	cfg      *config.Peers
	self     *transport.Identity
	part     part                // node or attached
	node     *fleet.Node         // a control member's part; nil at an attached front end
	attached *fleet.AttachedNode // an attached front end's part; nil at a control member
	records  *idempotencyclient.Client
	loads    *idempotency.Registry
	budgets  *budget.Authority
	holder   *budget.LeaseHolder // nil where no budgets are set
	enforcer *enforce.Enforcer
	store    *wal.Store
	writer   *wal.Writer
	storeErr error
	out      map[string]*outLink
	in       map[*inLink]struct{}
	listener *peerListener
	admin    *adminListener
	jitter   uint64
	traffic  Traffic
	leaving  monotime.Micros // since when this front end gives back what it may spend; 0 before
	copyID   uint64          // the number of this control member's disk

	home       string               // the control member that an attached front end has its view from
	refused    map[string]string    // why hellos of an attached front end failed last, by control member
	byProcess  map[uint64][]*inLink // links of attached front ends, the newest last; nil where none may attach
	attachedIn int                  // how many these are
	queued     int                  // bytes that wait for them
	ticked     monotime.Micros      // the last tick
	viewLog    viewLog
}

// number draws a number that was never used: 62 bits, never zero.
func number() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.BigEndian.Uint64(b[:])>>2 | 1
}

// NewPeering builds this front end's part in a fleet, in the role that the settings give it.
func NewPeering(of Program, cfg *config.Peers) (*Peering, error) {
	p := &Peering{Program: of, cfg: cfg, out: map[string]*outLink{}, in: map[*inLink]struct{}{}, jitter: of.Seed | 1}
	incarnation := number()
	if a := cfg.Attached; a != nil && a.Here {
		p.attach(cfg, incarnation)
	} else if err := p.join(cfg, incarnation); err != nil {
		return nil, err
	}
	v := cfg.RecordClient
	v.Incarnation = incarnation
	p.records = idempotencyclient.New(v, p.part, p.successor())
	p.self = &transport.Identity{Site: cfg.Site, Name: cfg.Name, Zone: cfg.Zone, Incarnation: incarnation, ReplicaID: p.copyID,
		MinVersion: transport.MinVersion, MaxVersion: transport.MaxVersion, SettingsDigest: cfg.Digest, Attached: p.attached != nil}
	if p.node != nil {
		for name, addr := range cfg.Others {
			p.out[name] = newOutLink(p, name, addr)
		}
	}
	if p.store != nil {
		p.writer = wal.NewWriter(p.store, func(token uint64, err error) {
			p.Post(func() { p.written(token, err) })
		})
	}
	if p.Core != nil {
		p.Core.UseIdempotencyStore(p.records)
	}
	if cfg.Budgets != nil {
		p.spend(cfg)
	}
	if p.attached != nil {
		slog.Info("fleet", "site", cfg.Site, "name", cfg.Name, "incarnation", hex(incarnation), "role", "attached", "zone", cfg.Zone)
		return p, nil
	}
	slog.Info("fleet", "site", cfg.Site, "name", cfg.Name, "incarnation", hex(incarnation), "copy", hex(p.copyID),
		"folder", cfg.Folder)
	return p, nil
}

// reportGap is the least span between two reports of what this front end wants of the budgets.
const reportGap = 20 * monotime.Millisecond

func hex(n uint64) string { return fmt.Sprintf("%016x", n) }

// Listen opens the door for the others, where this is a control member, and the operators'.
func (p *Peering) Listen() (err error) {
	if p.attached != nil {
		return p.listenAdmin()
	}
	if p.listener, err = newPeerListener(p); err != nil {
		return err
	}
	return p.listenAdmin()
}

func (p *Peering) listenAdmin() (err error) {
	if p.cfg.Admin != "" {
		p.admin, err = newAdminListener(p)
	}
	return err
}

// SetNow sets the time for what comes in this turn of the loop.
func (p *Peering) SetNow(now monotime.Micros) {
	p.records.SetNow(now)
	if p.holder != nil {
		p.holder.SetNow(now)
	}
}

// Tick lets time pass.
func (p *Peering) Tick() {
	now := p.Host.TurnTime
	if p.Draining() {
		p.part.Leave()
	}
	if p.attached != nil {
		p.follow()
	}
	p.resumed()
	for _, l := range p.out {
		l.tick()
	}
	for l := range p.in {
		l.tick()
	}
	if p.admin != nil {
		p.admin.tick()
	}
	p.part.Tick(now)
	p.records.Tick(now)
	if p.holder != nil {
		p.holder.Tick(now)
	}
	p.CarryOut()
	p.logView()
	if p.node == nil {
		return
	}
	if err := p.node.Replica().Err(); err != nil && p.storeErr == nil {
		p.failed(err)
	}
}

// CarryOut carries out what the part wants, until it wants nothing more.
func (p *Peering) CarryOut() {
	for {
		list := p.part.Actions()
		if len(list) == 0 {
			return
		}
		for _, a := range list {
			switch a := a.(type) {
			case fleet.Send:
				p.tell(a)
			case fleet.CloseLink:
				p.closeAttached(a.Link)
			case replication.Save:
				p.save(a)
			}
		}
	}
}

// tell sends a message over the link to another front end.
func (p *Peering) tell(t fleet.Send) {
	if t.Incarnation != 0 {
		p.pushAttached(t)
	} else if l := p.out[t.To]; l != nil { // an attached front end may have given it up meanwhile
		l.push(t)
	}
}

// leaveWait bounds how long a planned end waits for the record to take back what this front end may spend.
const leaveWait = 300 * monotime.Millisecond

// Released says whether this front end may end, once nothing is open: what it may spend was given back, so that others have it at
// once, or that takes too long.
func (p *Peering) Released() bool {
	if p.holder == nil {
		return true
	}
	if p.leaving == 0 {
		p.leaving = p.Host.TurnTime
		p.holder.Release(p.Host.TurnTime)
	}
	return p.holder.Released() || p.Host.TurnTime-p.leaving >= leaveWait
}

// Reload puts other budgets into force.
func (p *Peering) Reload(cfg *config.Peers) {
	if p != nil && cfg != nil && (p.cfg.Attached != nil || cfg.Attached != nil) && !bytes.Equal(p.cfg.Digest, cfg.Digest) {
		slog.Warn("reload: what all front ends of the fleet agree on takes effect at the next start")
	}
	switch {
	case p == nil || cfg == nil:
	case p.holder != nil && cfg.Budgets != nil:
		p.cfg.Budgets = cfg.Budgets
		p.holder.Reload(p.Host.TurnTime, cfg.Budgets)
	case (p.holder != nil) != (cfg.Budgets != nil):
		slog.Warn("reload: fleet.budgets is taken in or out at the next start; an empty list takes all budgets out")
	}
}

// Close writes what is queued, before a planned end.
func (p *Peering) Close() {
	if p.writer != nil {
		if err := p.writer.Close(); err != nil {
			slog.Warn("the record's file", "error", err)
		}
	}
	if p.admin != nil {
		p.admin.close()
	}
}

// spread draws from a sequence that differs from process to process: a span from half to one and a half.
func (p *Peering) spread(span monotime.Micros) monotime.Micros {
	p.jitter ^= p.jitter << 13
	p.jitter ^= p.jitter >> 7
	p.jitter ^= p.jitter << 17
	return span/2 + monotime.Micros(p.jitter%uint64(span))
}
