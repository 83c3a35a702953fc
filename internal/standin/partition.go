package standin

// Way returns the proxy on the path from one front end to another; nil to an attached one, which nobody dials.
func (f *Fleet) Way(from, to *Front) *Relay { return f.proxies[path{from.N, to.N}] }

// Ways returns the proxies from a front end to all control members but itself.
func (f *Fleet) Ways(from *Front) (list []*Relay) {
	for _, controlMember := range f.Controls() {
		if controlMember != from {
			list = append(list, f.Way(from, controlMember))
		}
	}
	return list
}

// Between returns the proxies on the paths from one front end to another and back.
func (f *Fleet) Between(a, b *Front) (list []*Relay) {
	for _, proxy := range []*Relay{f.Way(a, b), f.Way(b, a)} {
		if proxy != nil {
			list = append(list, proxy)
		}
	}
	return list
}

// Part cuts all paths between two sides of a partition, in both directions, or heals them.
func (f *Fleet) Part(cut bool, left, right []*Front) {
	for _, from := range left {
		for _, to := range right {
			f.Did("cut %s-%s: %v", from.Name, to.Name, cut)
			for _, proxy := range f.Between(from, to) {
				proxy.Cut(cut)
			}
		}
	}
}

// Mute cuts the paths from a front end to all control members, or heals them. Connections that others dial to it stay.
func (f *Fleet) Mute(frontEnd *Front, cut bool) {
	f.Did("cut %s to all others: %v", frontEnd.Name, cut)
	for _, proxy := range f.Ways(frontEnd) {
		proxy.Cut(cut)
	}
}

// Deafen cuts the paths from all front ends to one, or heals them. Connections that it dials itself stay.
func (f *Fleet) Deafen(frontEnd *Front, cut bool) {
	f.Did("cut all others to %s: %v", frontEnd.Name, cut)
	for _, other := range f.Fronts {
		if proxy := f.Way(other, frontEnd); proxy != nil {
			proxy.Cut(cut)
		}
	}
}
