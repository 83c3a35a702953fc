package budget

import "chutechute/internal/fieldcodec"

// maxNumber is the largest decoded number. Larger ones are reduced to it, so that sums and products cannot overflow.
const maxNumber = 1 << 56

// Encode returns the set's bytes. The encoding is deterministic: equal sets have equal bytes.
func (s *Set) Encode() []byte {
	f := fieldcodec.Encode(nil)
	s.fields(&f)
	return f.Bytes()
}

// DecodeSet decodes a set and checks it. The error wraps fieldcodec.ErrMalformed or ErrInvalidSet.
func DecodeSet(b []byte) (*Set, error) {
	s := &Set{}
	f := fieldcodec.Decode(b)
	for f.Next() {
		s.fields(&f)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, s.Check()
}

func (s *Set) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &s.Version)
	fieldcodec.IntUpTo(f, 2, &s.Lease, maxNumber)
	fieldcodec.IntUpTo(f, 3, &s.MaxFrontEnds, maxNumber)
	fieldcodec.Messages(f, 4, &s.Specs, 0, nil, (*Spec).fields)
}

func (s *Spec) fields(f *fieldcodec.Fields) {
	f.String(1, &s.Name)
	fieldcodec.IntUpTo(f, 2, &s.Kind, maxNumber)
	fieldcodec.IntUpTo(f, 3, &s.Total.Capacity, maxNumber)
	fieldcodec.IntUpTo(f, 4, &s.Total.Rate, maxNumber)
	fieldcodec.IntUpTo(f, 5, &s.Window, maxNumber)
	fieldcodec.IntUpTo(f, 6, &s.MaxAttemptDuration, maxNumber)
	fieldcodec.IntUpTo(f, 7, &s.StaticShare, maxNumber)
	fieldcodec.IntUpTo(f, 8, &s.NewcomerReserve, maxNumber)
	fieldcodec.IntUpTo(f, 9, &s.Floor, maxNumber)
	fieldcodec.IntUpTo(f, 10, &s.MinAllocation, maxNumber)
	fieldcodec.Messages(f, 11, &s.Weights, 0, nil, (*Weight).fields)
	f.Copied(12, &s.Scope)
}

func (w *Weight) fields(f *fieldcodec.Fields) {
	f.String(1, &w.FrontEnd)
	fieldcodec.IntUpTo(f, 2, &w.Thousandths, maxNumber)
}
