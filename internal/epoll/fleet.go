package epoll

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"chutechute/budget"
	"chutechute/budget/enforce"
	"chutechute/fleet"
	"chutechute/internal/config"
	"chutechute/internal/raftlog"
	"chutechute/ledger"
	"chutechute/ledger/loads"
	"chutechute/ledger/store"
	"chutechute/member"
	"chutechute/peer"
	"chutechute/recordclient"
)

// peers is this front end among others: the links, the disk and the stepped module between them. The server has none where
// no fleet is set.
type peers struct {
	program
	cfg      *config.Peers
	self     *peer.Identity
	node     *fleet.Node
	records  *recordclient.Client
	loads    *loads.Loads
	budgets  *budget.Authority
	holder   *budget.Holder // nil where no budgets are set
	enforcer *enforce.Enforcer
	store    *store.Store
	writer   *store.Writer
	storeErr error
	out      map[string]*outLink
	in       map[*inLink]struct{}
	listener *peerListener
	admin    *adminListener
	jitter   uint64
	traffic  Traffic
	leaving  Micros // since when this front end gives back what it may spend; 0 before
}

// number draws a number that was never used: 62 bits, never zero.
func number() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.BigEndian.Uint64(b[:])>>2 | 1
}

func newPeers(of program, cfg *config.Peers) (*peers, error) {
	p := &peers{program: of, cfg: cfg, out: map[string]*outLink{}, in: map[*inLink]struct{}{}, jitter: of.seed | 1}
	incarnation, disk := number(), (*ledger.Disk)(nil)
	c := cfg.Node
	c.Incarnation, c.Number = incarnation, number
	c.Copies.ID, c.Copies.Logger = number(), raftlog.New()
	if cfg.Folder != "" {
		if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
			return nil, fmt.Errorf("installation: fleet.folder: %w", err)
		}
		var err error
		p.store, disk, err = store.Open(cfg.Folder, cfg.Site+"/"+cfg.Name, number)
		switch {
		case errors.Is(err, store.ErrForeign):
			return nil, fmt.Errorf("installation: fleet.folder: %w", err)
		case err != nil: // the front end serves on; it only is no copy
			p.failed(err)
		default:
			c.Copies.ID = p.store.Number()
			if p.store.Cut > 0 {
				slog.Warn("a write to the record's log had not come to its end and was cut off", "bytes", p.store.Cut)
			}
			if p.store.SetAside != "" {
				p.host.count.StoreErrors++
				slog.Error("the record's file could not be trusted and was set aside; this is an empty disk now", "file", p.store.SetAside)
			}
		}
	}
	p.loads = loads.New(cfg.Loads)
	p.budgets = budget.NewAuthority(budget.Options{Instances: budget.MostInstances})
	c.Copies.Kinds = []ledger.Kind{p.loads, p.budgets}
	p.node = fleet.New(c, func(about string) {
		if about != budget.About {
			p.records.Note(p.host.now, about)
		} else if p.holder != nil {
			p.holder.Note(p.host.now)
		}
	})
	p.node.Changed = func(m *member.Member) {
		slog.Info("front end", "name", m.Name, "state", m.State.String(), "incarnation", hex(m.Incarnation))
	}
	if err := p.node.Open(p.host.now, disk); err != nil && p.storeErr == nil {
		p.failed(err)
	}
	if p.storeErr != nil {
		p.node.Replica().Disable(p.storeErr)
	}
	v := cfg.RecordClient
	v.Incarnation = incarnation
	p.records = recordclient.New(v, p.node, p.successor())
	p.self = &peer.Identity{Site: cfg.Site, Name: cfg.Name, Zone: cfg.Zone, Incarnation: incarnation, Copy: c.Copies.ID,
		Oldest: peer.OldestVersion, Newest: peer.NewestVersion, Settings: cfg.Digest}
	for name, addr := range cfg.Others {
		p.out[name] = newOutLink(p, name, addr)
	}
	if p.store != nil {
		p.writer = store.NewWriter(p.store, func(token uint64, err error) {
			p.post(func() { p.written(token, err) })
		})
	}
	if p.core != nil {
		p.core.UseRecord(p.records)
	}
	if cfg.Budgets != nil {
		p.enforcer = enforce.New(p.settings, p.core)
		p.holder = budget.NewHolder(budget.HolderConfig{Name: cfg.Name, Set: cfg.Budgets, Gap: reportGap}, p.node, p.enforcer)
		p.holder.Begin(p.host.now)
	}
	slog.Info("fleet", "site", cfg.Site, "name", cfg.Name, "incarnation", hex(incarnation), "copy", hex(c.Copies.ID),
		"folder", cfg.Folder)
	return p, nil
}

