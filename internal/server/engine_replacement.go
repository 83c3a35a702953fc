package server

import (
	"log/slog"
	"maps"
	"net/netip"
	"slices"

	"chutechute/internal/discovery"
	"chutechute/scheduler"
)

// replacedEngines returns records that remove the engines whose address an event gives to a new engine. Two processes
// can't listen at one address, so the process of the former engine has gone, although its end may be listed only later.
// Until then, calls for it would reach the new process.
func (p *enginePool) replacedEngines(event discovery.Event) (removals []discovery.Engine) {
	successors := p.newAddresses(event)
	if len(successors) == 0 {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[name]
		successor, taken := successors[e.address]
		if !taken || successor == name || e.removed || movesOrEnds(event, e) {
			continue
		}
		slog.Info("engine replaced at its address", slog.String("engine", name), slog.String("successor", successor))
		removals = append(removals, discovery.Engine{
			Endpoint: scheduler.Endpoint{Engine: name, State: scheduler.Removed},
			Address:  e.address,
		})
	}
	return removals
}

// newAddresses returns the engines that an event lists as serving at an address that they did not have before, by
// address.
func (p *enginePool) newAddresses(event discovery.Event) map[netip.AddrPort]string {
	engines := map[netip.AddrPort]string{}
	for _, listed := range event.Engines {
		known := p.engines[listed.Engine]
		hasAddress := known != nil && !known.removed && known.address == listed.Address
		if listed.State == scheduler.Serving && !hasAddress {
			engines[listed.Address] = listed.Engine
		}
	}
	return engines
}

// movesOrEnds reports whether an event itself gives an engine another address or removes it.
func movesOrEnds(event discovery.Event, e *engine) bool {
	return slices.ContainsFunc(event.Engines, func(listed discovery.Engine) bool {
		return listed.Engine == e.name && (listed.Address != e.address || listed.State == scheduler.Removed)
	})
}
