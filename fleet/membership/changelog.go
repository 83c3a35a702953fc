package membership

import "slices"

const (
	// mostBatches bounds a log: at 20 batches a second nearly a minute of steady change, far above a heartbeat.
	mostBatches = 1024
	// mostLogged bounds the names in a log; a whole view's names fit, and more would cost more than a snapshot.
	mostLogged = 16384
)

// logged is one batch: which names it changed, and the digest after it.
type logged struct {
	names  []string
	digest uint64
}

// changeLog is the last batches of changes, for those that missed some. It holds names only, as what is sent is how they are now.
type changeLog struct {
	first   uint64 // the sequence before the oldest batch
	start   uint64 // the digest at first
	batches []logged
	names   int
}

// add notes a batch, whose sequence is one more than the last.
func (l *changeLog) add(names []string, digest uint64) {
	l.batches = append(l.batches, logged{names, digest})
	l.names += len(names)
	for len(l.batches) > mostBatches || l.names > mostLogged {
		l.names -= len(l.batches[0].names)
		l.start = l.batches[0].digest
		l.batches[0] = logged{}
		l.batches = l.batches[1:]
		l.first++
	}
}

// digestAt is the digest after the batch of a sequence; ok is false where the log does not reach it.
func (l *changeLog) digestAt(sequence uint64) (digest uint64, ok bool) {
	switch {
	case sequence < l.first || sequence > l.first+uint64(len(l.batches)):
		return 0, false
	case sequence == l.first:
		return l.start, true
	}
	return l.batches[sequence-l.first-1].digest, true
}

// after gives the names changed after a sequence, in order and each once; ok is false where the log does not reach back.
func (l *changeLog) after(sequence uint64) (names []string, ok bool) {
	if _, ok := l.digestAt(sequence); !ok {
		return nil, false
	}
	for _, batch := range l.batches[sequence-l.first:] {
		names = append(names, batch.names...)
	}
	slices.Sort(names)
	return slices.Compact(names), true
}
