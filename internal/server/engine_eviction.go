package server

// releaseDescriptor closes a connection to make its descriptor available for a client. It reports whether it closed
// one. Engine connections only use descriptors that clients leave. A connection that waits for the response to a poll
// can be closed, since queries are not bound to connections: the query is then polled over another connection.
func (p *enginePool) releaseDescriptor() bool {
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

// isReplaceable reports whether a connection may be closed just to free its descriptor.
//
// A connection in use by a query that must not run twice, or whose end other queries wait for, must stay open: if the
// query can't be polled elsewhere, all of them wait until the engine has abandoned it. Connections to a draining engine
// that has requests must stay open too, since the engine accepts no new ones, and its queries could then be neither
// polled nor canceled. The notice that it drains may arrive late, so the last established connection to any engine with
// requests is kept as well.
func (p *enginePool) isReplaceable(c *engineConn) bool {
	e := c.engine
	switch {
	case e.requestCount == 0:
		return true
	case c.request != nil && c.request.keepsConnection():
		return false
	}
	return e.establishedCount > 1 && !e.draining && !e.refusesConnections
}

// evictIdle closes the connection that has been idle longest among the replaceable ones. It reports whether it closed
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
