package keyfiles

import (
	"log/slog"
	"os"
	"syscall"
	"time"
)

// Watch looks at files again and again and reads those that have changed. What can't be read changes nothing: the last
// that could stays in force, and the log names the file.
type Watch struct {
	stop chan struct{}
	done chan struct{}
}

// File is one that is watched. Load reads and hands it over; it runs on the watch's goroutine.
type File struct {
	Path string
	Load func(path string) error

	last stamp
}

// stamp is what tells one content of a file from another without reading it.
type stamp struct {
	inode uint64
	size  int64
	at    time.Time
	err   bool
}

func look(path string) (s stamp) {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{err: true}
	}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		s.inode = sys.Ino
	}
	s.size, s.at = info.Size(), info.ModTime()
	return s
}

// Load loads all files, and stops at the first that can't be.
func Load(files []*File) error {
	for _, f := range files {
		f.last = look(f.Path)
		if err := f.Load(f.Path); err != nil {
			return err
		}
	}
	return nil
}

// Start begins to look at files that were loaded, every so often.
func Start(files []*File, every time.Duration) *Watch {
	w := &Watch{make(chan struct{}), make(chan struct{})}
	go w.run(files, every)
	return w
}

// Stop ends the watch; no file is loaded after it has returned.
func (w *Watch) Stop() {
	close(w.stop)
	<-w.done
}

func (w *Watch) run(files []*File, every time.Duration) {
	defer close(w.done)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		for _, f := range files {
			f.check()
		}
	}
}

// check loads the file if it has changed. One that changes while it is read is read again at the next look, since its
// stamp is taken before.
func (f *File) check() {
	now := look(f.Path)
	if now == f.last {
		return
	}
	f.last = now
	if err := f.Load(f.Path); err != nil {
		slog.Error("the last good content stays in force", "file", f.Path, "error", err)
		return
	}
	slog.Info("taken over", "file", f.Path)
}
