package idempotency

import (
	"fmt"

	"chutechute/fleet/replication"
	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

// AppendSnapshot appends the encoding of all records to b, in ascending order of index.
func (r *Registry) AppendSnapshot(b []byte) []byte {
	f := fieldcodec.Encode(b)
	for _, rec := range r.ordered {
		fieldcodec.Message(&f, 1, rec, (*record).fields)
	}
	return f.Bytes()
}

// Restore replaces the state by that of a snapshot. Timeouts restart from now, so nothing expires early. The error
// wraps fieldcodec.ErrMalformed; the registry then has the records before the malformed one.
func (r *Registry) Restore(b []byte, now monotime.Micros) error {
	*r = *NewRegistry(r.options)
	snapshot := fieldcodec.Decode(b)
	for snapshot.Next() { // every field of a snapshot is a record
		rec, err := decodeRecord(snapshot.Data(), now)
		if err != nil {
			return fmt.Errorf("idempotency: decode record: %w", err)
		}
		r.add(rec)
	}
	if err := snapshot.Err(); err != nil {
		return fmt.Errorf("idempotency: decode snapshot: %w", err)
	}
	return nil
}

func decodeRecord(b []byte, now monotime.Micros) (*record, error) {
	rec := &record{registeredAt: now, changedAt: now}
	f := fieldcodec.Decode(b)
	for f.Next() {
		rec.fields(&f)
	}
	return rec, f.Err()
}

// fields encodes or decodes the fields of a record in a snapshot.
func (rec *record) fields(f *fieldcodec.Fields) {
	f.String(1, &rec.idempotencyKey)
	f.String(2, &rec.orderKey)
	f.String(3, &rec.tenant)
	f.String(4, &rec.class)
	f.Copied(5, &rec.statementDigest)
	f.String(6, &rec.requestID)
	fieldcodec.Uint(f, 7, &rec.clientTimeout)
	fieldcodec.Uint(f, 8, &rec.index)
	fieldcodec.Uint(f, 9, &rec.owner)
	fieldcodec.Uint(f, 10, &rec.epoch)
	fieldcodec.Uint(f, 11, &rec.phase)
	fieldcodec.Messages(f, 12, &rec.attempts, 0, nil, (*attempt).fields)
	f.Copied(13, &rec.rows)
	rec.watcherFields(f)
	fieldcodec.Uint(f, 15, &rec.changedIndex)
}

// watcherFields encodes or decodes the repeated field of the watchers.
func (rec *record) watcherFields(f *fieldcodec.Fields) {
	const number = 14
	if f.Decoding(number) {
		rec.watchers = append(rec.watchers, replication.Incarnation(f.Value()))
	}
	if f.Encoding() {
		for i := range rec.watchers {
			fieldcodec.Uint(f, number, &rec.watchers[i])
		}
	}
}

// fields encodes or decodes the fields of an attempt in a snapshot.
func (a *attempt) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &a.number)
	f.String(2, &a.engine)
	f.String(3, &a.requestID)
	fieldcodec.Uint(f, 4, &a.owner)
}
