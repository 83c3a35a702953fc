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

// SetPartition partitions the fleet into two sides or heals the partition. It applies to all paths between the sides,
// in both directions.
func (f *Fleet) SetPartition(partitioned bool, left, right []*FrontEnd) {
	for _, from := range left {
		for _, to := range right {
			f.LogStep("partition %s-%s: %v", from.Name, to.Name, partitioned)
			for _, proxy := range f.ProxiesBetween(from, to) {
				proxy.SetCut(partitioned)
			}
		}
	}
}

// SetOutboundPartition partitions a front end, on the paths from it to all control members, or heals the partition.
// Connections that other front ends dial to it are not affected.
func (f *Fleet) SetOutboundPartition(frontEnd *FrontEnd, partitioned bool) {
	f.LogStep("partition %s to all others: %v", frontEnd.Name, partitioned)
	for _, proxy := range f.Proxies(frontEnd) {
		proxy.SetCut(partitioned)
	}
}

// SetInboundPartition partitions a front end, on the paths from all other front ends to it, or heals the partition.
// Connections that it dials itself are not affected.
func (f *Fleet) SetInboundPartition(frontEnd *FrontEnd, partitioned bool) {
	f.LogStep("partition all others to %s: %v", frontEnd.Name, partitioned)
	for _, other := range f.FrontEnds {
		if proxy := f.Proxy(other, frontEnd); proxy != nil {
			proxy.SetCut(partitioned)
		}
	}
}
