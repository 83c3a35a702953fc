package testharness

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/internal/history"
	"chutechute/internal/testharness/site"
)

// Fleet is a fleet of front ends, with the engines that they share. Each front end is a process with a loopback address
// of its own. Connections from one front end to another pass through a proxy. What clients and engines observe is
// recorded in a history.
type Fleet struct {
	T             *testing.T
	Program       string // path of the executable
	SiteName      string // unique, so that processes of different fleets never connect to each other
	FrontEnds     []*FrontEnd
	Engines       []*RecordingEngine
	History       *history.Recorder // what clients and engines observed
	Random        *Random
	Seed          uint64         // of Random
	Dir           string         // folder of all files of the front ends
	Durable       bool           // control members store the replicated log
	FleetSettings map[string]any // further keys of the fleet section of the installation file
	observe       func(frame []byte)
	proxies       map[path]*FaultProxy
	discovery     *site.StubDiscovery
	lastEvent     uint64           // number of the discovery service's last event
	lastRequestID atomic.Int64     // number of the last request id that was assigned
	steps         *strings.Builder // what the test did to the fleet, see LogStep
	startedAt     time.Time
}

// path identifies the connections that one front end dials to another. Both are given by their index.
type path struct{ from, to int }

const (
	fleetSeed    = 20261201
	fleetEngines = 2
	fleetZones   = 3
)

var fleetCount atomic.Int64

// NewFleet starts a fleet with two engines and the given number of control members, and waits until all front ends
// serve. The control members are named n1, n2 and so on, and are assigned to the zones a, b and c in turn. The options
// can change the fleet before any of it is started. The test fails if a process doesn't serve in time. Everything is
// stopped at the end of the test. If the test failed, the list of its steps and the statuses and logs of the front ends
// are printed; with -v the list of steps is always printed.
func NewFleet(t *testing.T, program string, controlMembers int, options ...func(*Fleet)) *Fleet {
	f := &Fleet{
		T:             t,
		Program:       program,
		SiteName:      fmt.Sprintf("test-%d-%d", os.Getpid(), fleetCount.Add(1)),
		Seed:          fleetSeed,
		Dir:           t.TempDir(),
		FleetSettings: map[string]any{},
		lastEvent:     site.KnownPosition,
		proxies:       map[path]*FaultProxy{},
		steps:         &strings.Builder{},
		startedAt:     time.Now(),
	}
	f.History = &history.Recorder{Now: func() int64 { return time.Since(f.startedAt).Microseconds() }}
	var err error
	f.discovery, err = site.NewStubDiscovery()
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.discovery.Close() })
	for range controlMembers {
		f.addControlMember()
	}
	for _, option := range options {
		option(f)
	}
	f.Random = NewRandom(f.Seed)
	f.startEngines()
	f.startProxies()
	t.Cleanup(f.stop) // registered before any process starts, so that one that doesn't serve is stopped too
	for _, frontEnd := range f.FrontEnds {
		frontEnd.Start()
	}
	return f
}

// addControlMember adds a control member to the fleet.
func (f *Fleet) addControlMember() {
	index := len(f.FrontEnds)
	name := fmt.Sprintf("n%d", index+1)
	addresses := freeAddresses(f.T, nextAddress(), 2)
	f.FrontEnds = append(f.FrontEnds, &FrontEnd{
		Fleet:       f,
		Index:       index,
		Name:        name,
		Zone:        string(rune('a' + index%fleetZones)),
		ClientAddr:  addresses[0],
		PeerAddr:    addresses[1],
		StorageDir:  f.storageDir(name),
		AdminSocket: f.adminSocket(name),
	})
}

// storageDir returns the storage folder of the front end with the given name.
func (f *Fleet) storageDir(name string) string { return filepath.Join(f.Dir, "disk-"+name) }

// adminSocket returns the path of the admin socket of the front end with the given name.
func (f *Fleet) adminSocket(name string) string { return filepath.Join(f.Dir, name+".sock") }

