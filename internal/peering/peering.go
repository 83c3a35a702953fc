// Package peering connects a front end to the other front ends of its fleet. It runs a node of package fleet, which
// does no I/O itself, over TCP sockets and a write-ahead log on disk.
//
// A front end has one of two roles. A control member listens for links, dials all other control members and has a
// replica of the replicated log, which is stored on disk if a folder is configured. An attached front end has no
// listener; it dials the control members that its node chooses.
//
// A link is one TCP connection: an outbound link at the front end that dialed it, and an inbound link at the one that
// accepted it. Messages are sent over outbound links; over an inbound link they are sent to attached front ends only.
// When a link is closed, its queued messages are lost, and their senders have to repeat them.
//
// The package also serves status pages over an admin socket, and contains the hollow front ends with which the control
// traffic of a large fleet is measured without clients and engines.
//
// A Peering must be used from the goroutine of its event loop only.
package peering

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"

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

// Peering is a front end's part in its fleet: its fleet node, links and write-ahead log. A server without a configured
// fleet has a nil Peering.
type Peering struct {
	Program
	cfg         *config.Peers
	self        *transport.Identity
	jitterState uint64
	traffic     Traffic

	// The fleet node: fleetNode is whichever of the two others is not nil.
	fleetNode    fleetNode
	controlNode  *fleet.Node         // nil at an attached front end
	attachedNode *fleet.AttachedNode // nil at a control member

	// Idempotent requests and budgets. The two replicas belong to control members.
	idempotencyClient   *idempotencyclient.Client
	idempotencyRegistry *idempotency.Registry // replica of the registered requests
	budgetAuthority     *budget.Authority     // replica of the budgets and their leases
	leaseHolder         *budget.LeaseHolder   // nil if no budgets are configured
	enforcer            *enforce.Enforcer     // nil if no budgets are configured
	releasingSince      monotime.Micros       // when the release of the budget leases started; 0 if it has not

	// The storage of a control member's replica.
	store       *wal.Store
	storeWriter *wal.Writer
	storeErr    error  // the storage error that has disabled the replica
	replicaID   uint64 // the ID of the replica

	// Connections.
	outbound      map[string]*outboundLink // by the remote front end's name
	inbound       map[*inboundLink]struct{}
	listener      *linkListener
	adminListener *adminListener

	// What an attached front end has logged last.
	lastHome            string            // its home
	lastHandshakeErrors map[string]string // the latest handshake error, by control member

	attachedLinks attachedLinks // at a control member

	lastTick      monotime.Micros
	viewChangeLog viewChangeLog
}

// NewPeering returns a Peering in the role that the configuration specifies. It returns an error if a control member's
// folder cannot be created or belongs to another front end. After any other storage error the front end runs without a
// replica.
func NewPeering(program Program, cfg *config.Peers) (*Peering, error) {
	p := &Peering{
		Program:     program,
		cfg:         cfg,
		outbound:    map[string]*outboundLink{},
		inbound:     map[*inboundLink]struct{}{},
		jitterState: program.Seed | 1, // the generator needs a nonzero state
	}
	incarnation := randomID()
	if cfg.Attached != nil && cfg.Attached.IsAttached {
		p.startAttached(cfg, incarnation)
	} else if err := p.startControlMember(cfg, incarnation); err != nil {
		return nil, err
	}
	clientConfig := cfg.IdempotencyClient
	clientConfig.Incarnation = incarnation
	p.idempotencyClient = idempotencyclient.New(clientConfig, p.fleetNode, p.takeoverCore())
	p.self = p.newIdentity(incarnation)
	if p.controlNode != nil {
		for name, addr := range cfg.Members {
			p.outbound[name] = newOutboundLink(p, name, addr)
		}
	}
	if p.store != nil {
		p.storeWriter = wal.NewWriter(p.store, func(token uint64, err error) {
			p.Post(func() { p.saveCompleted(token, err) })
		})
	}
	if p.Core != nil {
		p.Core.UseIdempotencyStore(p.idempotencyClient)
	}
	if cfg.Budgets != nil {
		p.startBudgets(cfg)
	}
	p.logStart()
	return p, nil
}

// newIdentity returns the identity that this front end presents in handshakes.
func (p *Peering) newIdentity(incarnation uint64) *transport.Identity {
	return &transport.Identity{
		Site:           p.cfg.Site,
		Name:           p.cfg.Name,
		Zone:           p.cfg.Zone,
		Incarnation:    incarnation,
		ReplicaID:      p.replicaID,
		MinVersion:     transport.MinVersion,
		MaxVersion:     transport.MaxVersion,
		SettingsDigest: p.cfg.Digest,
		Attached:       p.attachedNode != nil,
	}
}

// SetNow sets the time at which the messages of this turn of the loop are handled.
func (p *Peering) SetNow(now monotime.Micros) {
	p.idempotencyClient.SetNow(now)
	if p.leaseHolder != nil {
		p.leaseHolder.SetNow(now)
	}
}

// Tick does the periodic work: link timeouts, heartbeats, lease renewals and the logging of view changes.
func (p *Peering) Tick() {
	now := p.Host.TurnTime
	if p.Draining() {
		p.fleetNode.Leave()
	}
	if p.attachedNode != nil {
		p.reconcileLinks()
	}
	p.extendTimeoutsAfterPause()
	p.tickConnections()
	p.fleetNode.Tick(now)
	p.idempotencyClient.Tick(now)
	if p.leaseHolder != nil {
		p.leaseHolder.Tick(now)
	}
	p.CarryOut()
	p.logViewChanges()
	p.checkReplica()
}

// tickConnections checks the timeouts of all connections.
func (p *Peering) tickConnections() {
	for _, l := range p.outbound {
		l.tick()
	}
	for l := range p.inbound {
		l.tick()
	}
	if p.adminListener != nil {
		p.adminListener.tick()
	}
}

// CarryOut executes the fleet node's actions until there are none left.
func (p *Peering) CarryOut() {
	for {
		actions := p.fleetNode.Actions()
		if len(actions) == 0 {
			return
		}
		for _, action := range actions {
			switch a := action.(type) {
			case fleet.Send:
				p.send(a)
			case fleet.CloseLink:
				p.closeAttachedLink(a.Link)
			case replication.Save:
				p.persist(a)
			}
		}
	}
}

// send queues a message on the link to another front end.
func (p *Peering) send(message fleet.Send) {
	if message.Incarnation != 0 {
		p.sendToAttached(message)
		return
	}
	if l := p.outbound[message.To]; l != nil { // an attached front end may have closed the link since
		l.enqueue(message)
	}
}

// randomID returns a random nonzero number of 62 bits, which is in practice unique.
func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:])>>2 | 1
}

// formatID formats an ID or a digest for status pages and the log.
func formatID(n uint64) string { return fmt.Sprintf("%016x", n) }

// withJitter returns a random duration between 0.5 and 1.5 times the given one. Each front end has its own sequence, so
// that front ends do not reconnect at the same time.
func (p *Peering) withJitter(duration monotime.Micros) monotime.Micros {
	p.jitterState ^= p.jitterState << 13
	p.jitterState ^= p.jitterState >> 7
	p.jitterState ^= p.jitterState << 17
	return duration/2 + monotime.Micros(p.jitterState%uint64(duration))
}
