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

// Fleet is a fleet of front ends, each a process on a loopback address of its own, with a proxy on each path from
// one to another, and the engines that they share. What clients and engines see is recorded in a history.
type Fleet struct {
	T             *testing.T
	Program       string // path of the executable
	SiteName      string // the site's name; each fleet has its own, so that processes of two fleets never form one
	FrontEnds     []*FrontEnd
	Engines       []*RecordingEngine // the engines
	History       *history.Recorder  // what clients and engines saw
	Random        *Random
	Seed          uint64         // of the random numbers
	Dir           string         // of all files
	Durable       bool           // control members store the replicated record
	FleetSettings map[string]any // what else the fleet's section of the installation file has
	observe       func(frame []byte)
	proxies       map[path]*FaultProxy
	discovery     *site.StubDiscovery
	calls         atomic.Int64 // request ids given out
	script        *strings.Builder
	began         time.Time
}

// path is the direction of connections from one front end, that dials, to another; both by their index.
type path struct{ from, to int }

const (
	fleetSeed    = 20261201
	fleetEngines = 2
	fleetZones   = 3
)

var fleetsMade atomic.Int64

// NewFleet starts a fleet with so many control members, n1, n2 and so on in the zones a, b and c in turn, and two
// engines, and waits until all front ends serve. Each of the options may change the fleet before anything of it is
// started. The test fails where a process doesn't serve in time. All is stopped with the test, which prints the
// script, statuses and logs if it failed.
func NewFleet(t *testing.T, program string, controlMembers int, options ...func(*Fleet)) *Fleet {
	f := &Fleet{
		T:             t,
		Program:       program,
		SiteName:      fmt.Sprintf("test-%d-%d", os.Getpid(), fleetsMade.Add(1)),
		Seed:          fleetSeed,
		Dir:           t.TempDir(),
		FleetSettings: map[string]any{},
		proxies:       map[path]*FaultProxy{},
		script:        &strings.Builder{},
		began:         time.Now(),
	}
	f.History = &history.Recorder{Now: func() int64 { return time.Since(f.began).Microseconds() }}
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
	t.Cleanup(f.stop) // before the first starts, so that one that doesn't serve is stopped too
	for _, frontEnd := range f.FrontEnds {
		frontEnd.Start()
	}
	return f
}

// addControlMember adds a front end that the settings list.
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

// storageDir returns the folder that the front end of a name stores in.
func (f *Fleet) storageDir(name string) string { return filepath.Join(f.Dir, "disk-"+name) }

// adminSocket returns the path of a front end's operators' socket.
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

// startProxies starts the proxies from each front end to all control members. There are none to attached front ends,
// which nobody dials.
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

// stop kills all processes. Of a test that failed it prints the script, and the status and log of each front end.
func (f *Fleet) stop() {
	t := f.T
	if t.Failed() || testing.Verbose() {
		t.Logf("seed %d, script:\n%s", f.Seed, f.script)
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

// LogStep adds a line to the script, the list of what a test did to the fleet and when, in seconds from its start. A
// test that fails prints it.
func (f *Fleet) LogStep(format string, args ...any) {
	fmt.Fprintf(f.script, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// WithFrameObserver is an option of NewFleet: observe is called with each frame between front ends, in either
// direction. It is called by several goroutines at once, and must neither keep nor change the frame.
func WithFrameObserver(observe func(frame []byte)) func(*Fleet) {
	return func(f *Fleet) { f.observe = observe }
}

// ControlMembers returns the control members: the front ends that the settings list.
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

// FrontEndByName returns the first front end of a name; nil where there is none.
func (f *Fleet) FrontEndByName(name string) *FrontEnd {
	for _, frontEnd := range f.FrontEnds {
		if frontEnd.Name == name {
			return frontEnd
		}
	}
	return nil
}

// CheckHistory checks the history of what clients and engines saw. Each violation fails the test, with the events
// around it.
func (f *Fleet) CheckHistory() {
	f.T.Helper()
	const eventsAround = 20
	events := f.History.Events()
	for _, violation := range history.Check(events) {
		f.T.Errorf("%s", violation)
		for _, event := range history.RelatedEvents(events, violation, eventsAround) {
			f.T.Logf("  %s", event)
		}
	}
}
