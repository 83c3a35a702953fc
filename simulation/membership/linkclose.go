package membership

// close closes the link at one end, and notifies the other.
func (l *link) close(at side) {
	if !l.open[at] {
		return
	}
	l.open[at] = false
	p := l.process(at)
	p.execute(func() { p.role.linkClosed(l) })
	l.notifyClosed(at)
}

// notifyClosed has the other end of the link learn that this one has closed it, or that its process has ended.
func (l *link) notifyClosed(at side) {
	other := at.other()
	if l.sim.network.partitioned(l.member(at), l.member(other)) {
		l.scheduleSilenceTimeout(other)
		return
	}
	l.sim.scheduleAfter(l.sim.network.latency(l.member(at), l.member(other)), func() { l.close(other) })
}

// notifyCrashed has the other end of the link learn of a crash: by a reset, or by silence if the machine has crashed.
func (l *link) notifyCrashed(at side, scope crashScope) {
	if scope == machineCrash {
		l.scheduleSilenceTimeout(at.other())
		return
	}
	l.notifyClosed(at)
}

// scheduleSilenceTimeout closes the link at one end after linkSilenceTimeout, unless the other end can send again then.
func (l *link) scheduleSilenceTimeout(at side) {
	l.sim.scheduleAfter(linkSilenceTimeout, func() {
		if l.open[at] && !l.receives(at) {
			l.close(at)
		}
	})
}

// receives reports whether messages of the other end arrive at this one.
func (l *link) receives(at side) bool {
	sender := l.process(at.other())
	return l.open[at.other()] && sender.running() && !sender.paused &&
		!l.sim.network.partitioned(l.member(at), sender.member)
}

// scheduleStallTimeout closes the link once nothing has left the queue of one end for linkStallTimeout.
func (l *link) scheduleStallTimeout(from side) {
	w := &l.streams[from]
	l.sim.scheduleAfter(linkStallTimeout, func() {
		if len(w.queued) == 0 || !l.open[from] {
			return
		}
		if !w.awaitingReader && l.sim.now-w.lastProgress >= linkStallTimeout {
			l.close(from)
			return
		}
		l.scheduleStallTimeout(from)
	})
}
