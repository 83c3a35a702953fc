package membership

import "chutechute/internal/monotime"

// controlPeer is a control member as a client sees it.
type controlPeer struct {
	name, zone         string
	linked             bool
	responded          bool // something was received over the link
	incarnation        uint64
	dialedAt           monotime.Micros // since when a link to it is requested
	lastSeen           monotime.Micros // the last sign of life over the link
	stableSince        monotime.Micros // since when it is linked and responds without a gap
	leaving            bool
	nextHeartbeat      monotime.Micros // when the next heartbeat to it is due
	backoffUntil       monotime.Micros // until when it is not dialed
	dialFailures       int             // in a row
	needsBucketDigests bool            // it can't repair this view without the bucket digests
	viewBehind         bool            // it reported a later view than was received by then
	lastResume         monotime.Micros // the last request of what is missing
	clock              clockOffset
	lastAnswer         answerState
}

// answerState is the last answer to a heartbeat: how far the home's view was after the heartbeat was sent.
type answerState struct {
	received        bool
	sequence        uint64
	heartbeatSentAt monotime.Micros
}

// open takes a new link to a process of the control member.
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

// isResponsive reports whether a control member was seen recently; nil was not.
func (c *Client) isResponsive(p *controlPeer) bool {
	return p != nil && p.linked && !p.leaving && c.now-p.lastSeen < c.cfg.SuspectAfter
}

// silence returns for how long a control member that is dialed or linked was not seen.
func (c *Client) silence(p *controlPeer) monotime.Micros { return c.now - max(p.lastSeen, p.dialedAt) }

// isUnresponsive reports whether a control member that is dialed or linked is to be given up.
func (c *Client) isUnresponsive(p *controlPeer) bool {
	return p.leaving || c.silence(p) >= c.cfg.DeadAfter
}

// requestLink begins the time in which a control member has to respond.
func (c *Client) requestLink(p *controlPeer) {
	if !p.linked {
		p.dialedAt, p.leaving = c.now, false
	}
}
