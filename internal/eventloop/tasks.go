package eventloop

import "sync"

// Tasks are what other goroutines hand to the loop, which runs them in its next turn.
type Tasks struct {
	mu   sync.Mutex
	list []func()
}

// Add hands work to the loop. It may be called from any goroutine.
func (p *Tasks) Add(work func()) {
	p.mu.Lock()
	p.list = append(p.list, work)
	p.mu.Unlock()
}

// Run runs what was handed over.
func (p *Tasks) Run() {
	p.mu.Lock()
	list := p.list
	p.list = nil
	p.mu.Unlock()
	for _, work := range list {
		work()
	}
}
