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

// process is a front end that is a process of the program.
type process struct {
	*front
	dir     string
	program string
	journal string
	total   int // front ends of the site
	sockets int // descriptors that it is given; the site's default where that is more
	section json.RawMessage
	cmd     *exec.Cmd // nil while it does not run
	starts  int
	log     string // path of the last start's log
}

// serveWait bounds how long a process may take until it serves.
const serveWait = 20 * time.Second

var (
	incarnationLine = regexp.MustCompile(`msg=fleet .*incarnation=([0-9a-f]{16})`)
	servingLine     = regexp.MustCompile(`msg=serving`)
	errNotServing   = errors.New("sockets: a process of the program does not serve")
)

// start starts the process, waits until it serves, and gives its number.
func (p *process) start() (incarnation uint64, err error) {
	p.starts++
	section := map[string]any{}
	if err := json.Unmarshal(p.section, &section); err != nil {
		return 0, fmt.Errorf("sockets: %w", err)
	}
	files := site.FrontEndFiles{Name: p.name, ClientAddr: p.listen.String(), Seed: strconv.Itoa(p.starts), DiscoveryAddr: p.journal, SiteSize: p.total,
		SocketLimit: max(site.DefaultSocketLimit, p.sockets), FleetSection: section}
	config, installation, err := files.Write(p.dir)
	if err != nil {
		return 0, err
	}
	p.log = filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", p.name, p.starts))
	log, err := os.Create(p.log)
	if err != nil {
		return 0, fmt.Errorf("sockets: %w", err)
	}
	defer log.Close() // the process has its own
	p.cmd = exec.Command(p.program, "serve", "--installation", installation)
	p.cmd.Env = []string{"NODE_CONFIG=" + config}
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // where the tool itself is killed
	if err := p.cmd.Start(); err != nil {
		p.cmd = nil
		return 0, fmt.Errorf("sockets: %w", err)
	}
	return p.await()
}

// await waits until the process's log says that it serves.
func (p *process) await() (uint64, error) {
	for until := time.Now().Add(serveWait); time.Now().Before(until); time.Sleep(time.Millisecond) {
		text, err := os.ReadFile(p.log)
		if err != nil {
			return 0, fmt.Errorf("sockets: %w", err)
		}
		if found := incarnationLine.FindSubmatch(text); found != nil && servingLine.Match(text) {
			return strconv.ParseUint(string(found[1]), 16, 64)
		}
	}
	text, _ := os.ReadFile(p.log)
	return 0, fmt.Errorf("%w: %s: %s", errNotServing, p.name, text)
}

// kill ends the process at once, also where it stands still.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// stop has the process stand still for a span.
func (p *process) stop(span time.Duration) error {
	if p.cmd == nil {
		return nil
	}
	stopped := p.cmd.Process
	time.AfterFunc(span, func() { _ = stopped.Signal(syscall.SIGCONT) }) // it may have been killed meanwhile
	return stopped.Signal(syscall.SIGSTOP)
}

// use is the processor time that the process has taken and its resident memory; zeros while it does not run.
func (p *process) use() (cpu monotime.Micros, resident int64, err error) {
	if p.cmd == nil {
		return 0, 0, nil
	}
	if cpu, err = cpuOf(p.cmd.Process.Pid); err != nil {
		return 0, 0, err
	}
	resident, err = residentOf(strconv.Itoa(p.cmd.Process.Pid))
	return cpu, resident, err
}
