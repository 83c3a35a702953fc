package fleet

import (
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// Config configures a control member.
type Config struct {
	Name              string
	Zone              string
	Incarnation       uint64            // of this process
	PeerZones         map[string]string // of the other control members, by name
	Heartbeat         heartbeat.Config
	Replication       replication.Config // its ID is the number of this front end's disk
	HeartbeatInterval monotime.Micros
	// RetryInterval is the unit of the delays after which a proposal without a response is sent again: a quarter of it
	// if the proposal has to go to another front end by now, four times it otherwise.
	RetryInterval monotime.Micros
	Membership    *membership.Config // of the front ends that attach to this control member; nil if none may
	// NewID returns a number that was never used, for a new replicated log.
	NewID func() uint64
}

// Node is a control member of a fleet.
type Node struct {
	cfg     Config
	monitor *heartbeat.Monitor
	replica *replication.Replica
	// lastHeartbeats is the last heartbeat of each other control member, by name.
	lastHeartbeats   map[string]*controlHeartbeat
	nextHeartbeat    monotime.Micros
	pendingBootstrap []byte // the bootstrap message, which is sent again until there is a leader; nil otherwise
	leaving          bool

	proposals   proposals
	leaderRoute leaderRoute
	notify      func(topic string)

	server         *membership.Server         // nil if no front ends may attach
	linked         map[uint64]linkedFrontEnd  // attached front ends with links to this one, by incarnation
	controlMembers []membership.ControlMember // as of the last tick

	actions []Action
	now     monotime.Micros

	// Relayed counts the messages that were also sent by way of a third front end.
	Relayed int
	// Forwarded counts the proposals of attached front ends that were passed on to the leader.
	Forwarded int
	// Undeliverable counts the messages from or for attached front ends that were dropped for want of a route.
	Undeliverable int
	// OnPeerChange is called when the state of another control member changes.
	OnPeerChange func(*heartbeat.Peer)
}

// NewNode returns a control member. It calls notify with a topic when what this front end waits for under that
// topic may have changed.
func NewNode(cfg Config, notify func(topic string)) *Node {
	n := &Node{
		cfg:            cfg,
		monitor:        heartbeat.NewMonitor(cfg.Heartbeat, cfg.PeerZones),
		replica:        replication.New(cfg.Replication),
		lastHeartbeats: map[string]*controlHeartbeat{},
		notify:         notify,
		OnPeerChange:   func(*heartbeat.Peer) {},
	}
	n.leaderRoute = leaderRoute{node: n}
	n.proposals = newProposals(&n.leaderRoute, cfg.Incarnation, cfg.RetryInterval)
	if cfg.Membership != nil {
		n.server = membership.NewServer(*cfg.Membership)
		n.linked = map[uint64]linkedFrontEnd{}
	}
	return n
}

// Recover continues with the state that was read from this front end's disk; nil is an empty disk.
func (n *Node) Recover(now monotime.Micros, state *replication.PersistedState) error {
	n.now = now
	return n.replica.Recover(now, state)
}

// Replica returns this front end's replica of the log, which may be no member of it.
func (n *Node) Replica() *replication.Replica { return n.replica }

// Monitor returns the failure detector of the other control members.
func (n *Node) Monitor() *heartbeat.Monitor { return n.monitor }

// Leave has the next heartbeats announce that this front end leaves the fleet.
func (n *Node) Leave() { n.leaving = true }

// Actions returns the actions to carry out, and forgets them.
func (n *Node) Actions() []Action {
	n.collectActions()
	actions := n.actions
	n.actions = nil
	return actions
}

// Propose proposes a command for the state machine with the number kind, in a version of its commands, to the
// replicated log. It calls done once with the response, from Receive, Tick, Persisted or Actions, but not after
// Cancel. A proposal that was canceled may still be committed.
func (n *Node) Propose(
	now monotime.Micros, kind, version uint32, body []byte, done func(replication.Response),
) (id uint64) {
	n.now = now
	return n.proposals.add(now, kind, version, body, done)
}

// Cancel stops waiting for the response to a proposal.
func (n *Node) Cancel(id uint64) { n.proposals.remove(id) }

// Proposals returns the number of proposals that this front end has made.
func (n *Node) Proposals() int { return int(n.proposals.lastID) }

// Receive handles a message that arrived over a link. After an error the link is to be closed: the message is
// malformed, or one that the remote side's role does not allow.
func (n *Node) Receive(now monotime.Micros, l Link, kind transport.Kind, body []byte) error {
	n.now = now
	if l.Attached {
		return n.receiveFromAttached(l, kind, body)
	}
	switch kind {
	case transport.ControlHeartbeat:
		return n.receiveHeartbeat(l, body)
	case transport.Replication:
		return n.receiveReplication(body)
	case transport.Bootstrap:
		return n.receiveBootstrap(body)
	case transport.Relay:
		return n.receiveRelay(l, body)
	}
	if err := n.receiveRequest(l, kind, body); err != nil {
		return err
	}
	n.collectActions()
	return nil
}

// receiveRequest handles a message about proposals or attached front ends from a control member.
func (n *Node) receiveRequest(l Link, kind transport.Kind, body []byte) error {
	switch kind {
	case transport.Proposal:
		return n.receiveProposal(l, body)
	case transport.Response:
		return n.receiveResponse(body)
	case transport.Notification:
		n.notify(string(body))
		return nil
	}
	return n.receiveMembership(l, kind, body)
}

// receiveProposal handles a proposal of another control member. One in the name of another process is ignored.
func (n *Node) receiveProposal(l Link, body []byte) error {
	command, err := replication.DecodeCommand(body)
	if err != nil {
		return err
	}
	if uint64(command.Proposer) == l.Incarnation {
		n.replica.Propose(n.now, command)
	}
	return nil
}

// receiveResponse handles the response to a proposal of this front end.
func (n *Node) receiveResponse(body []byte) error {
	response, err := replication.DecodeResponse(body)
	if err != nil {
		return err
	}
	n.proposals.receive(n.now, response)
	return nil
}

func (n *Node) receiveReplication(body []byte) error {
	m, err := decodeReplicationMessage(body)
	if err != nil {
		return err
	}
	return n.replica.Receive(n.now, m.Group, m.Message)
}

// SendFailed records that messages to a front end may not arrive.
func (n *Node) SendFailed(name string) {
	if last := n.lastHeartbeats[name]; last != nil && last.ReplicaID != 0 {
		n.replica.ReportUnreachable(last.ReplicaID)
	}
}

// Persisted records that a replication.Save was written, or the error that prevented it.
func (n *Node) Persisted(now monotime.Micros, token uint64, err error) {
	n.now = now
	n.replica.Persisted(now, token, err)
	n.collectActions()
}

// Next returns the time at which Tick has to be called at the latest.
func (n *Node) Next() monotime.Micros {
	next := min(n.nextHeartbeat, n.now+n.cfg.Replication.TickInterval)
	if n.server != nil {
		next = min(next, n.now+membership.DefaultBatchDelay)
	}
	return next
}

// Tick moves the clock to now and does what is due.
func (n *Node) Tick(now monotime.Micros) {
	n.now = now
	for _, peer := range n.monitor.Tick(now) {
		n.OnPeerChange(peer)
	}
	alive := n.aliveMembers()
	n.replica.Tick(now, alive, failureDetector{n})
	if now >= n.nextHeartbeat {
		n.nextHeartbeat = now + n.cfg.HeartbeatInterval
		n.sendHeartbeats()
		n.bootstrap(alive)
	}
	n.tickServer()
	n.proposals.tick(now)
	n.collectActions()
}

// collectActions turns the actions of the server and of the replica into this front end's.
func (n *Node) collectActions() {
	n.collectServerActions()
	for _, action := range n.replica.Actions() {
		switch action := action.(type) {
		case replication.Send:
			if to := n.ReplicaName(action.To); to != "" {
				m := replicationMessage{n.replica.GroupID(), action.Message}
				n.send(to, transport.Replication, action.Bulk, m.encode())
			}
		case replication.Save:
			n.actions = append(n.actions, action)
		case replication.Reply:
			n.sendResponse(uint64(action.To), action.Response)
		case replication.Notify:
			if n.replica.IsLeader() { // all replicas have the same notifications; the leader's suffice
				n.sendNotification(uint64(action.To), action.Topic)
			}
		}
	}
}

// sendResponse delivers the response to a proposal.
func (n *Node) sendResponse(process uint64, response replication.Response) {
	if process == n.cfg.Incarnation {
		n.proposals.receive(n.now, response)
		return
	}
	n.sendToProcess(process, transport.Response, response.Encode())
}

func (n *Node) sendNotification(process uint64, topic string) {
	if process == n.cfg.Incarnation {
		n.notify(topic)
		return
	}
	n.sendToProcess(process, transport.Notification, []byte(topic))
}

// sendToProcess sends a message of the replicated log to a process of either role. It is dropped if the process is not
// known.
func (n *Node) sendToProcess(process uint64, kind transport.Kind, body []byte) {
	if to := n.nameOfProcess(process); to != "" {
		n.send(to, kind, false, body)
	} else if n.server != nil {
		n.forwardToAttached(process, kind, body)
	}
}
