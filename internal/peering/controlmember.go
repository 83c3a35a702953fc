package peering

import (
	"chutechute/fleet"
	"chutechute/fleet/budget"
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/internal/config"
	"chutechute/internal/raftlog"
)

// startControlMember creates a control member's fleet node with its write-ahead log, its replica, and the membership
// server if front ends may attach.
func (p *Peering) startControlMember(cfg *config.Peers, incarnation uint64) error {
	c := cfg.Node
	c.Incarnation, c.NewID = incarnation, randomID
	c.Replication.ID, c.Replication.Logger = randomID(), raftlog.New()
	persisted, err := p.openStore(cfg)
	if err != nil {
		return err
	}
	if p.store != nil && p.storeErr == nil {
		c.Replication.ID = p.store.ReplicaID()
	}
	p.idempotencyRegistry = idempotency.NewRegistry(cfg.Idempotency)
	p.budgetAuthority = budget.NewAuthority(budget.Options{MaxSubjects: budget.MaxSubjects})
	c.Replication.StateMachines = []replication.StateMachine{p.idempotencyRegistry, p.budgetAuthority}
	if cfg.Attached != nil {
		server := cfg.Attached.Config
		server.Incarnation, server.Seed = incarnation, p.Seed
		c.Membership = &server
		p.attachedLinks.byIncarnation = map[uint64][]*inboundLink{}
	}
	p.controlNode = fleet.NewNode(c, p.handleNotification)
	p.fleetNode = p.controlNode
	p.controlNode.OnPeerChange = logPeerChange
	if err := p.controlNode.Recover(p.Host.TurnTime, persisted); err != nil && p.storeErr == nil {
		p.storageFailed(err)
	}
	if p.storeErr != nil {
		p.controlNode.Replica().Disable(p.storeErr)
	}
	p.replicaID = c.Replication.ID
	return nil
}

func logPeerChange(peer *heartbeat.Peer) {
	logStateChange(peer.Name, membership.Control, peer.State.String(), peer.Incarnation, "")
}

// handleNotification notifies the client that waits for a topic that its replicated state may have changed.
func (p *Peering) handleNotification(topic string) {
	if topic != budget.NotificationTopic {
		p.idempotencyClient.Notify(p.Host.TurnTime, topic)
	} else if p.leaseHolder != nil {
		p.leaseHolder.Notify(p.Host.TurnTime)
	}
}
