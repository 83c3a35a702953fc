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
	Replication       replication.Config // its ID identifies this front end's disk
	HeartbeatInterval monotime.Micros
	// RetryInterval scales the delay after which a proposal without a response is sent again: a quarter of it if
	// proposals now go to another front end than the one it was sent to, and four times it otherwise.
	RetryInterval monotime.Micros
	Membership    *membership.Config // for the front ends attached to this control member; nil if none may attach
	// NewID returns a unique ID for a new replicated log.
	NewID func() uint64
}

// Node is a control member's part in the fleet.
type Node struct {
	cfg     Config
	monitor *heartbeat.Monitor
	replica *replication.Replica
	// lastHeartbeats is the last heartbeat of each other control member, by name.
	lastHeartbeats   map[string]*controlHeartbeat
	nextHeartbeat    monotime.Micros
	pendingBootstrap []byte // the bootstrap message, resent with each heartbeat until there is a leader; nil otherwise
	leaving          bool

	proposals   proposals
	leaderRoute leaderRoute
	notify      func(topic string)

	server         *membership.Server         // nil if no front ends may attach
	linked         map[uint64]linkedFrontEnd  // attached front ends with links to this one, by incarnation
	controlMembers []membership.ControlMember // as of the last tick

	actions []Action
	now     monotime.Micros

	// Relayed counts the messages that were also sent through a third control member.
	Relayed int
	// Forwarded counts the proposals of attached front ends that were forwarded to the leader.
	Forwarded int
	// Undeliverable counts the messages from or to attached front ends that were dropped because no route was known.
	Undeliverable int
	// OnPeerChange is called when the state of another control member changes.
	OnPeerChange func(*heartbeat.Peer)
}

// NewNode returns the Node of a control member. It calls notify with the topic of each notification from the
// replicated log: the state that this front end waits for under that topic may have changed.
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

// Recover restores the replica from the state that was read from this front end's disk. A nil state means that the
// disk is empty.
func (n *Node) Recover(now monotime.Micros, state *replication.PersistedState) error {
	n.now = now
	return n.replica.Recover(now, state)
}

// Replica returns this front end's replica of the log. It exists even while this front end does not belong to a log.
func (n *Node) Replica() *replication.Replica { return n.replica }

// Monitor returns the failure detector of the other control members.
func (n *Node) Monitor() *heartbeat.Monitor { return n.monitor }

// Leave makes all further heartbeats announce that this front end is leaving the fleet.
func (n *Node) Leave() { n.leaving = true }

// Actions returns the pending actions, which the caller carries out, and clears them.
func (n *Node) Actions() []Action {
	n.collectActions()
	actions := n.actions
	n.actions = nil
	return actions
}

// Propose proposes a command to the replicated log. The command is encoded in body, in the given version of the state
// machine's command format. Propose calls done once with the response, from Receive, Tick, Persisted or Actions, but
// not after Cancel. A canceled proposal may still be committed.
func (n *Node) Propose(
	now monotime.Micros, stateMachineID, version uint32, body []byte, done func(replication.Response),
) (id uint64) {
	n.now = now
	return n.proposals.add(now, stateMachineID, version, body, done)
}

// Cancel stops waiting for the response to a proposal.
func (n *Node) Cancel(id uint64) { n.proposals.remove(id) }

// Proposals returns the number of proposals that this front end has made.
func (n *Node) Proposals() int { return int(n.proposals.lastID) }

// Receive handles a message that arrived over a link. After an error the caller closes the link: the message is
// malformed, or the remote side's role does not allow it.
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
	if err := n.receiveProposalMessage(l, kind, body); err != nil {
		return err
	}
	n.collectActions()
	return nil
}

// receiveProposalMessage handles a proposal, a response or a notification from another control member. Messages of
// other kinds go to receiveMembership.
func (n *Node) receiveProposalMessage(l Link, kind transport.Kind, body []byte) error {
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

// receiveProposal handles a proposal from another control member. It ignores a proposal whose proposer is not the
// sending process.
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

// SendFailed records that messages to a control member may have been lost.
func (n *Node) SendFailed(name string) {
	if last := n.lastHeartbeats[name]; last != nil && last.ReplicaID != 0 {
		n.replica.ReportUnreachable(last.ReplicaID)
	}
}

// Persisted records that the replication.Save with the token was written, or the error that prevented it.
func (n *Node) Persisted(now monotime.Micros, token uint64, err error) {
	n.now = now
	n.replica.Persisted(now, token, err)
	n.collectActions()
}

// Next returns the time by which Tick must be called.
func (n *Node) Next() monotime.Micros {
	next := min(n.nextHeartbeat, n.now+n.cfg.Replication.TickInterval)
	if n.server != nil {
		next = min(next, n.now+membership.DefaultBatchDelay)
	}
	return next
}

// Tick advances the clock to now and does the work that is due.
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

// collectActions converts the actions of the membership server and of the replica to actions of this node.
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
			if n.replica.IsLeader() { // every replica produces the same notifications; only the leader sends them
				n.sendNotification(uint64(action.To), action.Topic)
			}
		}
	}
}

// sendResponse delivers the response to a proposal to its proposer.
func (n *Node) sendResponse(incarnation uint64, response replication.Response) {
	if incarnation == n.cfg.Incarnation {
		n.proposals.receive(n.now, response)
		return
	}
	n.sendToProcess(incarnation, transport.Response, response.Encode())
}

func (n *Node) sendNotification(incarnation uint64, topic string) {
	if incarnation == n.cfg.Incarnation {
		n.notify(topic)
		return
	}
	n.sendToProcess(incarnation, transport.Notification, []byte(topic))
}

// sendToProcess sends a message of the replicated log to a process of either role. It drops the message if the process
// is not known.
func (n *Node) sendToProcess(incarnation uint64, kind transport.Kind, body []byte) {
	if to := n.nameOfProcess(incarnation); to != "" {
		n.send(to, kind, false, body)
	} else if n.server != nil {
		n.forwardToAttached(incarnation, kind, body)
	}
}
