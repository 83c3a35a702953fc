package peering

import (
	"golang.org/x/sys/unix"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/internal/eventloop"
)

// Traffic returns what a front end has read and written since its start; false where none of that name runs here.
func (h *Hollow) Traffic(name string) (Traffic, bool) {
	f := h.frontEnd(name)
	if f == nil {
		return Traffic{}, false
	}
	return f.traffic, true
}

// Connections returns how many links a front end has open, inbound and outbound; 0 where none of that name runs here.
func (h *Hollow) Connections(name string) int {
	f := h.frontEnd(name)
	if f == nil {
		return 0
	}
	return f.connectionCount()
}

// CountComplete returns how many front ends here see a total of so many as alive, themselves included, and the
// lowest number that any of them sees.
func (h *Hollow) CountComplete(total int) (complete, least int) {
	least = total
	countByDigest := map[uint64]int{} // most views are equal
	for _, f := range h.frontEnds {
		alive := f.countAlive(total, countByDigest)
		if alive == total {
			complete++
		}
		least = min(least, alive)
	}
	return complete, least
}

// countAlive returns how many front ends this one sees as alive, itself included. For a view with fewer than total
// entries it returns the number of entries, which spares counting. Counts of other views are cached in
// countByDigest.
func (p *Peering) countAlive(total int, countByDigest map[uint64]int) int {
	view := p.fleetNode.View()
	if view == nil {
		return p.countAliveMembers()
	}
	if view.Len() < total {
		return view.Len()
	}
	if alive, cached := countByDigest[view.Digest()]; cached {
		return alive
	}
	alive := 0
	for _, e := range view.Entries() {
		if e.State == membership.Alive {
			alive++
		}
	}
	countByDigest[view.Digest()] = alive
	return alive
}

// countAliveMembers returns how many control members this one sees as alive, itself included.
func (p *Peering) countAliveMembers() int {
	alive := 1
	for _, peer := range p.controlNode.Monitor().Peers() {
		if peer.State == heartbeat.Alive {
			alive++
		}
	}
	return alive
}

// eachDescriptor calls a function with each open descriptor, its interest and its handler. The admin socket, which
// a hollow front end does not have, is left out.
func (p *Peering) eachDescriptor(visit func(fd int, interest uint32, handler eventloop.Handler)) {
	if p.listener != nil {
		visit(p.listener.fd, unix.EPOLLIN, p.listener)
	}
	for _, l := range p.outbound {
		if !l.Closed {
			visit(l.FD, l.Interest, l)
		}
	}
	for l := range p.inbound {
		visit(l.FD, l.Interest, l)
	}
}

// connectionCount returns how many links are open, in both directions.
func (p *Peering) connectionCount() int {
	open := len(p.inbound)
	for _, l := range p.outbound {
		if !l.Closed {
			open++
		}
	}
	return open
}
