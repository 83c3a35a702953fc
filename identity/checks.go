package identity

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"chutechute/internal/monotime"
)

// checks is the budget for checking signatures, which is what a flood of bad tokens would use up. Each address has its
// own, and of that for all a half is kept for addresses from which a good token has come.
type checks struct {
	rate   float64
	each   *simplelru.LRU[uint64, *address]
	all    bucket // for addresses that are not known yet
	proven bucket
}

// address is a client's address.
type address struct {
	bucket
	proven bool
}

func newChecks(l Limits) checks {
	each, err := simplelru.NewLRU[uint64, *address](l.Addresses, nil)
	if err != nil {
		panic(err) // the size was checked
	}
	half := l.ChecksPerSecond / 2
	return checks{rate: l.ChecksPerAddress, each: each, all: bucket{rate: half, burst: half},
		proven: bucket{rate: half, burst: half}}
}

// take takes a check of a signature for an address, if its budget and that for all have one.
func (c *checks) take(addr uint64, now monotime.Micros) (*address, bool) {
	a, ok := c.each.Get(addr)
	if !ok {
		a = &address{bucket: bucket{rate: c.rate, burst: c.rate}}
		c.each.Add(addr, a)
	}
	if !a.take(now) {
		return a, false
	}
	if a.proven && c.proven.take(now) {
		return a, true
	}
	return a, c.all.take(now)
}
