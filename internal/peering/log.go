package peering

import (
	"log/slog"

	"chutechute/fleet/membership"
)

// Attribute keys of log lines. A key has the same meaning in all lines.
const (
	keyError       = "error"
	keyFrontEnd    = "front_end"
	keyHome        = "home"
	keyIncarnation = "incarnation"
	keyRole        = "role"
	keyState       = "state"
)

// logStart logs the front end's identity. The fleet measurements over sockets read the incarnation from this line.
func (p *Peering) logStart() {
	identity := slog.Group("", // a group without a name is inlined
		slog.String("site", p.cfg.Site),
		slog.String(keyFrontEnd, p.cfg.Name),
		slog.String(keyIncarnation, formatID(p.self.Incarnation)))
	if p.attachedNode != nil {
		slog.Info("fleet membership starts", identity,
			slog.String(keyRole, membership.Attached.String()),
			slog.String("zone", p.cfg.Zone))
		return
	}
	slog.Info("fleet membership starts", identity,
		slog.String(keyRole, membership.Control.String()),
		slog.String("copy", formatID(p.replicaID)),
		slog.String("folder", p.cfg.Folder))
}

// logEstablished logs that a link is established. The remote front end's role implies the link's direction.
func logEstablished(frontEnd string, incarnation uint64, role membership.Role) {
	slog.Debug("link established",
		slog.String(keyFrontEnd, frontEnd),
		slog.String(keyIncarnation, formatID(incarnation)),
		slog.String(keyRole, role.String()))
}

// logProtocolError logs that a link is closed because the remote side sent an invalid handshake or message.
func logProtocolError(frontEnd string, err error) {
	slog.Warn("link closed on a protocol error", slog.String(keyFrontEnd, frontEnd), slog.Any(keyError, err))
}

// logStateChange logs the new state of another front end as seen by this one. A control member has no home.
func logStateChange(frontEnd string, role membership.Role, state string, incarnation uint64, home string) {
	slog.Info("front end state changed",
		slog.String(keyFrontEnd, frontEnd),
		slog.String(keyRole, role.String()),
		slog.String(keyState, state),
		slog.String(keyIncarnation, formatID(incarnation)),
		slog.String(keyHome, home))
}
