package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// system is a small deployment on loopback: the store in this process, and the entries and
// servers as processes of their own.
type system struct {
	store  *store
	folder string
	// subnet holds the first three bytes of all addresses of the run.
	subnet  string
	control string
	program string

	mu      sync.Mutex
	record  *os.File
	began   time.Time
	noted   map[string][]url.Values
	running []*process
}

type process struct {
	name string
	*exec.Cmd
	done chan struct{}
}

func newSystem(recordFile string) (*system, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &system{
		store: newStore(), folder: folder, record: record, began: time.Now(), noted: map[string][]url.Values{},
		subnet: fmt.Sprintf("127.%d.%d.", 20+rand.N(200), 1+rand.N(250)), program: "target/mulberryspool",
	}
	s.control = s.subnet + "1:8007"
	listener, err := net.Listen("tcp", s.control)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/objects/", s.store)
	mux.HandleFunc("/note/{what}", func(w http.ResponseWriter, r *http.Request) {
		what, values := r.PathValue("what"), r.URL.Query()
		s.mu.Lock()
		s.noted[what+" "+values.Get("id")] = append(s.noted[what+" "+values.Get("id")], values)
		s.mu.Unlock()
		s.write("server %s (born %s) %s %s", values.Get("server"), values.Get("born"), what, values.Get("id"))
	})
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// write adds a line to the record.
func (s *system) write(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%7.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// count returns how often a server has noted something about a request.
func (s *system) count(what, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.noted[what+" "+id])
}

// start starts a program.
func (s *system) start(name string, environment []string, program string, arguments ...string) (*process, error) {
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), environment...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, Cmd: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	s.running = append(s.running, p)
	s.mu.Unlock()
	s.write("started %s", name)
	return p, nil
}

// close ends all processes that were started.
func (s *system) close() {
	for _, p := range s.running {
		_ = p.Process.Kill()
		<-p.done
	}
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs are in", s.folder)
	}
}

// kill ends a process as a crash does.
func (s *system) kill(p *process) {
	s.write("killed %s", p.name)
	_ = p.Process.Kill()
	<-p.done
}

const entrySettings = `instance: "entry-%[1]d"
failureDomain: "zone-a"
region: "region-a"
address: "%[2]s"
ports:
  first: 7700
  last: 7715
regions:
  - failureDomain: zone-a
    region: region-a
listen:
  callers: "%[2]s:8005"
  readiness: "%[2]s:8002"
firstStart: %[4]t
store: "%[3]s"
bounds:
  gracefulStop: 8s
  namedVersion: 8000ms
  repeatRatio: 0.2
  repeatWindow: 10s
  repeatSlack: 200
  configuration: 2000ms
  leavingServer: 2000ms
limits:
  memory: 206 MB
  link: 700.0 Mbit/s
  descriptors: 2940
`

// startEntry starts an entry with the command of the deploy file and settings like those of
// the platform, and returns its address for callers.
func (s *system) startEntry(number int, firstStart bool) (*process, string, error) {
	ip := fmt.Sprintf("%s%d", s.subnet, 10+number)
	file := filepath.Join(s.folder, fmt.Sprintf("entry-%d.yaml", number))
	if err := os.WriteFile(file, fmt.Appendf(nil, entrySettings, number, ip, s.control, firstStart), 0o600); err != nil {
		return nil, "", err
	}
	p, err := s.start(fmt.Sprintf("entry-%d", number), []string{"MULBERRYSPOOL_SETTINGS=" + file}, s.program, "hosted", "entry")
	return p, ip + ":8005", err
}

// awaitReady waits until an entry says that it is ready.
func (s *system) awaitReady(callers string) error {
	host, _, _ := net.SplitHostPort(callers)
	for range 100 {
		response, err := http.Get("http://" + host + ":8002/v1/readiness")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("entry at %s is not ready after 10 s", callers)
}