// reportGap is the least span between two reports of what this front end wants of the budgets.
const reportGap = 20 * ms

func hex(n uint64) string { return fmt.Sprintf("%016x", n) }

// failed notes that the disk serves no more.
func (p *peers) failed(err error) {
	p.storeErr = err
	p.host.count.StoreErrors++
	slog.Error("the record's disk failed: this front end is no copy any more", "error", err)
}

// written takes the writer's word.
func (p *peers) written(token uint64, err error) {
	if err != nil && p.storeErr == nil {
		p.failed(err)
	}
	p.node.Stored(p.host.now, token, err)
}

// listen opens the door for the others, and the operators'.
func (p *peers) listen() (err error) {
	if p.listener, err = newPeerListener(p); err != nil {
		return err
	}
	if p.cfg.Admin != "" {
		p.admin, err = newAdminListener(p)
	}
	return err
}

// at sets the time for what comes in this turn of the loop.
func (p *peers) at(now Micros) {
	p.records.At(now)
	if p.holder != nil {
		p.holder.At(now)
	}
}

// tick lets time pass.
func (p *peers) tick() {
	now := p.host.now
	if p.draining() {
		p.node.Leave()
	}
	for _, l := range p.out {
		l.tick()
	}
	for l := range p.in {
		l.tick()
	}
	if p.admin != nil {
		p.admin.tick()
	}
	p.node.Tick(now)
	p.records.Tick(now)
	if p.holder != nil {
		p.holder.Tick(now)
	}
	p.pump()
	if err := p.node.Replica().Err(); err != nil && p.storeErr == nil {
		p.failed(err)
	}
}

// pump carries out what the node wants, until it wants nothing more.
func (p *peers) pump() {
	for {
		list := p.node.Actions()
		if len(list) == 0 {
			return
		}
		for _, a := range list {
			switch a := a.(type) {
			case fleet.Tell:
				p.out[a.To].push(a)
			case ledger.Save:
				p.save(a)
			}
		}
	}
}

func (p *peers) save(a ledger.Save) {
	switch {
	case p.writer != nil:
		p.writer.Add(a)
	case p.storeErr != nil:
		p.node.Stored(p.host.now, a.Token, p.storeErr)
	default: // memory is all that this copy has
		p.node.Stored(p.host.now, a.Token, nil)
	}
}

// leaveWait bounds how long a planned end waits for the record to take back what this front end may spend.
const leaveWait = 300 * ms

// left says whether this front end may end, once nothing is open: what it may spend was given back, so that others have it at
// once, or that takes too long.
func (p *peers) left() bool {
	if p.holder == nil {
		return true
	}
	if p.leaving == 0 {
		p.leaving = p.host.now
		p.holder.Leave(p.host.now)
	}
	return p.holder.Left() || p.host.now-p.leaving >= leaveWait
}

// reload puts other budgets into force.
func (p *peers) reload(cfg *config.Peers) {
	switch {
	case p == nil || cfg == nil:
	case p.holder != nil && cfg.Budgets != nil:
		p.cfg.Budgets = cfg.Budgets
		p.holder.Reload(p.host.now, cfg.Budgets)
	case (p.holder != nil) != (cfg.Budgets != nil):
		slog.Warn("reload: fleet.budgets is taken in or out at the next start; an empty list takes all budgets out")
	}
}

// close writes what is queued, before a planned end.
func (p *peers) close() {
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
func (p *peers) spread(span Micros) Micros {
	p.jitter ^= p.jitter << 13
	p.jitter ^= p.jitter >> 7
	p.jitter ^= p.jitter << 17
	return span/2 + Micros(p.jitter%uint64(span))
}
