package membership

import "slices"

const (
	// maxLogBatches bounds a log: at 20 batches a second nearly a minute of steady change, far more than a heartbeat's
	// interval.
	maxLogBatches = 1024
	// maxLogNames bounds the names in a log; a full view's names fit, and more would cost more than a snapshot.
	maxLogNames = 16384
)

// logBatch is one batch: the names that it changed, and the digest after it.
type logBatch struct {
	names  []string
	digest uint64
}

// changeLog is the last batches of changes, for receivers that missed some. It has names only, as what is sent is the
// present state of those names.
type changeLog struct {
	baseSequence uint64 // the sequence before the oldest batch
	baseDigest   uint64 // the digest at baseSequence
	batches      []logBatch
	nameCount    int
}

// add appends a batch, whose sequence is one more than the last.
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

// digestAt returns the digest after the batch of a sequence; ok is false if the log does not have it.
func (l *changeLog) digestAt(sequence uint64) (digest uint64, ok bool) {
	switch {
	case sequence < l.baseSequence || sequence > l.baseSequence+uint64(len(l.batches)):
		return 0, false
	case sequence == l.baseSequence:
		return l.baseDigest, true
	}
	return l.batches[sequence-l.baseSequence-1].digest, true
}

// changedSince returns the names changed after a sequence, sorted and each once; ok is false if the log does not reach
// back to it.
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
