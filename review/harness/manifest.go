package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// recoveryTime is bounds.recovery-s.
	recoveryTime = 12 * time.Second
	// offTime is how long the machines have no power, 1.6 s at most on the users' sites.
	offTime = 1300 * time.Millisecond
)

func engineConfig(version int, origin string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "scribe", "host": host, "path-prefix": "/scribe/", "kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 400, "target-gap-ms": 300,
			"priority": 1, "service": "tally-scribe", "attempts": 2, "public": true, "resumable": true, "sticky": true,
		}},
		"services": []any{
			map[string]any{"name": "tally-scribe", "health-path": "/health", "connection-limit": 708, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kv-cache-tokens": 1640000, "kv-token-bytes": 163840, "link-mbps": 400000.0, "stride": 6, "models": []any{map[string]any{"name": model, "pace": 1.0, "load-s": 4.0, "warm-s": 0.3}},
				"size-mb": 282000.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048,
				"report_lag_ms": 200.0, "usual": map[string]any{"prompt": 964, "answer": 119}, "layers": layers, "layer_mb": 4540.0, "chunks": pieces, "chunk-bytes": pieceBytes,
			}},
			map[string]any{"name": "gate-roster", "origin": origin, "zone": "zone-a", "link-mbps": 7.3, "connection-limit": 96},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// agent is a process of the role "agent" of the deploy file.
type agent struct {
	*process
	name, settings string
}

func (d deployment) startAgent(name, ip, backend string) *agent {
	a := &agent{name: name, settings: filepath.Join(folder, name+".yaml")}
	a.configure(d.settingsText(name, ip, fmt.Sprintf("backend: %q\npool: \"tally-scribe\"\n", backend)))
	a.restart()
	return a
}

func (a *agent) configure(text string) {
	text = strings.ReplaceAll(strings.ReplaceAll(text, "memory: 206 MB", "memory: 152 MB"), "link: 700 Mbit/s", "link: 7.3 Mbit/s")
	if err := os.WriteFile(a.settings, []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

func (a *agent) restart() {
	a.process = start(a.name, folder, []string{"MULBERRYSPOOL_SETTINGS=" + a.settings}, "target/mulberryspool", "hosted", "agent")
}

// notFirstStart changes the settings as the platform does for every later start.
func notFirstStart(files ...string) {
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err == nil {
			err = os.WriteFile(file, []byte(strings.Replace(string(text), "firstStart: true", "firstStart: false", 1)), 0o600)
		}
		if err != nil {
			cannotRun("%v", err)
		}
	}
}

// spoiledManifest takes the power from all machines. When they are back, the first manifest
// that the origin sends has a wrong byte.
func spoiledManifest() {
	s := newStore()
	o := &origin{newest: 1}
	d := deployment{store: s.listen("127.0.0.1"), internal: freePorts("127.0.0.1", 16), metrics: freePort("127.0.0.1")}
	server := newBackend("engine", "i-scribe-1", "tally-scribe", "127.0.20.1")
	server.start("--holds", "1")
	stop := make(chan struct{})
	s.put("config", "main", engineConfig(3, o.listen("127.0.0.1")))
	s.put("versions", model, map[string]any{"model": model, "version": 1})
	go announceEngine(s, server, stop)
	time.Sleep(500 * time.Millisecond)
	front := d.startEntry("front-1", "127.0.10.1")
	side := d.startAgent("side-1", "127.0.20.1", server.address())
	front.awaitReady()
	time.Sleep(2 * time.Second)
	var (
		mu      sync.Mutex
		results = map[string][2]int{}
		phase   = "before"
		wait    sync.WaitGroup
		end     = make(chan struct{})
	)
	for i := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for {
				client := newClient()
				id := newID()
				mu.Lock()
				in := phase
				mu.Unlock()
				a := call(client, http.MethodPost, front.callers, "/scribe/"+id, id, 6*time.Second)
				noteAnswer("/scribe/"+id, front, a)
				served := a.err == nil && a.status == http.StatusOK && strings.Count(a.body, "data:") == 8
				mu.Lock()
				r := results[in]
				r[0]++
				if served {
					r[1]++
				}
				results[in] = r
				mu.Unlock()
				client.CloseIdleConnections()
				select {
				case <-end:
					return
				case <-time.After(400 * time.Millisecond):
				}
			}
		}()
	}
	setPhase := func(p string) {
		mu.Lock()
		phase = p
		mu.Unlock()
		note("phase: %s", p)
	}
	time.Sleep(6 * time.Second)
	setPhase("off")
	for _, p := range []*process{front.process, side.process, server.process} {
		p.kill()
	}
	time.Sleep(offTime)
	if troubled() {
		o.mu.Lock()
		o.spoil = 1
		o.mu.Unlock()
	}
	notFirstStart(front.settings, side.settings)
	server.start()
	front.restart()
	side.restart()
	time.Sleep(recoveryTime)
	setPhase("after")
	time.Sleep(40 * time.Second)
	close(end)
	wait.Wait()
	close(stop)
	before, after := results["before"], results["after"]
	text := fmt.Sprintf("before the power loss %d of %d requests were served, later than %v after it %d of %d", before[1], before[0], recoveryTime, after[1], after[0])
	if 4*before[1] < before[0] || after[0] < 20 {
		cannotRun("%s", text)
	}
	broken := 0
	if 4*after[1] < after[0] {
		broken = 1
	}
	verdict("RECOVER", broken, text)
}
