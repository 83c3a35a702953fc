package server

// Allocation of the file descriptors that the configuration allows.
const (
	// reservedDescriptors are left for the event loop, the discovery watch, the log and files opened by the Go runtime.
	reservedDescriptors = 24
	// descriptorOverdraft is how many of the reserved descriptors clients may use temporarily if no other connection
	// can be closed for them.
	descriptorOverdraft = 8
	// clientDivisor limits clients to this fraction, 1/n, of all descriptors.
	clientDivisor = 3
	// clientMargin is how many client connections may be open beyond that limit, since a closed connection may be
	// noticed late.
	clientMargin = 8
	// clientReserveDivisor sets the fraction, 1/n, of all descriptors that engine connections leave for new clients.
	clientReserveDivisor = 20
)

// maxClients returns the maximum number of client connections.
func (s *Server) maxClients() int { return s.cfg.Sockets/clientDivisor + clientMargin }

// clientReserve returns how many descriptors engine connections leave for clients that connect at the same time.
func (s *Server) clientReserve() int { return s.cfg.Sockets / clientReserveDivisor }

// availableDescriptors returns how many more descriptors may be opened. It is negative if reserved ones are in use.
func (s *Server) availableDescriptors() int {
	inUse := len(s.pool.connections) + len(s.listener.clients) + s.peering.Descriptors()
	return s.cfg.Sockets - reservedDescriptors - inUse
}
