package idempotency

import "fmt"

// RecordStatus is the state of a record on status pages.
type RecordStatus struct {
	IdempotencyKey string   `json:"dedupe"`
	OrderKey       string   `json:"key,omitempty"`
	Class          string   `json:"class"`
	Phase          string   `json:"phase"`
	Owner          string   `json:"owner"` // its incarnation in hexadecimal
	Epoch          uint64   `json:"epoch"`
	Index          uint64   `json:"place"`
	Attempts       []string `json:"starts,omitempty"` // the authorized attempts
	Bytes          int      `json:"bytes"`            // size of the rows
}

// Records returns the status of all records, in ascending order of index. The list is never nil, so that it is encoded
// as an empty JSON array.
func (r *Registry) Records() []RecordStatus {
	list := make([]RecordStatus, 0, len(r.ordered))
	for _, rec := range r.ordered {
		list = append(list, rec.status())
	}
	return list
}

func (rec *record) status() RecordStatus {
	status := RecordStatus{
		IdempotencyKey: rec.idempotencyKey,
		OrderKey:       rec.orderKey,
		Class:          rec.class,
		Phase:          rec.phase.String(),
		Owner:          fmt.Sprintf("%016x", uint64(rec.owner)),
		Epoch:          rec.epoch,
		Index:          rec.index,
		Bytes:          len(rec.rows),
	}
	for _, a := range rec.attempts {
		status.Attempts = append(status.Attempts, fmt.Sprintf("%d on %s as %s", a.number, a.engine, a.requestID))
	}
	return status
}
