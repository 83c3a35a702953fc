package membership

import "chutechute/internal/monotime"

// bucketCount is into how many parts a view is divided for finding what differs: at 2,700 entries one differing entry costs some 42.
const bucketCount = 64

// fnvHash is FNV-1a over texts and numbers, mixed at the end so that sums of hashes are spread evenly.
type fnvHash uint64

const (
	fnvOffset fnvHash = 14695981039346656037
	fnvPrime  fnvHash = 1099511628211
)

func (h fnvHash) addString(s string) fnvHash {
	for i := range len(s) {
		h = (h ^ fnvHash(s[i])) * fnvPrime
	}
	return (h ^ 0xff) * fnvPrime // where it ends
}

func (h fnvHash) addUint64(v uint64) fnvHash {
	for range 8 {
		h = (h ^ fnvHash(v&0xff)) * fnvPrime
		v >>= 8
	}
	return h
}

// finalize is the finalizer of splitmix64.
func (h fnvHash) finalize() uint64 {
	x := uint64(h)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// bucketOf is the part of a view that a name lies in.
func bucketOf(name string) int { return int(fnvOffset.addString(name).finalize() % bucketCount) }

// digest is an entry's share of a view's digest, which is the sum over all entries: it follows each change at constant cost.
func (e *Entry) digest() uint64 {
	return fnvOffset.addString(e.Name).addString(e.Zone).addString(e.Home).addUint64(e.Incarnation).addUint64(uint64(e.Role)<<8 | uint64(e.State)).finalize()
}

// digest is a row's share of a table's sum. Ages are left out, as they differ by the time that a message takes.
func (r *tableEntry) digest() uint64 {
	h := fnvOffset.addString(r.name).addString(r.zone).addUint64(r.incarnation).addUint64(uint64(r.state))
	if r.servesView {
		h = h.addUint64(1)
	}
	for _, past := range r.supersededIncarnations {
		h = h.addUint64(past)
	}
	return h.finalize()
}

// rendezvousWeight orders control members for one front end (rendezvous hashing): each front end has an order of its own, and one that
// comes or goes moves only those that had it first.
func rendezvousWeight(name, control string, salt uint64) uint64 {
	return fnvOffset.addString(name).addString(control).addUint64(salt).finalize()
}

// splitMix64 is splitmix64, for jitter.
type splitMix64 uint64

func (r *splitMix64) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	return fnvHash(*r).finalize()
}

// between is between low and high.
func (r *splitMix64) between(low, high monotime.Micros) monotime.Micros {
	if high <= low {
		return low
	}
	return low + monotime.Micros(r.next()%uint64(high-low))
}
