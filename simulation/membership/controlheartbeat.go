package membership

import (
	"chutechute/fleet/heartbeat"
	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

// controlHeartbeat is the heartbeat that control members send each other: the message of package fleet, without the
// fields of the replicated log.
type controlHeartbeat struct {
	incarnation   uint64
	leaving       bool
	reports       []heartbeat.Report
	tableVersions []byte // versions of the tables of attached front ends
}

func (h *controlHeartbeat) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &h.incarnation)
	f.Bool(8, &h.leaving)
	heartbeat.ReportsField(f, 10, &h.reports)
	f.Copied(11, &h.tableVersions)
}

func (h *controlHeartbeat) encode() []byte {
	f := fieldcodec.Encode(nil)
	h.fields(&f)
	return f.Bytes()
}

// decodeControlHeartbeat decodes a heartbeat. Its error is fieldcodec.ErrMalformed.
func decodeControlHeartbeat(b []byte) (h controlHeartbeat, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		h.fields(&f)
	}
	return h, f.Err()
}

// sendHeartbeats sends a heartbeat to all other control members.
func (c *controlProcess) sendHeartbeats() {
	sender := c.process
	h := controlHeartbeat{
		incarnation:   sender.incarnation,
		reports:       c.monitor.Reports(),
		tableVersions: c.server.Versions(sender.localTime()),
	}
	body := h.encode()
	decode := sender.sim.heartbeatDecoder(body)
	for _, m := range sender.sim.controlMembers {
		if m == sender.member {
			continue
		}
		c.sendToControl(m, kindControlHeartbeat, len(body), func(receiver *controlProcess, challengedAt monotime.Micros) {
			receiver.receiveHeartbeat(sender, challengedAt, decode())
		})
	}
}

// heartbeatDecoder returns a function that each receiver calls to decode a heartbeat. Unless processor time is
// measured, the heartbeat is decoded once and shared by all receivers, which saves a third of a run's time.
func (s *simulation) heartbeatDecoder(body []byte) func() *controlHeartbeat {
	decode := func() *controlHeartbeat {
		h, err := decodeControlHeartbeat(body)
		s.fail(err)
		return &h
	}
	if s.cpuMeter != nil {
		return decode
	}
	shared := decode()
	return func() *controlHeartbeat { return shared }
}

func (c *controlProcess) receiveHeartbeat(from *process, challengedAt monotime.Micros, h *controlHeartbeat) {
	now := c.process.localTime()
	if !c.monitor.Observe(now, from.member.name, h.incarnation, challengedAt, h.leaving, h.reports) {
		return
	}
	if err := c.server.ReceiveVersions(now, from.member.name, h.incarnation, h.tableVersions); err != nil {
		c.process.sim.countRejected(err)
	}
	c.sendPending()
}
