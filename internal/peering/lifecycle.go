package peering

import (
	"bytes"
	"log/slog"

	"chutechute/internal/config"
)

// Listen starts listening for links, at a control member, and on the admin socket, if one is configured. It returns an
// error if it cannot listen on one of them.
func (p *Peering) Listen() (err error) {
	if p.controlNode != nil {
		if p.listener, err = newLinkListener(p); err != nil {
			return err
		}
	}
	if p.cfg.AdminSocket != "" {
		p.adminListener, err = newAdminListener(p)
	}
	return err
}

// Reload applies the budgets of a new configuration. It logs a warning if settings that all front ends share have
// changed, or if budgets were added or removed, as such changes take effect at the next start. It does nothing if the
// Peering or the configuration is nil.
func (p *Peering) Reload(cfg *config.Peers) {
	if p == nil || cfg == nil {
		return
	}
	anyMayAttach := p.cfg.Attached != nil || cfg.Attached != nil
	if anyMayAttach && !bytes.Equal(p.cfg.Digest, cfg.Digest) {
		slog.Warn("reload: settings shared by the fleet take effect at the next start")
	}
	budgetsBefore, budgetsNow := p.leaseHolder != nil, cfg.Budgets != nil
	switch {
	case budgetsBefore && budgetsNow:
		p.cfg.Budgets = cfg.Budgets
		p.leaseHolder.Reload(p.Host.TurnTime, cfg.Budgets)
	case budgetsBefore != budgetsNow:
		slog.Warn("reload: adding or removing fleet.budgets takes effect at the next start; " +
			"an empty list removes all budgets")
	}
}

// Close completes the queued disk writes and removes the admin socket at a graceful shutdown. Links stay open until the
// process exits.
func (p *Peering) Close() {
	if p.storeWriter != nil {
		if err := p.storeWriter.Close(); err != nil {
			slog.Warn("closing the write-ahead log failed", slog.Any(keyError, err))
		}
	}
	if p.adminListener != nil {
		p.adminListener.close()
	}
}

// closeAll closes everything that the front end has open, as the exit of its process would.
func (p *Peering) closeAll() {
	for _, l := range p.outbound {
		l.Close()
	}
	for l := range p.inbound {
		l.terminate()
	}
	if p.listener != nil {
		p.Host.Loop.CloseDescriptor(p.listener.fd)
	}
	p.Close()
}
