package membership

// close closes the link at one end and notifies the other end.
func (l *link) close(at side) {
	if !l.open[at] {
		return
	}
	l.open[at] = false
	p := l.process(at)
	p.execute(func() { p.role.linkClosed(l) })
	l.notifyClosed(at)
}

// notifyClosed notifies the other end of the link that this end has closed it or that its process has ended. Across a
// partition, the other end closes the link after linkSilenceTimeout.
func (l *link) notifyClosed(at side) {
	other := at.other()
	if l.sim.network.partitioned(l.member(at), l.member(other)) {
		l.scheduleSilenceTimeout(other)
		return
	}
	l.sim.scheduleAfter(l.sim.network.latency(l.member(at), l.member(other)), func() { l.close(other) })
}

// notifyCrashed notifies the other end of the link of a crash. If the machine has crashed there is no reset, and the
// other end closes the link after linkSilenceTimeout.
func (l *link) notifyCrashed(at side, scope crashScope) {
	if scope == machineCrash {
		l.scheduleSilenceTimeout(at.other())
		return
	}
	l.notifyClosed(at)
}

// scheduleSilenceTimeout closes the link at one end after linkSilenceTimeout, unless messages of the other end can
// arrive again by then.
func (l *link) scheduleSilenceTimeout(at side) {
	l.sim.scheduleAfter(linkSilenceTimeout, func() {
		if l.open[at] && !l.receives(at) {
			l.close(at)
		}
	})
}

// receives reports whether messages of the other end can arrive at this end.
func (l *link) receives(at side) bool {
	sender := l.process(at.other())
	return l.open[at.other()] && sender.running() && !sender.paused &&
		!l.sim.network.partitioned(l.member(at), sender.member)
}

// scheduleStallTimeout closes the link if the queue of one end is not empty and nothing is sent from it for
// linkStallTimeout.
func (l *link) scheduleStallTimeout(from side) {
	st := &l.streams[from]
	l.sim.scheduleAfter(linkStallTimeout, func() {
		if len(st.queued) == 0 || !l.open[from] {
			return
		}
		if !st.awaitingReader && l.sim.now-st.lastProgress >= linkStallTimeout {
			l.close(from)
			return
		}
		l.scheduleStallTimeout(from)
	})
}
