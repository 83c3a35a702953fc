package config

import (
	"net/netip"
)

// ownMembership has what the section contains about this front end itself.
type ownMembership struct {
	isMember bool
	listen   netip.AddrPort // for other front ends; invalid if this one is not a member
	zone     string
}

// memberLinks has the members that a front end has links to, by name: all members except itself.
type memberLinks struct {
	addresses map[string]netip.AddrPort
	zones     map[string]string
}

// findMembers checks the members. It returns the membership of the named front end and the other members.
func (f *Fleet) findMembers(name string) (self ownMembership, links memberLinks, err error) {
	if len(f.Members) > maxMembers {
		return self, links, fleetSection.keyError("members",
			"%d are above %d: each sends heartbeats to all others, so that the traffic grows with the square of their "+
				"number; let other front ends attach to these members, see fleet.attached", len(f.Members), maxMembers)
	}
	links = memberLinks{addresses: map[string]netip.AddrPort{}, zones: map[string]string{}}
	seen := map[string]bool{}
	for i, member := range f.Members {
		address, err := member.check(fleetSection.element("members", i), seen[member.Name])
		if err != nil {
			return self, links, err
		}
		seen[member.Name] = true
		if member.Name == name {
			self = ownMembership{isMember: true, listen: address, zone: member.Zone}
			continue
		}
		links.addresses[member.Name] = address
		links.zones[member.Name] = member.Zone
	}
	if self.isMember {
		return self, links, nil
	}
	if !f.Attached.enabled() {
		return self, links, fleetSection.keyError("members", "this front end, %q, is not among them", name)
	}
	self.zone = f.Zone
	return self, links, nil
}

// check returns the member's address, or an error if the member is invalid. The element creates the errors for its
// keys, and seen is true if an earlier member has the same name.
func (m *FleetMember) check(element section, seen bool) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(m.Address)
	switch {
	case m.Name == "":
		return address, element.keyError("name", "missing")
	case seen:
		return address, element.keyError("name", "%q stands twice", m.Name)
	case err != nil || !address.Addr().Is4() || address.Port() == 0:
		return address, element.keyError("address", "%q is no IPv4 address with a port", m.Address)
	case !address.Addr().IsLoopback():
		return address, element.keyError("address",
			"%s is not on loopback: links between machines have no TLS yet", m.Address)
	}
	return address, nil
}
