package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// Ports of every machine. Each machine is a loopback address of its own.
const (
	callersPort   = 8005
	readinessPort = 8002
	firstPort     = 7700
	lastPort      = 7715
	metricsPort   = 9464
	backendPort   = 8209
	// hiddenPort is where a backend server listens behind the proxy that stands for its link.
	hiddenPort = 8210
	storePort  = 8007
)

// startTimeout limits how long the system may take to become ready.
const startTimeout = 25 * time.Second

type (
	// system is a small deployment.
	system struct {
		folder  string
		work    string
		trouble bool
		began   time.Time
		// network is the third byte of the loopback addresses, second the second one.
		second, network int
		store           *store

		mu        sync.Mutex
		log       *os.File
		processes []*process
		entries   []*entry
		backends  []*backend
		// runs holds the server that ran each request, arrivals all requests that were run.
		runs     map[string][]string
		arrivals []arrival
		// crashes counts the crashes of servers under their load.
		crashes int
		// coldFrom holds when servers have become cold.
		coldFrom []coldSpan
		// extraBounds is added to the bounds of the settings.
		extraBounds string
		// compact shortens the record of a case with many requests to one line for what a
		// caller sent and got, and one for what a server ran.
		compact bool
	}

	// entry is a process of the entry role.
	entry struct {
		*process
		name, zone, address string
		// toStore stands for its link to the store.
		toStore *proxy
	}

	// backend is a backend server with its link to the entries and to the store.
	backend struct {
		*process
		system            *system
		id, service, zone string
		address, hidden   string
		link, toStore     *proxy
	}

	// arrival is a request that a server has run.
	arrival struct {
		serverEvent
		server string
	}

	// coldSpan is the beginning of the time in which a server is cold.
	coldSpan struct {
		server   string
		atMicros int64
	}

	process struct {
		name string
		cmd  *exec.Cmd
		done chan struct{}
	}
)

func newSystem(folder string) (*system, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	work, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder, work: work, log: log, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", runs: make(map[string][]string)}
	if err := s.chooseNetwork(); err != nil {
		return nil, err
	}
	s.store, err = newStore(s.ip(7))
	if err != nil {
		return nil, err
	}
	s.record("trouble: %t", s.trouble)
	return s, nil
}

// chooseNetwork chooses loopback addresses of which none is in use.
func (s *system) chooseNetwork() error {
	for range 50 {
		s.second, s.network = 1+rand.IntN(250), 1+rand.IntN(250)
		free := true
		for host := 1; host < 60 && free; host++ {
			for _, port := range []int{callersPort, readinessPort, firstPort, metricsPort, backendPort, hiddenPort, storePort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(host), port))
				if err != nil {
					free = false
					break
				}
				listener.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (s *system) ip(host int) string { return fmt.Sprintf("127.%d.%d.%d", s.second, s.network, host) }

// record writes a line with the time since the start.
func (s *system) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.log.WriteString(line)
}

// close ends all processes that the case has started.
func (s *system) close() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	s.log.Close()
	os.RemoveAll(s.work)
}

// start starts a process and passes the lines that it writes to onLine.
func (s *system) start(name string, env []string, onLine func(string), command ...string) (*process, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.work}, env...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(make([]byte, 64<<10), 4<<20)
		for lines.Scan() {
			onLine(lines.Text())
		}
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) signal(signal os.Signal) { _ = p.cmd.Process.Signal(signal) }

// startEntry starts an entry with the command of the deploy file.
func (s *system) startEntry(name, zone string, host int, logged ...string) (*entry, error) {
	e := &entry{name: name, zone: zone, address: s.ip(host)}
	var err error
	if e.toStore, err = newProxy(fmt.Sprintf("%s:%d", s.ip(host), storePort), s.store.address); err != nil {
		return nil, err
	}
	file := filepath.Join(s.work, name+".yaml")
	if err := os.WriteFile(file, s.settings(name, zone, e.address, e.toStore.address), 0o600); err != nil {
		return nil, err
	}
	onLine := func(line string) {
		for _, part := range logged {
			if strings.Contains(line, part) {
				s.record("log of %s: %s", name, line)
			}
		}
	}
	e.process, err = s.start(name, []string{"MULBERRYSPOOL_SETTINGS=" + file}, onLine, "target/mulberryspool", "hosted", "entry")
	if err != nil {
		return nil, err
	}
	s.entries = append(s.entries, e)
	return e, nil
}

