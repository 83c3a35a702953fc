package testharness

// Proxy returns the proxy on the path from one front end to another; nil to an attached one, which nobody dials.
func (f *Fleet) Proxy(from, to *FrontEnd) *FaultProxy { return f.proxies[path{from.Index, to.Index}] }

// Proxies returns the proxies from a front end to all control members but itself.
func (f *Fleet) Proxies(from *FrontEnd) (list []*FaultProxy) {
	for _, controlMember := range f.ControlMembers() {
		if controlMember != from {
			list = append(list, f.Proxy(from, controlMember))
		}
	}
	return list
}

// ProxiesBetween returns the proxies on the paths from one front end to another and back.
func (f *Fleet) ProxiesBetween(a, b *FrontEnd) (list []*FaultProxy) {
	for _, proxy := range []*FaultProxy{f.Proxy(a, b), f.Proxy(b, a)} {
		if proxy != nil {
			list = append(list, proxy)
		}
	}
	return list
}

// SetPartition cuts all paths between two sides of a partition, in both directions, or heals them.
func (f *Fleet) SetPartition(cut bool, left, right []*FrontEnd) {
	for _, from := range left {
		for _, to := range right {
			f.LogStep("cut %s-%s: %v", from.Name, to.Name, cut)
			for _, proxy := range f.ProxiesBetween(from, to) {
				proxy.SetCut(cut)
			}
		}
	}
}

// SetOutboundPartition cuts the paths from a front end to all control members, or heals them. Connections that
// others dial to it stay.
func (f *Fleet) SetOutboundPartition(frontEnd *FrontEnd, cut bool) {
	f.LogStep("cut %s to all others: %v", frontEnd.Name, cut)
	for _, proxy := range f.Proxies(frontEnd) {
		proxy.SetCut(cut)
	}
}

// SetInboundPartition cuts the paths from all front ends to one, or heals them. Connections that it dials itself stay.
func (f *Fleet) SetInboundPartition(frontEnd *FrontEnd, cut bool) {
	f.LogStep("cut all others to %s: %v", frontEnd.Name, cut)
	for _, other := range f.FrontEnds {
		if proxy := f.Proxy(other, frontEnd); proxy != nil {
			proxy.SetCut(cut)
		}
	}
}
