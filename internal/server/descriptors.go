package server

// Shares of the descriptors that the configuration allows.
const (
	// reservedDescriptors are left for the event loop, the discovery watch, the log and what the Go runtime opens.
	reservedDescriptors = 24
	// descriptorOverdraft is how many of the reserved descriptors clients may take for a moment, where nothing else can
	// be closed for them.
	descriptorOverdraft = 8
	// clientFraction is the part of all descriptors that clients hold at most, one in so many.
	clientFraction = 3
	// clientMargin is how many connections of clients may be open beyond that, since a closed one may be noticed late.
	clientMargin = 8
	// clientReserveFraction is the part of all descriptors that engines leave for clients that connect, one in so many.
	clientReserveFraction = 20
)

// maxClients returns how many connections of clients may be open.
func (s *Server) maxClients() int { return s.cfg.Sockets/clientFraction + clientMargin }

// clientReserve returns how many descriptors engines leave for clients that connect all at once.
func (s *Server) clientReserve() int { return s.cfg.Sockets / clientReserveFraction }

// freeDescriptors returns how many descriptors may still be opened; negative where the reserve is used.
func (s *Server) freeDescriptors() int {
	inUse := len(s.pool.connections) + len(s.listener.clients) + s.peering.Descriptors()
	return s.cfg.Sockets - reservedDescriptors - inUse
}
