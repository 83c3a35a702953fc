package peering

import (
	"bytes"
	"log/slog"

	"chutechute/internal/config"
)

// Listen opens the listener for links, at a control member, and the admin socket, where one is configured. It
// returns an error where an address cannot be listened at.
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

// Reload applies the budgets of a new configuration. Changes of anything else are logged, as they take effect at
// the next start. Reloading a nil Peering, or with no configuration, does nothing.
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

// Close writes what is queued for the disk and removes the admin socket, at a planned end. Links are left to the end of
// the process.
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

// closeAll closes all that the front end has open, as the end of its process would.
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
