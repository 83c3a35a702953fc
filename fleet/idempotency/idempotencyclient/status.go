package idempotencyclient

// RecordStatus is the state of a tracked record on status pages.
type RecordStatus struct {
	IdempotencyKey string `json:"dedupe"`
	OrderKey       string `json:"key,omitempty"`
	Requests       int    `json:"requests"` // number of requests here that wait for it
	Owned          bool   `json:"mine"`     // whether this front end is the owner
	Phase          string `json:"phase"`
	Epoch          uint64 `json:"epoch"`
	Dispatched     bool   `json:"runs"`   // one of its requests was passed to the scheduler
	Registering    bool   `json:"asking"` // a Register is pending
	Completing     bool   `json:"ending"` // a Complete is pending
	Registered     bool   `json:"noted"`  // a Register was answered
}

// Records returns the status of all tracked records, in the order in which they were added. The list is never nil, so
// that it is encoded as an empty JSON array.
func (c *Client) Records() []RecordStatus {
	list := make([]RecordStatus, 0, len(c.ordered))
	for _, t := range c.ordered {
		list = append(list, t.status())
	}
	return list
}

func (t *trackedRecord) status() RecordStatus {
	return RecordStatus{
		IdempotencyKey: t.idempotencyKey,
		OrderKey:       t.orderKey,
		Requests:       len(t.registrations),
		Owned:          t.isOwner(),
		Phase:          t.phase.String(),
		Epoch:          t.epoch,
		Dispatched:     t.dispatched != nil,
		Registering:    t.registerProposal != 0,
		Completing:     t.completing,
		Registered:     t.registered,
	}
}
