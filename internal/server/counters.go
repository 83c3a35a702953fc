package server

// printCounters collects the counters of all components and prints them.
func (s *Server) printCounters() {
	s.countStatements()
	s.countIdentity()
	if s.peering != nil {
		s.peering.ReportCounters(&s.host.Counters)
	}
	s.host.Counters.Print(s.counterOutput)
}

// countStatements copies the counters of the statement reader.
func (s *Server) countStatements() {
	counts := s.core.StatementCounts()
	counters := &s.host.Counters
	counters.ShapeHits, counters.ShapeMisses, counters.Unparsed = counts.Hits, counts.Misses, counts.Failures
	counters.LearnedOutcomes, counters.Shapes, counters.ShapeBytes = counts.Learned, counts.Shapes, counts.Bytes
}

// countIdentity copies the counters of caller authentication, if that is enabled.
func (s *Server) countIdentity() {
	guard := s.core.Guard()
	if guard == nil {
		return
	}
	counts := guard.Counts()
	counters := &s.host.Counters
	counters.AllowedCalls, counters.SignatureChecks = counts.Allowed, counts.SignaturesChecked
	counters.UnauthenticatedCalls = counts.NoCredentials + counts.InvalidTokens + counts.NegativeCacheHits +
		counts.NotValidNow + counts.UnknownCallers
	counters.PermissionDenied = counts.PermissionDenied + counts.TenantMismatches
	counters.OverCeiling = counts.CeilingReached + counts.SignatureBudgetExhausted
}
