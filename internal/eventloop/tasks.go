package eventloop

import "sync"

// Tasks is a queue of functions that other goroutines add and that the loop runs in its next turn. The zero value is an
// empty queue.
type Tasks struct {
	mutex  sync.Mutex
	queued []func()
}

// Post queues a task. It may be called from any goroutine.
func (t *Tasks) Post(task func()) {
	t.mutex.Lock()
	t.queued = append(t.queued, task)
	t.mutex.Unlock()
}

// Run runs the queued tasks in the order in which they were added. Tasks that these add wait for the next Run.
func (t *Tasks) Run() {
	t.mutex.Lock()
	tasks := t.queued
	t.queued = nil
	t.mutex.Unlock()
	for _, task := range tasks {
		task()
	}
}