// zones and their regions are those of a small deployment.
var zones = [][2]string{{"bagmati-a", "bagmati"}, {"gandaki-a", "gandaki"}, {"koshi-a", "koshi"}}

// settings returns what the template of the deploy file becomes.
func (s *system) settings(name, zone, address, store string) []byte {
	var b bytes.Buffer
	region := strings.TrimSuffix(zone, "-a")
	fmt.Fprintf(&b, "instance: %q\nfailureDomain: %q\nregion: %q\naddress: %q\n", name, zone, region, address)
	fmt.Fprintf(&b, "ports:\n  first: %d\n  last: %d\nregions:\n", firstPort, lastPort)
	for _, z := range zones {
		fmt.Fprintf(&b, "  - failureDomain: %s\n    region: %s\n", z[0], z[1])
	}
	fmt.Fprintf(&b, "listen:\n  callers: \"%s:%d\"\n  readiness: \"%s:%d\"\n", address, callersPort, address, readinessPort)
	fmt.Fprintf(&b, "firstStart: true\nstore: %q\n", store)
	b.WriteString("bounds:\n  gracefulStop: 8s\n  namedVersion: 8000ms\n  repeatRatio: 0.2\n  repeatWindow: 10s\n  repeatSlack: 200\n" + s.extraBounds)
	b.WriteString("limits:\n  memory: 206 MB\n  link: 700 Mbit/s\n  descriptors: 2940\n")
	return b.Bytes()
}

// awaitReady waits until all entries say that they are ready.
func (s *system) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, e := range s.entries {
		for {
			if isReady(e) {
				s.record("%s is ready", e.name)
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s was not ready within %v", e.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(e *entry) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", e.address, readinessPort))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startBackend starts a backend server behind its links.
func (s *system) startBackend(id, service, zone string, host int) (*backend, error) {
	b := &backend{system: s, id: id, service: service, zone: zone, address: fmt.Sprintf("%s:%d", s.ip(host), backendPort), hidden: fmt.Sprintf("%s:%d", s.ip(host), hiddenPort)}
	var err error
	if b.link, err = newProxy(b.address, b.hidden); err != nil {
		return nil, err
	}
	if b.toStore, err = newProxy(fmt.Sprintf("%s:%d", s.ip(host), storePort), s.store.address); err != nil {
		return nil, err
	}
	s.backends = append(s.backends, b)
	return b, b.boot()
}

// boot starts the process of the backend server, also once more after a crash.
func (b *backend) boot(env ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	onLine := func(line string) {
		var e serverEvent
		if json.Unmarshal([]byte(line), &e) != nil {
			b.system.record("%s wrote %s", b.id, line)
			return
		}
		if e.Event == eventCold {
			b.system.mu.Lock()
			b.system.coldFrom = append(b.system.coldFrom, coldSpan{b.id, e.AtMicros})
			b.system.mu.Unlock()
		}
		if e.Event == eventCrash {
			b.system.mu.Lock()
			b.system.crashes++
			b.system.mu.Unlock()
		}
		if e.Event == eventRun {
			b.system.mu.Lock()
			b.system.runs[e.Request] = append(b.system.runs[e.Request], b.id)
			b.system.arrivals = append(b.system.arrivals, arrival{e, b.id})
			b.system.mu.Unlock()
		}
		if b.system.compact && e.Event == eventRun {
			b.system.record("%s runs %s", b.id, e.Request)
			return
		}
		b.system.record("server %s (%s): %s %s %s", b.id, b.service, e.Event, e.Request, e.Detail)
	}
	b.process, err = b.system.start(b.id, env, onLine, self, "server", b.id, b.service, b.zone, b.address, b.hidden, b.toStore.address)
	return err
}

// ranAt returns the servers that have run a request.
func (s *system) ranAt(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.runs[id]...)
}
