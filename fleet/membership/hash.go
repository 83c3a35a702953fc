package membership

// fnvHash is FNV-1a over strings and numbers, with a finalizer so that sums of hashes are spread evenly.
type fnvHash uint64

const (
	fnvOffset fnvHash = 14695981039346656037
	fnvPrime  fnvHash = 1099511628211
)

func (h fnvHash) addString(s string) fnvHash {
	for i := range len(s) {
		h = (h ^ fnvHash(s[i])) * fnvPrime
	}
	return (h ^ 0xff) * fnvPrime // marks the end of the string
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

// digest returns an entry's share of a view's digest, which is the sum over all entries: a change updates it at
// constant cost.
func (e *Entry) digest() uint64 {
	h := fnvOffset.addString(e.Name).addString(e.Zone).addString(e.Home)
	return h.addUint64(e.Incarnation).addUint64(uint64(e.Role)<<8 | uint64(e.State)).finalize()
}

// digest returns an entry's share of a table's digest. Times are left out, as they differ by the delay of messages.
func (e *tableEntry) digest() uint64 {
	h := fnvOffset.addString(e.name).addString(e.zone).addUint64(e.incarnation).addUint64(uint64(e.state))
	if e.servesView {
		h = h.addUint64(1)
	}
	for _, incarnation := range e.supersededIncarnations {
		h = h.addUint64(incarnation)
	}
	return h.finalize()
}

// rendezvousWeight orders control members for one front end (rendezvous hashing): each front end has an order of its
// own, and a control member that comes or goes moves only the front ends that had it first.
func rendezvousWeight(name, control string, salt uint64) uint64 {
	return fnvOffset.addString(name).addString(control).addUint64(salt).finalize()
}
