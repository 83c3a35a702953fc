// Package peering connects a front end with the other front ends of its fleet: it runs a node of package fleet, which
// does no I/O, over sockets and a disk.
//
// A front end has one of two roles. A control member listens for links, dials all other control members and has a
// replica of the records, on disk where a folder is configured. An attached front end listens to nobody; it dials the
// control members that its node chooses.
//
// A link is one TCP connection. The front end that dialled it sends over its outbound link; the one that accepted
// it receives from its inbound link, and sends over that to attached front ends only. Messages are lost with their
// link: who needs a message sends it again.
//
// The package also serves the admin socket with its status pages, and has hollow front ends, which measure the cost
// of a large fleet without clients and engines.
//
// All of a Peering belongs to the goroutine of its event loop.
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

// Peering is one front end's part in its fleet: its links, its disk and its fleet node. A server has none where no
// fleet is configured.
type Peering struct {
	Program
	cfg         *config.Peers
	self        *transport.Identity
	jitterState uint64
	traffic     Traffic

	// The fleet node, by role: fleetNode is the one of the two that is not nil.
	fleetNode    fleetNode
	controlNode  *fleet.Node         // nil at an attached front end
	attachedNode *fleet.AttachedNode // nil at a control member

	// Idempotent requests and budgets.
	idempotencyClient   *idempotencyclient.Client
	idempotencyRegistry *idempotency.Registry // a control member's replica of them
	budgetAuthority     *budget.Authority     // a control member's replica of them
	leaseHolder         *budget.LeaseHolder   // nil where no budgets are configured
	enforcer            *enforce.Enforcer     // nil where no budgets are configured
	releasingSince      monotime.Micros       // when the release of the budget leases began; 0 before

	// A control member's disk.
	store       *wal.Store
	storeWriter *wal.Writer
	storeErr    error  // the error after which the disk is not used any more
	replicaID   uint64 // of the replica on this disk

	// Connections.
	outbound      map[string]*outboundLink // by the other front end's name
	inbound       map[*inboundLink]struct{}
	listener      *linkListener
	adminListener *adminListener

	// An attached front end's control members.
	lastHome     string            // the home that was logged last
	lastRefusals map[string]string // the error with which a handshake failed last, by control member

	attachedLinks attachedLinks // of a control member

	lastTick      monotime.Micros
	viewChangeLog viewChangeLog
}

// NewPeering builds a front end's part in a fleet, in the role that its configuration gives it. It returns an error
// where a control member's folder cannot be created or belongs to another front end; after any other storage error
// the front end serves without a replica.
func NewPeering(program Program, cfg *config.Peers) (*Peering, error) {
	p := &Peering{
		Program:     program,
		cfg:         cfg,
		outbound:    map[string]*outboundLink{},
		inbound:     map[*inboundLink]struct{}{},
		jitterState: program.Seed | 1, // the generator needs a state other than zero
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

// newIdentity returns what this front end says of itself in handshakes.
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

// SetNow sets the time for the messages of this turn of the loop.
func (p *Peering) SetNow(now monotime.Micros) {
	p.idempotencyClient.SetNow(now)
	if p.leaseHolder != nil {
		p.leaseHolder.SetNow(now)
	}
}

// Tick handles all that time alone changes: timeouts of links, heartbeats, leases and what is to be logged of the view.
func (p *Peering) Tick() {
	now := p.Host.TurnTime
	if p.Draining() {
		p.fleetNode.Leave()
	}
	if p.attachedNode != nil {
		p.reconcileLinks()
	}
	p.excusePause()
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

// CarryOut carries out the fleet node's actions, until it has none left.
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

// send sends a message over the link with another front end.
func (p *Peering) send(message fleet.Send) {
	if message.Incarnation != 0 {
		p.sendToAttached(message)
		return
	}
	if l := p.outbound[message.To]; l != nil { // an attached front end may have closed it in the meantime
		l.enqueue(message)
	}
}

// randomID returns a random number of 62 bits, never zero, that no process has drawn before.
func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.BigEndian.Uint64(b[:])>>2 | 1
}

// formatID returns an ID or a digest as status pages and the log show it.
func formatID(n uint64) string { return fmt.Sprintf("%016x", n) }

// withJitter returns a random duration from half to one and a half of a duration. The sequence differs from process to
// process, so that front ends do not reconnect in step.
func (p *Peering) withJitter(duration monotime.Micros) monotime.Micros {
	p.jitterState ^= p.jitterState << 13
	p.jitterState ^= p.jitterState >> 7
	p.jitterState ^= p.jitterState << 17
	return duration/2 + monotime.Micros(p.jitterState%uint64(duration))
}
