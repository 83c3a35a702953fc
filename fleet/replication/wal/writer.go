package wal

import (
	"sync"

	"chutechute/fleet/replication"
)

// Writer writes saves in a goroutine of its own, so that no sync holds up the loop. What waits while one sync runs goes with
// the next: one commit for all of it.
type Writer struct {
	store  *Store
	stored func(token uint64, err error) // from the writer's goroutine
	mu     sync.Mutex
	list   []replication.Save
	wake   chan struct{}
	done   chan struct{}
	ended  bool
}

// NewWriter begins; stored is called for each save, in order.
func NewWriter(s *Store, stored func(token uint64, err error)) *Writer {
	w := &Writer{store: s, stored: stored, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Enqueue queues a save. The record bounds what waits: it commits nothing that is not stored.
func (w *Writer) Enqueue(s replication.Save) {
	w.mu.Lock()
	w.list = append(w.list, s)
	w.mu.Unlock()
	w.nudge()
}

func (w *Writer) nudge() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		batch, ended := w.list, w.ended
		w.list = nil
		w.mu.Unlock()
		if len(batch) > 0 {
			err := w.store.Write(batch)
			for _, s := range batch {
				w.stored(s.Token, err)
			}
		}
		if ended {
			return
		}
	}
}

// Close writes what is queued, ends the goroutine and lets go of the folder.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	w.nudge()
	<-w.done
	return w.store.Close()
}
