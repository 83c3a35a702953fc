package idempotency

// Phase is how far an idempotent request has come.
type Phase uint64

// The phases.
const (
	Unregistered Phase = iota // the registry has no record of the request
	Waiting                   // registered; no attempt was authorized
	Started                   // an attempt was authorized and may have started
	Served                    // finished, with its rows
	Failed                    // finished, and may have run
)

// Finished reports whether the request has its outcome.
func (p Phase) Finished() bool { return p >= Served }

// String returns the phase as operators see it.
func (p Phase) String() string {
	return [...]string{"none", "waiting", "started", "served", "failed"}[min(p, Failed)]
}
