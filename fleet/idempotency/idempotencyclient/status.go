package idempotencyclient

// RecordStatus is a record tracked here, as operators see it.
type RecordStatus struct {
	IdempotencyKey string `json:"dedupe"`
	OrderKey       string `json:"key,omitempty"`
	Requests       int    `json:"requests"` // here, that wait for it
	Owned          bool   `json:"mine"`
	Phase          string `json:"phase"`
	Epoch          uint64 `json:"epoch"`
	Dispatched     bool   `json:"runs"`   // the scheduler has one of its requests
	Registering    bool   `json:"asking"` // a Register is pending
	Completing     bool   `json:"ending"` // a Complete is pending
	Registered     bool   `json:"noted"`  // the first Register was answered
}

// Records returns the status of all records tracked here, in the order in which they came. The list is never nil.
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
