package membership

import "chutechute/internal/monotime"

// controlPeer is the state that a Client keeps of one control member.
type controlPeer struct {
	name, zone         string
	linked             bool
	responded          bool            // a message was received over the current link
	incarnation        uint64          // of its process at the other end of the link
	dialedAt           monotime.Micros // when the link was requested
	lastSeen           monotime.Micros // when the link was opened or last delivered a message
	stableSince        monotime.Micros // since when it is linked and has responded without a gap
	leaving            bool            // it announced its shutdown
	nextHeartbeat      monotime.Micros // when the next heartbeat to it is due
	backoffUntil       monotime.Micros // it is not dialed before this time
	dialFailures       int             // consecutive failures
	needsBucketDigests bool            // it cannot repair this client's view without the bucket digests
	viewBehind         bool            // it reported a later version of the view than the client has
	lastResume         monotime.Micros // when missing updates were last requested
	clock              clockOffset     // offset to its clock
	lastAnswer         answerState
}

// answerState describes the last answer to a heartbeat: the home had that sequence after the heartbeat was sent.
type answerState struct {
	received        bool
	sequence        uint64
	heartbeatSentAt monotime.Micros
}

// open resets the state for a new link to a process of the control member.
func (p *controlPeer) open(now monotime.Micros, incarnation uint64) {
	if p.incarnation != incarnation {
		p.clock, p.lastAnswer = clockOffset{}, answerState{}
	}
	p.linked, p.responded, p.incarnation = true, false, incarnation
	p.leaving, p.viewBehind = false, false
	p.lastSeen, p.stableSince, p.nextHeartbeat = now, now, now
}

// respondedSinceDial reports whether the control member is linked and was seen since the link was requested.
func (p *controlPeer) respondedSinceDial() bool { return p.linked && p.lastSeen > p.dialedAt }

// isResponsive reports whether a control member is linked, not leaving, and was seen within SuspectAfter. It is false
// for nil.
func (c *Client) isResponsive(p *controlPeer) bool {
	return p != nil && p.linked && !p.leaving && c.now-p.lastSeen < c.cfg.SuspectAfter
}

// sinceLastSeen returns the time since a control member was last seen or dialed.
func (c *Client) sinceLastSeen(p *controlPeer) monotime.Micros {
	return c.now - max(p.lastSeen, p.dialedAt)
}

// isUnresponsive reports whether a control member that is dialed or linked should be dropped.
func (c *Client) isUnresponsive(p *controlPeer) bool {
	return p.leaving || c.sinceLastSeen(p) >= c.cfg.DeadAfter
}

// requestLink starts the timeout within which a control member that is not linked yet has to respond.
func (c *Client) requestLink(p *controlPeer) {
	if !p.linked {
		p.dialedAt, p.leaving = c.now, false
	}
}
