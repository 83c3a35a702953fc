package idempotency

// Phase is the progress of an idempotent request.
type Phase uint64

// The phases.
const (
	Unregistered Phase = iota // the registry has no record of the request
	Waiting                   // registered; no attempt was authorized yet
	Started                   // an attempt was authorized and may have started
	Served                    // finished with rows
	Failed                    // finished without rows; an attempt may have run
)

// Finished reports whether the request has an outcome.
func (p Phase) Finished() bool { return p >= Served }

// String returns the name of the phase on status pages.
func (p Phase) String() string {
	return [...]string{"none", "waiting", "started", "served", "failed"}[min(p, Failed)]
}