// startEngines starts the engines.
func (f *Fleet) startEngines() {
	deduplicator := &keyDeduplicator{keys: map[string]time.Time{}}
	for i := range fleetEngines {
		engine := newRecordingEngine(fmt.Sprintf("s-%08x", i+1), f.History, deduplicator)
		f.T.Cleanup(engine.Close)
		f.Engines = append(f.Engines, engine)
	}
}

// startProxies starts the proxies from each front end to all control members. No front end dials an attached front end,
// so there are no proxies to those.
func (f *Fleet) startProxies() {
	for _, from := range f.FrontEnds {
		for _, to := range f.ControlMembers() {
			if from != to {
				proxy := f.startProxy(from, to)
				proxy.Observe(f.observe)
				proxy.ToDialer.Observe(f.observe)
			}
		}
	}
}

// startProxy starts the proxy from one front end to another.
func (f *Fleet) startProxy(from, to *FrontEnd) *FaultProxy {
	proxy, err := NewFaultProxy(to.PeerAddr, f.Random)
	require.NoError(f.T, err)
	f.T.Cleanup(proxy.Close)
	f.proxies[path{from.Index, to.Index}] = proxy
	return proxy
}

// stop kills all processes. If the test failed, it prints the steps, and the status and log of each front end. With -v
// it always prints the steps.
func (f *Fleet) stop() {
	t := f.T
	if t.Failed() || testing.Verbose() {
		t.Logf("seed %d, steps:\n%s", f.Seed, f.steps)
	}
	if t.Failed() {
		for _, frontEnd := range f.FrontEnds {
			status, _ := json.Marshal(frontEnd.RawStatus())
			t.Logf("status of %s: %s", frontEnd.Name, status)
		}
	}
	for _, frontEnd := range f.FrontEnds {
		frontEnd.killIfRunning()
	}
	if t.Failed() {
		for _, frontEnd := range f.FrontEnds {
			t.Logf("log of %s:\n%s", frontEnd.Name, frontEnd.Log)
		}
	}
}

// LogStep adds a line to the list of steps: what the test did to the fleet and when, in seconds since the fleet's
// start. The list is printed if the test fails, or with -v.
func (f *Fleet) LogStep(format string, args ...any) {
	fmt.Fprintf(f.steps, "%8.3f s  %s\n", time.Since(f.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// WithFrameObserver is an option of NewFleet that calls observe with each frame between front ends, in either
// direction. observe is called concurrently, and must neither keep nor change the frame.
func WithFrameObserver(observe func(frame []byte)) func(*Fleet) {
	return func(f *Fleet) { f.observe = observe }
}

// ControlMembers returns the control members, which the settings list by name.
func (f *Fleet) ControlMembers() []*FrontEnd { return f.withAttached(false) }

// AttachedFrontEnds returns the attached front ends, which the settings don't list.
func (f *Fleet) AttachedFrontEnds() []*FrontEnd { return f.withAttached(true) }

// withAttached returns the front ends that are attached, or those that are not.
func (f *Fleet) withAttached(attached bool) (list []*FrontEnd) {
	for _, frontEnd := range f.FrontEnds {
		if frontEnd.Attached == attached {
			list = append(list, frontEnd)
		}
	}
	return list
}

// FrontEndByName returns the first front end with the given name; nil if there is none.
func (f *Fleet) FrontEndByName(name string) *FrontEnd {
	for _, frontEnd := range f.FrontEnds {
		if frontEnd.Name == name {
			return frontEnd
		}
	}
	return nil
}

// CheckHistory checks the history of what clients and engines observed. The test fails if there is a violation, and
// prints each with the events related to it.
func (f *Fleet) CheckHistory() {
	f.T.Helper()
	const maxRelatedEvents = 20
	events := f.History.Events()
	for _, violation := range history.Check(events) {
		f.T.Errorf("%s", violation)
		for _, event := range history.RelatedEvents(events, violation, maxRelatedEvents) {
			f.T.Logf("  %s", event)
		}
	}
}
