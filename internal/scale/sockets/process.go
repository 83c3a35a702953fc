package sockets

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"time"

	"chutechute/internal/monotime"
	"chutechute/internal/testharness/site"
)

// programProcess is a front end that runs as a process of the program.
type programProcess struct {
	*frontEnd
	dir           string
	program       string
	discoveryAddr string
	siteSize      int // number of front ends of the site
	socketLimit   int // limit of open sockets, unless the default of the site is higher
	fleetSection  json.RawMessage
	cmd           *exec.Cmd // nil while the process is not running
	startCount    int
	logPath       string // path of the log file of the last start
}

// serveTimeout is the time that a process has from its start until it serves.
const serveTimeout = 20 * time.Second

var (
	incarnationLine = regexp.MustCompile(`msg="fleet membership starts" .*incarnation=([0-9a-f]{16})`)
	servingLine     = regexp.MustCompile(`msg=serving`)
	errNotServing   = errors.New("sockets: process of the program did not begin to serve in time")
)

// start starts the process, waits until it serves, and returns its incarnation.
func (p *programProcess) start() (incarnation uint64, err error) {
	p.startCount++
	section := map[string]any{}
	if err := json.Unmarshal(p.fleetSection, &section); err != nil {
		return 0, fmt.Errorf("sockets: %w", err)
	}
	files := site.FrontEndFiles{Name: p.name, ClientAddr: p.clientAddr.String(), Seed: strconv.Itoa(p.startCount),
		DiscoveryAddr: p.discoveryAddr, SiteSize: p.siteSize,
		SocketLimit: max(site.DefaultSocketLimit, p.socketLimit), FleetSection: section}
	config, installation, err := files.Write(p.dir)
	if err != nil {
		return 0, err
	}
	p.logPath = filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", p.name, p.startCount))
	log, err := os.Create(p.logPath)
	if err != nil {
		return 0, fmt.Errorf("sockets: %w", err)
	}
	defer log.Close() // the process has its own descriptor
	p.cmd = exec.Command(p.program, "serve", "--installation", installation)
	p.cmd.Env = []string{"NODE_CONFIG=" + config}
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the child if this process is killed
	if err := p.cmd.Start(); err != nil {
		p.cmd = nil
		return 0, fmt.Errorf("sockets: %w", err)
	}
	return p.awaitServing()
}

// awaitServing waits until the process logs that it serves, and returns the incarnation from the log.
func (p *programProcess) awaitServing() (uint64, error) {
	for until := time.Now().Add(serveTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		text, err := os.ReadFile(p.logPath)
		if err != nil {
			return 0, fmt.Errorf("sockets: %w", err)
		}
		if found := incarnationLine.FindSubmatch(text); found != nil && servingLine.Match(text) {
			return strconv.ParseUint(string(found[1]), 16, 64)
		}
	}
	text, _ := os.ReadFile(p.logPath)
	return 0, fmt.Errorf("%w: %s: %s", errNotServing, p.name, text)
}

// kill kills the process, also while it is paused.
func (p *programProcess) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// pause stops the process for a duration.
func (p *programProcess) pause(d time.Duration) error {
	if p.cmd == nil {
		return nil
	}
	stopped := p.cmd.Process
	time.AfterFunc(d, func() { _ = stopped.Signal(syscall.SIGCONT) }) // it may have been killed in the meantime
	return stopped.Signal(syscall.SIGSTOP)
}

// usage returns the processor time that the process has used, and its resident memory. Both are 0 while it is not
// running.
func (p *programProcess) usage() (cpu monotime.Micros, resident int64, err error) {
	if p.cmd == nil {
		return 0, 0, nil
	}
	if cpu, err = processCPU(p.cmd.Process.Pid); err != nil {
		return 0, 0, err
	}
	resident, err = residentMemory(strconv.Itoa(p.cmd.Process.Pid))
	return cpu, resident, err
}
