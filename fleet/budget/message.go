package budget

import (
	"chutechute/fleet/replication"
	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

// The state machine's number and the version of its commands.
const (
	stateMachineID = 2
	commandVersion = 1
)

// operation is what a command does. The numbers are those on the wire.
type operation uint64

const (
	opReport  operation = iota + 1 // a lease holder reports its demand and the grant in force at it
	opExpire                       // by the leader: a lease has certainly expired
	opRelease                      // by the leader: what a lease holder had in use has certainly finished
	opOpen                         // by the leader: grants of a budget by an earlier authority are no longer in force
)

// command is a command in the replicated log. Each operation uses only some of the fields.
type command struct {
	Operation operation

	// Fields of opReport. opExpire and opRelease set Report too: they only take effect if that was the last report
	// from the lease holder.
	Name        string // of the front end
	Report      uint64 // the report's number, which increases
	Grant       uint64 // the grant in force at the lease holder; 0: it has no lease
	StaticGrant uint64 // the grant of static allocations in force at the lease holder
	BaseReport  uint64 // the report relative to which this one lists changes; 0: it lists everything
	Leaving     bool   // the lease holder has stopped spending, from its static allocations too
	Version     uint64 // of the lease holder's settings; for opOpen of the authority's
	Set         []byte // the lease holder's encoded settings, if they may be newer than the authority's
	Demands     []subjectDemand

	// Fields of opExpire and opRelease.
	Holder     replication.Incarnation
	DrainTime  monotime.Micros // opRelease: work with at most this drain time has finished
	Superseded bool            // opRelease: the incarnation has ended, so its static allocations are released too

	// Field of opOpen.
	Budget string
}

// subjectDemand is the part of a report about one subject's budget, in thousandths of a unit.
type subjectDemand struct {
	Budget, Subject string
	Demand          int64 // per second for rates
	InUse           int64 // in use, or spent within the window, beyond the static allocation; 0 if the lease covers it
}

func (d *subjectDemand) key() subjectKey { return subjectKey{d.Budget, d.Subject} }

// Estimated sizes of encoded messages in bytes, for the capacity of buffers: of a message without its lists, and of a
// list entry.
const (
	messageSizeHint = 64
	entrySizeHint   = 32
)

func (c *command) encode() []byte {
	f := fieldcodec.Encode(make([]byte, 0, messageSizeHint+len(c.Set)+entrySizeHint*len(c.Demands)))
	c.fields(&f)
	return f.Bytes()
}

func decodeCommand(b []byte) (c command, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		c.fields(&f)
	}
	return c, f.Err()
}

func (c *command) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &c.Operation)
	f.String(2, &c.Name)
	fieldcodec.Uint(f, 3, &c.Report)
	fieldcodec.Uint(f, 4, &c.Grant)
	f.Bool(5, &c.Leaving)
	fieldcodec.Uint(f, 6, &c.Version)
	f.Shared(7, &c.Set)
	fieldcodec.Messages(f, 8, &c.Demands, 0, nil, (*subjectDemand).fields)
	fieldcodec.Uint(f, 9, &c.Holder)
	fieldcodec.IntUpTo(f, 10, &c.DrainTime, maxNumber)
	f.Bool(11, &c.Superseded)
	f.String(12, &c.Budget)
	fieldcodec.Uint(f, 13, &c.StaticGrant)
	fieldcodec.Uint(f, 14, &c.BaseReport)
}

func (d *subjectDemand) fields(f *fieldcodec.Fields) {
	f.String(1, &d.Budget)
	f.String(2, &d.Subject)
	fieldcodec.IntUpTo(f, 3, &d.Demand, maxTotal)
	fieldcodec.IntUpTo(f, 4, &d.InUse, maxTotal)
}

// reportResponse is the response to a report.
type reportResponse struct {
	Report           uint64 // the report's number
	OutOfOrder       bool   // ignored: a later report was applied already, or the base report was not the last one
	LeaseExpired     bool   // the lease of the grant in the report has expired and must not be used
	UnknownHolder    bool   // the authority has no record of the lease holder: its static allocations are void too
	Grant            uint64 // the log index of the grant
	StaticGrant      uint64 // the log index of the grant of the static allocations
	Lease            monotime.Micros
	Version          uint64          // of the authority's settings
	Set              []byte          // the authority's settings, if they differ from the lease holder's
	SettingsConflict bool            // the lease holder's settings are incompatible, or differ under the same version
	Amounts          []grantedAmount // leased amounts that differ from the grant in the report; all static ones
	NotInForce       []string        // budgets that were added in service and are not in force yet
}

// grantedAmount is what a lease holder may spend of one subject's budget, by lease or as a static allocation.
type grantedAmount struct {
	Budget, Subject string
	Static          bool
	Amount          Amount
}

func (r *reportResponse) encode() []byte {
	f := fieldcodec.Encode(make([]byte, 0, messageSizeHint+len(r.Set)+entrySizeHint*len(r.Amounts)))
	r.fields(&f)
	return f.Bytes()
}

func decodeReportResponse(b []byte) (r reportResponse, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		r.fields(&f)
	}
	return r, f.Err()
}

// fields lists the fields in encoding order, which has to stay as it is and is not that of the field numbers.
func (r *reportResponse) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &r.Report)
	f.Bool(2, &r.OutOfOrder)
	f.Bool(3, &r.LeaseExpired)
	fieldcodec.Uint(f, 4, &r.Grant)
	fieldcodec.IntUpTo(f, 5, &r.Lease, maxNumber)
	fieldcodec.Uint(f, 6, &r.Version)
	f.Copied(7, &r.Set)
	f.Bool(8, &r.SettingsConflict)
	fieldcodec.Uint(f, 10, &r.StaticGrant)
	f.Bool(12, &r.UnknownHolder)
	f.Strings(11, &r.NotInForce)
	fieldcodec.Messages(f, 9, &r.Amounts, 0, nil, (*grantedAmount).fields)
}

func (g *grantedAmount) fields(f *fieldcodec.Fields) {
	f.String(1, &g.Budget)
	f.String(2, &g.Subject)
	f.Bool(3, &g.Static)
	fieldcodec.IntUpTo(f, 4, &g.Amount.Capacity, maxNumber)
	fieldcodec.IntUpTo(f, 5, &g.Amount.Rate, maxNumber)
}
