package peering

import (
	"golang.org/x/sys/unix"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/internal/eventloop"
)

// Traffic returns a front end's traffic since its start; false if no front end of that name is running here.
func (h *Hollow) Traffic(name string) (Traffic, bool) {
	f := h.frontEnd(name)
	if f == nil {
		return Traffic{}, false
	}
	return f.traffic, true
}

// Connections returns the number of a front end's open links in both directions; 0 if it is not running here.
func (h *Hollow) Connections(name string) int {
	f := h.frontEnd(name)
	if f == nil {
		return 0
	}
	return f.connectionCount()
}

// CountComplete returns how many front ends here see exactly total front ends as alive, themselves included, and the
// lowest number of alive front ends that any of them sees.
func (h *Hollow) CountComplete(total int) (complete, minAlive int) {
	minAlive = total
	countByDigest := map[uint64]int{} // cached, as most views are equal
	for _, f := range h.frontEnds {
		alive := f.countAlive(total, countByDigest)
		if alive == total {
			complete++
		}
		minAlive = min(minAlive, alive)
	}
	return complete, minAlive
}

// countAlive returns how many front ends this one sees as alive, itself included. For a view with fewer than total
// entries it returns the number of entries without counting the alive ones. Counts of other views are cached in
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

// eachDescriptor calls visit for each open descriptor with its interest and handler. It omits the admin socket, which
// hollow front ends do not have.
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

// connectionCount returns the number of open links in both directions.
func (p *Peering) connectionCount() int {
	open := len(p.inbound)
	for _, l := range p.outbound {
		if !l.Closed {
			open++
		}
	}
	return open
}
