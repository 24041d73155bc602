package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file to which everything that matters is written.
var record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

// note writes a line to record.txt with the seconds since the start.
func note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.begun).Seconds(), fmt.Sprintf(format, args...))
}

func openRecord(path string) {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record.file, record.begun = f, time.Now()
}

// process is one that this program has started.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
}

var (
	startedMu sync.Mutex
	started   []*process
)

// start starts a program. Its output goes to a file in the folder.
func start(name, folder string, environment []string, program string, args ...string) *process {
	out, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	c := exec.Command(program, args...)
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder}, environment...)
	c.Stdout, c.Stderr = out, out
	// The processes end with this one, however it ends.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		cannotRun("start %s: %v", name, err)
	}
	p := &process{name: name, command: c, done: make(chan struct{})}
	go func() {
		c.Wait()
		out.Close()
		close(p.done)
	}()
	startedMu.Lock()
	started = append(started, p)
	startedMu.Unlock()
	note("process %s is started", name)
	return p
}

func (p *process) signal(s syscall.Signal) {
	note("process %s gets %v", p.name, s)
	p.command.Process.Signal(s)
}

// kill ends the process with SIGKILL and returns when it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// endAll kills all processes that were started.
func endAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		if !p.ended() {
			p.command.Process.Kill()
			<-p.done
		}
	}
}

func exit(code int) {
	endAll()
	os.RemoveAll(folder)
	record.file.Close()
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	note("CANNOT RUN: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	exit(2)
}

// freePort returns a port that is free on the address now.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// freePorts returns the first of a number of ports in a row that are free on the address.
func freePorts(ip string, count int) int {
	for range 200 {
		first := freePort(ip)
		free := first+count < 65000
		for i := range count {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return first
		}
	}
	cannotRun("no free ports")
	return 0
}

// entry is a process of the role "entry" of the deploy file.
type entry struct {
	*process
	name, ip, settings string
	callers, readiness string
}

type deployment struct {
	store string
	// internal is the first internal port, the same on all machines.
	internal int
	metrics  int
}

// settingsText is deploy/settings.yaml filled in for a machine of a small deployment.
func (d deployment) settingsText(node, ip string, extra string) string {
	return fmt.Sprintf(`instance: %q
failureDomain: "zone-a"
region: "region-a"
address: %q
ports:
  first: %d
  last: %d
regions:
  - failureDomain: zone-a
    region: region-a
%sfirstStart: true
store: %q
bounds:
  gracefulStop: 8s
  namedVersion: 8000ms
  repeatRatio: 0.2
  repeatWindow: 10s
  repeatSlack: 200
limits:
  memory: 206 MB
  link: 700 Mbit/s
metricsPort: %d
`, node, ip, d.internal, d.internal+15, extra, d.store, d.metrics)
}

func (d deployment) startEntry(name, ip string) *entry {
	e := &entry{name: name, ip: ip, settings: filepath.Join(folder, name+".yaml")}
	e.callers = fmt.Sprintf("%s:%d", ip, freePort(ip))
	e.readiness = fmt.Sprintf("%s:%d", ip, freePort(ip))
	extra := fmt.Sprintf("listen:\n  callers: %q\n  readiness: %q\n", e.callers, e.readiness)
	if err := os.WriteFile(e.settings, []byte(d.settingsText(name, ip, extra)), 0o600); err != nil {
		cannotRun("%v", err)
	}
	e.restart()
	return e
}

// restart starts the process with the run line of the deploy file.
func (e *entry) restart() {
	e.process = start(e.name, folder, []string{"MULBERRYSPOOL_SETTINGS=" + e.settings}, "target/mulberryspool", "hosted", "entry")
}

func (e *entry) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + e.readiness + "/v1/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (e *entry) awaitReady() {
	for range 200 {
		if e.ready() {
			note("%s is ready", e.name)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("%s is not ready after 10 s", e.name)
}

// backend is a process of this program that stands in for a server.
type backend struct {
	*process
	id, ip, service string
	port            int
	born            int64
	boot            int
	kind            string
}

func newBackend(kind, id, service, ip string) *backend {
	return &backend{kind: kind, id: id, service: service, ip: ip, port: freePort(ip)}
}

func (b *backend) address() string { return fmt.Sprintf("%s:%d", b.ip, b.port) }

// start starts the server's process, and waits until it listens.
func (b *backend) start(extra ...string) {
	b.boot++
	b.born = time.Now().UnixMilli()
	self, err := os.Executable()
	if err != nil {
		cannotRun("%v", err)
	}
	args := append([]string{b.kind, "--address", b.address(), "--id", b.id, "--born", fmt.Sprint(b.born)}, extra...)
	b.process = start(b.id, folder, nil, self, args...)
	for range 100 {
		if c, err := net.Dial("tcp", b.address()); err == nil {
			c.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	cannotRun("server %s does not listen", b.id)
}

// object is what the server writes about itself.
func (b *backend) object(state string, sequence int) map[string]any {
	return map[string]any{
		"service": b.service, "address": b.address(), "zone": "zone-a", "version": "v1", "slots": 16, "state": state,
		"cold-remaining-ms": 0, "sequence": sequence, "born": b.born,
	}
}

// troubled reports whether the disruption is wanted.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

func tail(text string, n int) string {
	text = strings.TrimSpace(text)
	if len(text) > n {
		return "..." + text[len(text)-n:]
	}
	return text
}
