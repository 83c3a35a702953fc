package idempotency

import "slices"

// enqueue appends a record to the queue of its order key, if it has one.
func (r *Registry) enqueue(rec *record) {
	if rec.orderKey != "" {
		r.queues[rec.orderKey] = append(r.queues[rec.orderKey], rec)
	}
}

// dequeue removes a record from the queue of its order key. If it was first, the owner of the next one is notified that
// it may start.
func (r *Registry) dequeue(c *committedCommand, rec *record) {
	if rec.orderKey == "" {
		return
	}
	queue := r.queues[rec.orderKey]
	i := slices.Index(queue, rec)
	queue = slices.Delete(queue, i, i+1)
	if len(queue) == 0 {
		delete(r.queues, rec.orderKey)
		return
	}
	r.queues[rec.orderKey] = queue
	if i == 0 {
		c.Notify(queue[0].owner, queue[0].idempotencyKey)
	}
}

// isFirst reports whether a record has no order key, or is unfinished and the first in its queue.
func (r *Registry) isFirst(rec *record) bool {
	return rec.orderKey == "" || !rec.phase.Finished() && r.queues[rec.orderKey][0] == rec
}
