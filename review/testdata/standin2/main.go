// Command standin2 plays the cases 6 to 10 of the review: it starts the front ends with the command of the deploy file,
// plays their clients, engines and journal service on loopback addresses, writes what was sent, answered and run to
// record.txt, and judges the rule of the case. It exits with 0 if the rule held, 1 if it was broken and 2 if the case
// could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// longest is how long a case may take.
const longest = 110 * time.Second

// world is what all parts of one case share.
type world struct {
	trouble bool
	dir     string // temporary folder
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	breaches []string
	cleanups []func()
}

// cannotRun is the panic with which a case gives up.
type cannotRun struct{ reason string }

// check gives the case up if err is not nil.
func check(err error, what string) {
	if err != nil {
		panic(cannotRun{fmt.Sprintf("%s: %v", what, err)})
	}
}

// giveUp ends the case: it could not run.
func giveUp(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

// log adds a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (w *world) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log("RULE BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, text)
}

// atEnd has a function called at the end of the case, the last one first.
func (w *world) atEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cleanups = append(w.cleanups, f)
}

// disrupt records a disruption and plays it, unless TROUBLE=0.
func (w *world) disrupt(what string, play func()) {
	if !w.trouble {
		w.log("left out: %s", what)
		return
	}
	w.log("DISRUPTION: %s", what)
	play()
}

var cases = map[string]func(*world){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase plays a case and returns the exit code.
func runCase(play func(*world), folder string) (code int) {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.record.Close()
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(w.dir)
	defer func() {
		for i := len(w.cleanups) - 1; i >= 0; i-- {
			w.cleanups[i]()
		}
		reason := recover()
		gaveUp, ok := reason.(cannotRun)
		switch {
		case reason != nil && !ok:
			panic(reason)
		case ok:
			code = 2
			w.log("could not run: %s", gaveUp.reason)
			fmt.Println("could not run:", gaveUp.reason)
		case len(w.breaches) > 0:
			code = 1
			fmt.Println("rule broken:", strings.Join(w.breaches[:min(3, len(w.breaches))], "; "))
		default:
			w.log("the rule held")
			fmt.Println("the rule held")
		}
	}()
	w.log("trouble: %v", w.trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	over := make(chan any, 1)
	go func() {
		defer func() { over <- recover() }()
		play(w)
	}()
	select {
	case reason := <-over:
		if reason != nil {
			panic(reason)
		}
	case <-stopped:
		giveUp("stopped")
	case <-time.After(longest):
		giveUp("not over within %s", longest)
	}
	return 0
}

// waitFor waits until a condition holds, and gives the case up if it does not within the time.
func waitFor(what string, within time.Duration, holds func() bool) {
	for end := time.Now().Add(within); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			giveUp("%s: not within %s", what, within)
		}
	}
}
