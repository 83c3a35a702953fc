package membership

import "chutechute/internal/monotime"

// buckets is into how many parts a view is divided for finding what differs: at 2,700 entries one differing entry costs some 42.
const buckets = 64

// hash is FNV-1a over texts and numbers, mixed at the end so that sums of hashes are spread evenly.
type hash uint64

const (
	fnvOffset hash = 14695981039346656037
	fnvPrime  hash = 1099511628211
)

func (h hash) text(s string) hash {
	for i := range len(s) {
		h = (h ^ hash(s[i])) * fnvPrime
	}
	return (h ^ 0xff) * fnvPrime // where it ends
}

func (h hash) number(v uint64) hash {
	for range 8 {
		h = (h ^ hash(v&0xff)) * fnvPrime
		v >>= 8
	}
	return h
}

// mixed is the finalizer of splitmix64.
func (h hash) mixed() uint64 {
	x := uint64(h)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// bucketOf is the part of a view that a name lies in.
func bucketOf(name string) int { return int(fnvOffset.text(name).mixed() % buckets) }

// digest is an entry's share of a view's digest, which is the sum over all entries: it follows each change at constant cost.
func (e *Entry) digest() uint64 {
	return fnvOffset.text(e.Name).text(e.Zone).text(e.Home).number(e.Incarnation).number(uint64(e.Role)<<8 | uint64(e.State)).mixed()
}

// digest is a row's share of a table's sum. Ages are left out, as they differ by the time that a message takes.
func (r *row) digest() uint64 {
	h := fnvOffset.text(r.name).text(r.zone).number(r.incarnation).number(uint64(r.state))
	if r.serves {
		h = h.number(1)
	}
	for _, past := range r.past {
		h = h.number(past)
	}
	return h.mixed()
}

// weight orders control members for one front end (rendezvous hashing): each front end has an order of its own, and one that
// comes or goes moves only those that had it first.
func weight(name, control string, salt uint64) uint64 {
	return fnvOffset.text(name).text(control).number(salt).mixed()
}

// random is splitmix64, for jitter.
type random uint64

func (r *random) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	return hash(*r).mixed()
}

// span is between low and high.
func (r *random) span(low, high monotime.Micros) monotime.Micros {
	if high <= low {
		return low
	}
	return low + monotime.Micros(r.next()%uint64(high-low))
}
