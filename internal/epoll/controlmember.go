package epoll

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"chutechute/fleet"
	"chutechute/fleet/budget"
	"chutechute/fleet/budget/enforce"
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/replication"
	"chutechute/fleet/replication/wal"
	"chutechute/internal/config"
	"chutechute/internal/raftlog"
)

// join builds a control member's part: its disk, its copy of the record, and what serves those that attach to it.
func (p *peers) join(cfg *config.Peers, incarnation uint64) error {
	disk := (*replication.Disk)(nil)
	c := cfg.Node
	c.Incarnation, c.Number = incarnation, number
	c.Copies.ID, c.Copies.Logger = number(), raftlog.New()
	if cfg.Folder != "" {
		if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
			return fmt.Errorf("installation: fleet.folder: %w", err)
		}
		var err error
		p.store, disk, err = wal.Open(cfg.Folder, cfg.Site+"/"+cfg.Name, number)
		switch {
		case errors.Is(err, wal.ErrForeign):
			return fmt.Errorf("installation: fleet.folder: %w", err)
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
	p.loads = idempotency.New(cfg.Loads)
	p.budgets = budget.NewAuthority(budget.Options{Instances: budget.MostInstances})
	c.Copies.Kinds = []replication.Kind{p.loads, p.budgets}
	if a := cfg.Attached; a != nil {
		server := a.Config
		server.Incarnation, server.Seed = incarnation, p.seed
		c.Attach, p.byProcess = &server, map[uint64][]*inLink{}
	}
	p.node = fleet.New(c, p.noted)
	p.part = p.node
	p.node.Changed = func(m *heartbeat.Member) {
		slog.Info("front end", "name", m.Name, "state", m.State.String(), "incarnation", hex(m.Incarnation))
	}
	if err := p.node.Open(p.host.now, disk); err != nil && p.storeErr == nil {
		p.failed(err)
	}
	if p.storeErr != nil {
		p.node.Replica().Disable(p.storeErr)
	}
	p.copyID = c.Copies.ID
	return nil
}

// spend begins this front end's part in the fleet's budgets.
func (p *peers) spend(cfg *config.Peers) {
	p.enforcer = enforce.New(p.settings, p.core)
	p.holder = budget.NewHolder(budget.HolderConfig{Name: cfg.Name, Set: cfg.Budgets, Gap: reportGap}, p.node, p.enforcer)
	p.holder.Begin(p.host.now)
}

// noted takes the record's word that something this front end waits for may have changed.
func (p *peers) noted(about string) {
	if about != budget.About {
		p.records.Note(p.host.now, about)
	} else if p.holder != nil {
		p.holder.Note(p.host.now)
	}
}

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

func (p *peers) save(a replication.Save) {
	switch {
	case p.writer != nil:
		p.writer.Add(a)
	case p.storeErr != nil:
		p.node.Stored(p.host.now, a.Token, p.storeErr)
	default: // memory is all that this copy has
		p.node.Stored(p.host.now, a.Token, nil)
	}
}
