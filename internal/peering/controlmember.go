package peering

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
func (p *Peering) join(cfg *config.Peers, incarnation uint64) error {
	disk := (*replication.PersistedState)(nil)
	c := cfg.Node
	c.Incarnation, c.NewID = incarnation, number
	c.Replication.ID, c.Replication.Logger = number(), raftlog.New()
	if cfg.Folder != "" {
		if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
			return fmt.Errorf("installation: fleet.folder: %w", err)
		}
		var err error
		p.store, disk, err = wal.Open(cfg.Folder, cfg.Site+"/"+cfg.Name, number)
		switch {
		case errors.Is(err, wal.ErrWrongOwner):
			return fmt.Errorf("installation: fleet.folder: %w", err)
		case err != nil: // the front end serves on; it only is no copy
			p.failed(err)
		default:
			c.Replication.ID = p.store.ReplicaID()
			if p.store.TruncatedBytes > 0 {
				slog.Warn("a write to the record's log had not come to its end and was cut off", "bytes", p.store.TruncatedBytes)
			}
			if p.store.QuarantinedPath != "" {
				p.Host.Counters.StoreErrors++
				slog.Error("the record's file could not be trusted and was set aside; this is an empty disk now", "file", p.store.QuarantinedPath)
			}
		}
	}
	p.loads = idempotency.NewRegistry(cfg.Loads)
	p.budgets = budget.NewAuthority(budget.Options{Instances: budget.MaxInstances})
	c.Replication.StateMachines = []replication.StateMachine{p.loads, p.budgets}
	if a := cfg.Attached; a != nil {
		server := a.Config
		server.Incarnation, server.Seed = incarnation, p.Seed
		c.Membership, p.byProcess = &server, map[uint64][]*inLink{}
	}
	p.node = fleet.NewNode(c, p.noted)
	p.part = p.node
	p.node.OnPeerChange = func(m *heartbeat.Peer) {
		slog.Info("front end", "name", m.Name, "state", m.State.String(), "incarnation", hex(m.Incarnation))
	}
	if err := p.node.Recover(p.Host.TurnTime, disk); err != nil && p.storeErr == nil {
		p.failed(err)
	}
	if p.storeErr != nil {
		p.node.Replica().Disable(p.storeErr)
	}
	p.copyID = c.Replication.ID
	return nil
}

// spend begins this front end's part in the fleet's budgets.
func (p *Peering) spend(cfg *config.Peers) {
	p.enforcer = enforce.New(p.Settings, p.Core)
	p.holder = budget.NewLeaseHolder(budget.LeaseHolderConfig{Name: cfg.Name, Set: cfg.Budgets, MinReportInterval: reportGap}, p.node, p.enforcer)
	p.holder.Start(p.Host.TurnTime)
}

// noted takes the record's word that something this front end waits for may have changed.
func (p *Peering) noted(about string) {
	if about != budget.NotificationTopic {
		p.records.Notify(p.Host.TurnTime, about)
	} else if p.holder != nil {
		p.holder.Notify(p.Host.TurnTime)
	}
}

// failed notes that the disk serves no more.
func (p *Peering) failed(err error) {
	p.storeErr = err
	p.Host.Counters.StoreErrors++
	slog.Error("the record's disk failed: this front end is no copy any more", "error", err)
}

// written takes the writer's word.
func (p *Peering) written(token uint64, err error) {
	if err != nil && p.storeErr == nil {
		p.failed(err)
	}
	p.node.Persisted(p.Host.TurnTime, token, err)
}

func (p *Peering) save(a replication.Save) {
	switch {
	case p.writer != nil:
		p.writer.Enqueue(a)
	case p.storeErr != nil:
		p.node.Persisted(p.Host.TurnTime, a.Token, p.storeErr)
	default: // memory is all that this copy has
		p.node.Persisted(p.Host.TurnTime, a.Token, nil)
	}
}
