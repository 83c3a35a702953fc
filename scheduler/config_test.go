package scheduler

import "testing"

// New returns an error for a configuration without front ends, classes or threads.
func TestNewRejectsInvalidConfig(t *testing.T) {
	noThreads := testConfig()
	noThreads.Classes[0].Threads = 0
	for name, cfg := range map[string]Config{"empty": {}, "no classes": {FrontEnds: 1}, "no threads": noThreads} {
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
