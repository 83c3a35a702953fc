package membership

import "slices"

const (
	// maxLogBatches limits the batches in a log. At 20 batches a second they cover nearly a minute of continuous
	// changes, far more than the heartbeat interval.
	maxLogBatches = 1024
	// maxLogNames limits the names in a log. The names of a full view fit; sending more than those would cost more than
	// a snapshot.
	maxLogNames = 16384
)

// logBatch holds the names that a batch changed and the digest after the batch.
type logBatch struct {
	names  []string
	digest uint64
}

// changeLog holds the last batches of changes, for receivers that missed some. It stores only names, since a receiver
// is sent the current entries of those names.
type changeLog struct {
	baseSequence uint64 // the sequence before the oldest batch
	baseDigest   uint64 // the digest at baseSequence
	batches      []logBatch
	nameCount    int
}

// add appends a batch, which has the next sequence.
func (l *changeLog) add(names []string, digest uint64) {
	l.batches = append(l.batches, logBatch{names, digest})
	l.nameCount += len(names)
	for len(l.batches) > maxLogBatches || l.nameCount > maxLogNames {
		l.removeOldest()
	}
}

func (l *changeLog) removeOldest() {
	l.nameCount -= len(l.batches[0].names)
	l.baseDigest = l.batches[0].digest
	l.batches[0] = logBatch{}
	l.batches = l.batches[1:]
	l.baseSequence++
}

// digestAt returns the digest at a sequence; ok is false if the log does not cover it.
func (l *changeLog) digestAt(sequence uint64) (digest uint64, ok bool) {
	switch {
	case sequence < l.baseSequence || sequence > l.baseSequence+uint64(len(l.batches)):
		return 0, false
	case sequence == l.baseSequence:
		return l.baseDigest, true
	}
	return l.batches[sequence-l.baseSequence-1].digest, true
}

// changedSince returns the names that changed after a sequence, sorted and without duplicates; ok is false if the log
// does not cover the sequence.
func (l *changeLog) changedSince(sequence uint64) (names []string, ok bool) {
	if _, ok := l.digestAt(sequence); !ok {
		return nil, false
	}
	for _, batch := range l.batches[sequence-l.baseSequence:] {
		names = append(names, batch.names...)
	}
	slices.Sort(names)
	return slices.Compact(names), true
}
