package budget

import (
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
	"chutechute/internal/proto"
)

// op is what a command does.
type op uint64

const (
	opReport op = iota + 1 // a holder says what it holds and wants
	opLapse                // by the leader: a holder's lease is over for certain
	opFree                 // by the leader: what it had begun is over for certain, up to a span
	opOpen                 // by the leader: nothing that an earlier record granted is left
)

// command is one entry of the record.
type command struct {
	Op      op
	Name    string
	N       uint64 // the report's number, higher with each; of a lapse and of a freeing the last that was carried out
	Adopted uint64 // the grant in force at the holder; none: it holds no lease, and takes no answer to an earlier report
	Static  uint64 // the grant whose static parts are in force at the holder
	Base    uint64 // the report that this one tells the changes to; 0: it tells all
	Leaving bool   // it spends nothing any more, of the static part neither
	Version uint64 // of the holder's settings
	Set     []byte // where its settings may be newer than the record's
	Wants   []want
	Who     replication.Incarnation // of a lapse and of a freeing
	Span    monotime.Micros         // of a freeing: what lingers no longer than that is over
	Certain bool                    // of a freeing: its process is no more, so that its static part is free too
	Budget  string                  // of an opening
}

// want is one line of a report.
type want struct {
	Budget, Subject string
	Want            int64 // thousandths, a second for rates
	InUse           int64 // held, or spent within the window, beyond the static part, where that is more than what is leased
}

func (c *command) encode() []byte {
	b := make([]byte, 0, 64+len(c.Set)+32*len(c.Wants))
	b = proto.Uint(b, 1, uint64(c.Op))
	b = proto.String(b, 2, c.Name)
	b = proto.Uint(b, 3, c.N)
	b = proto.Uint(b, 4, c.Adopted)
	b = proto.Bool(b, 5, c.Leaving)
	b = proto.Uint(b, 6, c.Version)
	b = proto.Bytes(b, 7, c.Set)
	var m []byte
	for _, w := range c.Wants {
		m = proto.String(m[:0], 1, w.Budget)
		m = proto.String(m, 2, w.Subject)
		m = proto.Uint(m, 3, uint64(max(0, w.Want)))
		m = proto.Uint(m, 4, uint64(max(0, w.InUse)))
		b = proto.Message(b, 8, m)
	}
	b = proto.Uint(b, 9, uint64(c.Who))
	b = proto.Uint(b, 10, uint64(c.Span))
	b = proto.Bool(b, 11, c.Certain)
	b = proto.String(b, 12, c.Budget)
	b = proto.Uint(b, 13, c.Static)
	return proto.Uint(b, 14, c.Base)
}

func decodeCommand(b []byte) (c command, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			c.Op = op(f.Uint)
		case 2:
			c.Name = f.Text()
		case 3:
			c.N = f.Uint
		case 4:
			c.Adopted = f.Uint
		case 5:
			c.Leaving = f.Uint != 0
		case 6:
			c.Version = f.Uint
		case 7:
			c.Set = f.Data
		case 8:
			var w want
			err := proto.Each(f.Data, func(f proto.Field) error {
				switch f.Number {
				case 1:
					w.Budget = f.Text()
				case 2:
					w.Subject = f.Text()
				case 3:
					w.Want = min(bounded(f.Uint), mostWhole)
				case 4:
					w.InUse = min(bounded(f.Uint), mostWhole)
				}
				return nil
			})
			c.Wants = append(c.Wants, w)
			return err
		case 9:
			c.Who = replication.Incarnation(f.Uint)
		case 10:
			c.Span = bounded(f.Uint)
		case 11:
			c.Certain = f.Uint != 0
		case 12:
			c.Budget = f.Text()
		case 13:
			c.Static = f.Uint
		case 14:
			c.Base = f.Uint
		}
		return nil
	})
	return c, err
}

// answer is what a report is told.
type answer struct {
	N       uint64 // of the report
	Late    bool   // a later report was carried out before it, or not the one that it tells the changes to: it counts for nothing
	Over    bool   // the lease that it names is over: it is to be dropped
	Unknown bool   // the record knows nothing of the holder: its static part is to be dropped too
	Index   uint64 // of the grant
	Static  uint64 // of the grant of the static parts
	Lease   monotime.Micros
	Version uint64
	Set     []byte   // where the record's is not the holder's
	Differs bool     // the holder's settings have the record's version and say something else
	Parts   []part   // of what is leased those that differ from the grant that the report names; all static ones
	Waits   []string // budgets that were added in service and are not in force yet
}

// part is what a holder may spend of one budget; of its static part without a subject.
type part struct {
	Budget, Subject string
	Static          bool
	Amount          Amount
}

func (a *answer) encode() []byte {
	b := make([]byte, 0, 64+len(a.Set)+32*len(a.Parts))
	b = proto.Uint(b, 1, a.N)
	b = proto.Bool(b, 2, a.Late)
	b = proto.Bool(b, 3, a.Over)
	b = proto.Uint(b, 4, a.Index)
	b = proto.Uint(b, 5, uint64(a.Lease))
	b = proto.Uint(b, 6, a.Version)
	b = proto.Bytes(b, 7, a.Set)
	b = proto.Bool(b, 8, a.Differs)
	b = proto.Uint(b, 10, a.Static)
	b = proto.Bool(b, 12, a.Unknown)
	for _, name := range a.Waits {
		b = proto.String(b, 11, name)
	}
	var m []byte
	for _, p := range a.Parts {
		m = proto.String(m[:0], 1, p.Budget)
		m = proto.String(m, 2, p.Subject)
		m = proto.Bool(m, 3, p.Static)
		m = proto.Uint(m, 4, uint64(p.Amount.Capacity))
		m = proto.Uint(m, 5, uint64(p.Amount.Rate))
		b = proto.Message(b, 9, m)
	}
	return b
}

func decodeAnswer(b []byte) (a answer, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			a.N = f.Uint
		case 2:
			a.Late = f.Uint != 0
		case 3:
			a.Over = f.Uint != 0
		case 4:
			a.Index = f.Uint
		case 5:
			a.Lease = bounded(f.Uint)
		case 6:
			a.Version = f.Uint
		case 7:
			a.Set = f.Copy()
		case 8:
			a.Differs = f.Uint != 0
		case 9:
			var p part
			err := proto.Each(f.Data, func(f proto.Field) error {
				switch f.Number {
				case 1:
					p.Budget = f.Text()
				case 2:
					p.Subject = f.Text()
				case 3:
					p.Static = f.Uint != 0
				case 4:
					p.Amount.Capacity = bounded(f.Uint)
				case 5:
					p.Amount.Rate = bounded(f.Uint)
				}
				return nil
			})
			a.Parts = append(a.Parts, p)
			return err
		case 10:
			a.Static = f.Uint
		case 11:
			a.Waits = append(a.Waits, f.Text())
		case 12:
			a.Unknown = f.Uint != 0
		}
		return nil
	})
	return a, err
}
