package wal

import (
	"sync"

	"chutechute/fleet/replication"
)

// Writer writes saves to a Store in a goroutine of its own, so that syncs do not delay the event loop. Saves that are
// queued during a sync are written in one batch with the next sync (group commit).
type Writer struct {
	store       *Store
	onPersisted func(token uint64, err error)

	mu      sync.Mutex
	queue   []replication.Save
	closing bool

	wake    chan struct{} // has an element if queue or closing may have changed
	stopped chan struct{} // closed when the goroutine has ended
}

// NewWriter starts a Writer. It calls onPersisted for each save, in order, from the Writer's goroutine, with the
// error of Store.Write.
func NewWriter(store *Store, onPersisted func(token uint64, err error)) *Writer {
	w := &Writer{
		store:       store,
		onPersisted: onPersisted,
		wake:        make(chan struct{}, 1),
		stopped:     make(chan struct{}),
	}
	go w.run()
	return w
}

// Enqueue queues a save. The queue needs no limit, because a replica accepts only a limited number of bytes that are
// not persisted yet.
func (w *Writer) Enqueue(save replication.Save) {
	w.mu.Lock()
	w.queue = append(w.queue, save)
	w.mu.Unlock()
	w.signal()
}

// signal wakes the goroutine.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

func (w *Writer) run() {
	defer close(w.stopped)
	for range w.wake {
		batch, closing := w.takeQueue()
		w.write(batch)
		if closing {
			return
		}
	}
}

func (w *Writer) takeQueue() (batch []replication.Save, closing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch, w.queue = w.queue, nil
	return batch, w.closing
}

func (w *Writer) write(batch []replication.Save) {
	if len(batch) == 0 {
		return
	}
	err := w.store.Write(batch)
	for _, save := range batch {
		w.onPersisted(save.Token, err)
	}
}

// Close writes the queued saves, ends the goroutine, and closes the Store.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.signal()
	<-w.stopped
	return w.store.Close()
}
