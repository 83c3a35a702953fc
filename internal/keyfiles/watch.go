package keyfiles

import (
	"log/slog"
	"os"
	"syscall"
	"time"
)

// Watcher checks files at regular intervals and loads those that have changed. If a file can't be loaded, an error is
// logged and the content that was last loaded successfully stays in force.
type Watcher struct {
	stop chan struct{} // closed by Stop
	done chan struct{} // closed when the goroutine has ended
}

// File is a watched file. Load reads it and passes its content on. LoadAll calls it first, and then the Watcher, on its
// own goroutine.
type File struct {
	Path string
	Load func(path string) error

	last fileVersion // at the last load, successful or not
}

// fileVersion holds the metadata by which a changed file is recognized without reading it.
type fileVersion struct {
	inode      uint64
	size       int64
	modifiedAt time.Time
	statFailed bool
}

// statVersion returns the current version of a file.
func statVersion(path string) (v fileVersion) {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{statFailed: true}
	}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		v.inode = sys.Ino
	}
	v.size, v.modifiedAt = info.Size(), info.ModTime()
	return v
}

// LoadAll loads all files. It stops at the first that can't be loaded and returns its error. The versions of all are
// taken before any is read, as one file's Load may read others too.
func LoadAll(files []*File) error {
	for _, f := range files {
		f.last = statVersion(f.Path)
	}
	for _, f := range files {
		if err := f.Load(f.Path); err != nil {
			return err
		}
	}
	return nil
}

// StartWatcher starts to watch files, which LoadAll has loaded before, and checks them once in each interval.
func StartWatcher(files []*File, interval time.Duration) *Watcher {
	w := &Watcher{make(chan struct{}), make(chan struct{})}
	go w.run(files, interval)
	return w
}

// Stop stops the watcher. No file is loaded after it has returned.
func (w *Watcher) Stop() {
	close(w.stop)
	<-w.done
}

// run checks the files once in each interval until Stop is called.
func (w *Watcher) run(files []*File, interval time.Duration) {
	defer close(w.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		for _, f := range files {
			f.check()
		}
	}
}

// check loads the file if it has changed. Its version is taken before it is read, so a file that changes while it is
// read is loaded again by the next check.
func (f *File) check() {
	version := statVersion(f.Path)
	if version == f.last {
		return
	}
	f.last = version
	if err := f.Load(f.Path); err != nil {
		slog.Error("the last good content stays in force", "file", f.Path, "error", err)
		return
	}
	slog.Info("file content updated", "file", f.Path)
}
