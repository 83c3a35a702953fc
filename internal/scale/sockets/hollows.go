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

// hollows is a running worker with its front ends, all of one role.
type hollows struct {
	*client
	fronts []*front
	cmd    *exec.Cmd // nil within this process
	in     io.WriteCloser
	over   chan error // has the worker's end
	idle   figures    // before any front end started
	idleAt time.Time
	rate   float64 // microseconds of processor a second while idle
}

// endWait bounds how long a process may take to end once it was told to.
const endWait = 5 * time.Second

// startHollows starts a worker, as a process where a command line is given. It ends itself after most, and where its input ends.
func startHollows(command []string, fronts []*front, most time.Duration) (*hollows, error) {
	h := &hollows{fronts: fronts, over: make(chan error, 1)}
	if len(command) == 0 {
		requests, in := io.Pipe()
		out, replies := io.Pipe()
		h.in, h.client = in, newClient(in, out)
		go func() {
			err := Work(requests, replies, most)
			requests.Close()
			replies.Close()
			h.over <- err
		}()
		return h, nil
	}
	h.cmd = exec.Command(command[0], append(command[1:], "--most", most.String())...)
	h.cmd.Stderr = os.Stderr
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // where the tool itself is killed
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
	h.in, h.client = in, newClient(in, out)
	go func() {
		<-h.ended // Wait closes the pipe, which is read to its end first
		h.over <- h.cmd.Wait()
	}()
	return h, nil
}

// end ends the worker, by force where it does not in time.
func (h *hollows) end() error {
	_ = h.send(request{Op: opEnd}, func(reply) {}) // it may have ended already
	h.in.Close()
	select {
	case err := <-h.over:
		return err
	case <-time.After(endWait):
	}
	if h.cmd == nil {
		return errWorkerSilent
	}
	_ = h.cmd.Process.Kill()
	return <-h.over
}

// setup hands over the fleet's section and begins the idle span.
func (h *hollows) setup(section json.RawMessage) error {
	if _, err := h.ask(request{Op: opSetup, Section: section}); err != nil {
		return err
	}
	f, err := h.figures(true)
	h.idle, h.idleAt = f, time.Now()
	return err
}

// rested ends the idle span.
func (h *hollows) rested() error {
	f, err := h.figures(false)
	h.rate = float64(f.CPU-h.idle.CPU) / time.Since(h.idleAt).Seconds()
	return err
}

func (h *hollows) figures(collect bool) (figures, error) {
	r, err := h.ask(request{Op: opFigures, Collect: collect})
	if err != nil {
		return figures{}, err
	}
	return *r.Figures, nil
}

// role is that of all its front ends.
func (h *hollows) role() string {
	if h.fronts[0].attached {
		return scale.RoleFrontEnd
	}
	return scale.RoleControl
}
