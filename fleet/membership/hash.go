package membership

// fnvHash is the state of an FNV-1a hash over strings and numbers. A finalizer is applied to the result so that sums of
// hashes are evenly distributed.
type fnvHash uint64

const (
	fnvOffset fnvHash = 14695981039346656037
	fnvPrime  fnvHash = 1099511628211
)

func (h fnvHash) addString(s string) fnvHash {
	for i := range len(s) {
		h = (h ^ fnvHash(s[i])) * fnvPrime
	}
	return (h ^ 0xff) * fnvPrime // end-of-string marker
}

func (h fnvHash) addUint64(v uint64) fnvHash {
	for range 8 {
		h = (h ^ fnvHash(v&0xff)) * fnvPrime
		v >>= 8
	}
	return h
}

// finalize applies the finalizer of SplitMix64.
func (h fnvHash) finalize() uint64 {
	x := uint64(h)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// digest returns the hash of an entry. A view's digest is the sum of the hashes of its entries, so that a change
// updates it in constant time.
func (e *Entry) digest() uint64 {
	h := fnvOffset.addString(e.Name).addString(e.Zone).addString(e.Home)
	return h.addUint64(e.Incarnation).addUint64(uint64(e.Role)<<8 | uint64(e.State)).finalize()
}

// digest returns the hash of an entry. A table's digest is the sum of the hashes of its entries. Times are left out,
// since each control member's estimate of them differs by message delays.
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

// rendezvousWeight returns the weight by which a front end ranks a control member (rendezvous hashing). Each front end
// has its own order, and adding or removing a control member moves only the front ends that rank it first.
func rendezvousWeight(name, control string, salt uint64) uint64 {
	return fnvOffset.addString(name).addString(control).addUint64(salt).finalize()
}
