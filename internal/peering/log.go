package peering

import (
	"log/slog"

	"chutechute/fleet/membership"
)

// Attributes of log lines. One key means the same thing in all lines.
const (
	keyError       = "error"
	keyFrontEnd    = "front_end"
	keyHome        = "home"
	keyIncarnation = "incarnation"
	keyRole        = "role"
	keyState       = "state"
)

// logStart logs the front end's identity. Measurements over sockets read the incarnation from this line.
func (p *Peering) logStart() {
	identity := slog.Group("", // without a name its attributes are the line's own
		slog.String("site", p.cfg.Site),
		slog.String(keyFrontEnd, p.cfg.Name),
		slog.String(keyIncarnation, formatID(p.self.Incarnation)))
	if p.attachedNode != nil {
		slog.Info("fleet", identity,
			slog.String(keyRole, membership.Attached.String()),
			slog.String("zone", p.cfg.Zone))
		return
	}
	slog.Info("fleet", identity,
		slog.String(keyRole, membership.Control.String()),
		slog.String("copy", formatID(p.replicaID)),
		slog.String("folder", p.cfg.Folder))
}

// logEstablished logs that a link with a front end is established, in the direction that its role implies.
func logEstablished(frontEnd string, incarnation uint64, role membership.Role) {
	slog.Debug("link established",
		slog.String(keyFrontEnd, frontEnd),
		slog.String(keyIncarnation, formatID(incarnation)),
		slog.String(keyRole, role.String()))
}

// logProtocolError logs why a link is closed: what came over it, a handshake or a message, is not acceptable.
func logProtocolError(frontEnd string, err error) {
	slog.Warn("link closed on a protocol error", slog.String(keyFrontEnd, frontEnd), slog.Any(keyError, err))
}

// logStateChange logs a front end's state as this one sees it. The home is empty for a control member.
func logStateChange(frontEnd string, role membership.Role, state string, incarnation uint64, home string) {
	slog.Info("front end state changed",
		slog.String(keyFrontEnd, frontEnd),
		slog.String(keyRole, role.String()),
		slog.String(keyState, state),
		slog.String(keyIncarnation, formatID(incarnation)),
		slog.String(keyHome, home))
}
