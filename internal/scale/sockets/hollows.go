package sockets

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"chutechute/internal/scale"
)

// workerHandle controls a running worker, which has front ends of one role.
type workerHandle struct {
	*client
	frontEnds   []*frontEnd
	cmd         *exec.Cmd // nil if the worker runs within this process
	stdin       io.WriteCloser
	exited      chan error // receives the error with which the worker ended
	idle        figures    // before its front ends were started
	idleSince   time.Time
	idleCPURate float64 // processor time in microseconds per second, while idle
}

// stopTimeout is the time that a worker has to end after a request to end.
const stopTimeout = 5 * time.Second

// startWorker starts a worker: a process if a command line is given, a goroutine otherwise. The worker ends by itself
// after maxDuration, and at the end of its input.
func startWorker(command []string, frontEnds []*frontEnd, maxDuration time.Duration) (*workerHandle, error) {
	h := &workerHandle{frontEnds: frontEnds, exited: make(chan error, 1)}
	if len(command) == 0 {
		requests, in := io.Pipe()
		out, replies := io.Pipe()
		h.stdin, h.client = in, newClient(in, out)
		go func() {
			err := RunWorker(requests, replies, maxDuration)
			requests.Close()
			replies.Close()
			h.exited <- err
		}()
		return h, nil
	}
	h.cmd = exec.Command(command[0], append(command[1:], "--most", maxDuration.String())...)
	h.cmd.Stderr = os.Stderr
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the child if this process is killed
	in, err := h.cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("sockets: %w", err)
	}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("sockets: %w", err)
	}
	if err := h.cmd.Start(); err != nil {
		return nil, fmt.Errorf("sockets: %w", err)
	}
	h.stdin, h.client = in, newClient(in, out)
	go func() {
		<-h.closed // Wait closes the pipe of the replies, so that these are read to the end first
		h.exited <- h.cmd.Wait()
	}()
	return h, nil
}

// stop ends the worker. It kills a process that does not end in time.
func (h *workerHandle) stop() error {
	_ = h.send(request{Op: opEnd}, func(reply) {}) // the worker may have ended already
	h.stdin.Close()
	select {
	case err := <-h.exited:
		return err
	case <-time.After(stopTimeout):
	}
	if h.cmd == nil {
		return errReplyTimeout
	}
	_ = h.cmd.Process.Kill()
	return <-h.exited
}

// beginIdle sends the fleet section to the worker, and begins to measure what the worker uses while idle.
func (h *workerHandle) beginIdle(section json.RawMessage) error {
	if _, err := h.call(request{Op: opSetup, Section: section}); err != nil {
		return err
	}
	f, err := h.figures(true)
	h.idle, h.idleSince = f, time.Now()
	return err
}

// endIdle ends the measurement that beginIdle began.
func (h *workerHandle) endIdle() error {
	f, err := h.figures(false)
	h.idleCPURate = float64(f.CPU-h.idle.CPU) / time.Since(h.idleSince).Seconds()
	return err
}

func (h *workerHandle) figures(collect bool) (figures, error) {
	r, err := h.call(request{Op: opFigures, Collect: collect})
	if err != nil {
		return figures{}, err
	}
	return *r.Figures, nil
}

// role returns the role of the worker's front ends.
func (h *workerHandle) role() string {
	if h.frontEnds[0].attached {
		return scale.RoleFrontEnd
	}
	return scale.RoleControl
}
