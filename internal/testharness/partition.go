package testharness

// Proxy returns the proxy on the path from one front end to another. It is nil if the target is an attached front end,
// as no front end dials those.
func (f *Fleet) Proxy(from, to *FrontEnd) *FaultProxy { return f.proxies[path{from.Index, to.Index}] }

// Proxies returns the proxies from a front end to all control members except itself.
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

// SetPartition cuts or heals all paths between the two sides of a partition, in both directions.
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

// SetOutboundPartition cuts or heals the paths from a front end to all control members. Connections that other front
// ends dial to it are not affected.
func (f *Fleet) SetOutboundPartition(frontEnd *FrontEnd, cut bool) {
	f.LogStep("cut %s to all others: %v", frontEnd.Name, cut)
	for _, proxy := range f.Proxies(frontEnd) {
		proxy.SetCut(cut)
	}
}

// SetInboundPartition cuts or heals the paths from all other front ends to one front end. Connections that it dials
// itself are not affected.
func (f *Fleet) SetInboundPartition(frontEnd *FrontEnd, cut bool) {
	f.LogStep("cut all others to %s: %v", frontEnd.Name, cut)
	for _, other := range f.FrontEnds {
		if proxy := f.Proxy(other, frontEnd); proxy != nil {
			proxy.SetCut(cut)
		}
	}
}
