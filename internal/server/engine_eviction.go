package server

// freeDescriptor frees a descriptor for a client, and says whether one could be had. Engines use what clients leave
// of the descriptors; a connection on which a query's end is awaited can be closed, since no connection owns a
// query: it is polled on another in turn.
func (p *enginePool) freeDescriptor() bool {
	if p.evictIdle() {
		return true
	}
	for c := range p.connections {
		request := c.request
		if request != nil && c.state == engineBusy && request.query.Polling() && p.isReplaceable(c) {
			c.terminate()
			request.connection = nil
			p.sendNext(request)
			return true
		}
	}
	return false
}

// isReplaceable says whether a connection may be closed for its descriptor alone. One that carries a call of a
// query that must not run twice, or has others wait in order, may not: how long an engine goes on with a query is
// known only from when it was polled last. Nor may one to an engine that drains and has requests, as it accepts no
// new connections, and what runs there could neither be polled nor canceled; and as the update may be late, not the
// last one that is established either.
func (p *enginePool) isReplaceable(c *engineConn) bool {
	e := c.engine
	switch {
	case e.requestCount == 0:
		return true
	case c.request != nil && c.request.isStrict():
		return false
	}
	return e.establishedCount > 1 && !e.draining && !e.refusesConnections
}

// evictIdle closes the connection that has been idle longest, of those that are replaceable, and says whether there was
// one.
func (p *enginePool) evictIdle() bool {
	var oldest *engineConn
	for _, e := range p.engines {
		if len(e.idle) == 0 || !p.isReplaceable(e.idle[0]) {
			continue
		}
		if oldest == nil || e.idle[0].lastActivity < oldest.lastActivity {
			oldest = e.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.terminate()
	return true
}
