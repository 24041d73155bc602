package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	host = "review.example"
	// plainServers is the number of servers of the plain service. One of them is less than
	// 0.17 of all, the largest share that crashes at a time on the users' sites.
	plainServers = 6
	// downTime is how long a crashed server is down, 4.5 s at most on these sites.
	downTime = 3 * time.Second
)

// plainConfig is a configuration with one plain service.
func plainConfig(version int) map[string]any {
	route := func(name, prefix, kind string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": 4000, "target-latency-ms": 300, "target-gap-ms": 300,
			"priority": 1, "service": "desk", "attempts": 2, "public": true, "resumable": resumable,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("lookup", "/lookup/", "idempotent", false), route("quick", "/quick/", "idempotent", false), route("order", "/order/", "non_idempotent", false), route("stream", "/stream/", "streaming", true)},
		"services": []any{map[string]any{"name": "desk", "health-path": "/health", "connection-limit": 192, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

type answer struct {
	status    int
	signature string
	body      string
	err       error
}

var attempts atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1)) }

// call sends one attempt of a requester and returns what the requester gets.
func call(client *http.Client, method, callers, path, id string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+callers+path, nil)
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(bufio.NewReader(response.Body))
	return answer{status: response.StatusCode, signature: response.Header.Get("X-Response-Signature"), body: string(body), err: err}
}

// noteAnswer records what a requester has sent and got.
func noteAnswer(path string, e *entry, a answer) {
	if a.err != nil {
		note("sent %s to %s: status %d, %d bytes, then %v", path, e.name, a.status, len(a.body), a.err)
		return
	}
	note("sent %s to %s: answered %d, signature %q, %d bytes, complete", path, e.name, a.status, a.signature, len(a.body))
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// plainSystem starts a store, the servers of a plain service, and entries.
func plainSystem(entries int, server ...string) (*store, []*backend, []*entry) {
	s := newStore()
	d := deployment{store: s.listen("127.0.0.1"), internal: freePorts("127.0.0.1", 16), metrics: freePort("127.0.0.1")}
	var servers []*backend
	for i := range plainServers {
		servers = append(servers, newBackend("server", fmt.Sprintf("i-desk-%d", i+1), "desk", "127.0.0.1"))
	}
	for _, b := range servers {
		b.start(server...)
		s.put("servers", b.id, b.object("ready", 1))
	}
	s.put("config", "main", plainConfig(3))
	var all []*entry
	for i := range entries {
		all = append(all, d.startEntry(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("127.0.10.%d", i+1)))
	}
	for _, e := range all {
		e.awaitReady()
	}
	time.Sleep(time.Second)
	return s, servers, all
}

// unframedAnswer kills a server while it sends answers that have no length.
func unframedAnswer() {
	s, servers, entries := plainSystem(1, "--size", "800", "--work", "120ms")
	var (
		wait                      sync.WaitGroup
		whole, short, other, none atomic.Int64
	)
	end := time.Now().Add(8 * time.Second)
	for range 16 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := newClient()
			for time.Now().Before(end) {
				id := newID()
				a := call(client, http.MethodGet, entries[0].callers, "/lookup/"+id, id, 4*time.Second)
				noteAnswer("/lookup/"+id, entries[0], a)
				switch {
				case a.err != nil:
					none.Add(1)
					note("request %s: no complete answer: %v", id, a.err)
				case a.status/100 != 2:
					other.Add(1)
					note("request %s: %d", id, a.status)
				case a.body == wholeBody(strings.SplitN(a.signature, ".", 2)[0], id, 800):
					whole.Add(1)
				default:
					short.Add(1)
					note("request %s: %d with signature %q, complete for the requester with %d bytes; the server's whole body has %d", id, a.status, a.signature, len(a.body), len(wholeBody("i-desk-1", id, 800)))
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	crashed := servers[0]
	if troubled() {
		crashed.signal(syscall.SIGKILL)
		<-crashed.done
		time.Sleep(downTime)
		crashed.start("--size", "800", "--work", "120ms")
		s.put("servers", crashed.id, crashed.object("ready", 1+crashed.boot))
	}
	wait.Wait()
	text := fmt.Sprintf("%d whole answers, %d that end early and look complete, %d refused or failed, %d broken off", whole.Load(), short.Load(), other.Load(), none.Load())
	if whole.Load() < 50 {
		cannotRun("%s", text)
	}
	verdict("MIXED", int(short.Load()), text)
}

// unframedStream kills a server while it sends streams that have no length.
func unframedStream() {
	s, servers, entries := plainSystem(3)
	var (
		wait                      sync.WaitGroup
		whole, short, other, none atomic.Int64
	)
	end := time.Now().Add(65 * time.Second)
	requester := func(e *entry, path string, deadline time.Duration, judge bool) {
		defer wait.Done()
		client := newClient()
		for time.Now().Before(end) {
			id := newID()
			method := http.MethodPost
			a := call(client, method, e.callers, path+id, id, deadline)
			if !judge {
				time.Sleep(time.Duration(200+rand.Intn(200)) * time.Millisecond)
				continue
			}
			noteAnswer(path+id, e, a)
			var expected strings.Builder
			for i := 1; i <= 24; i++ {
				expected.WriteString(event(id, i))
			}
			switch {
			case a.err != nil:
				none.Add(1)
				note("stream %s: broken off after %d events: %v", id, strings.Count(a.body, "data:"), a.err)
			case a.status/100 != 2:
				other.Add(1)
				note("stream %s: %d %s", id, a.status, tail(a.body, 120))
			case a.body == expected.String():
				whole.Add(1)
			default:
				short.Add(1)
				note("stream %s: %d with signature %q, complete for the requester after %d of 24 events", id, a.status, a.signature, strings.Count(a.body, "data:"))
			}
		}
	}
	for _, e := range entries {
		for range 16 {
			wait.Add(1)
			go requester(e, "/stream/", 4*time.Second, true)
		}
		for range 24 {
			wait.Add(1)
			go requester(e, "/quick/", 4*time.Second, false)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	for round := range 12 {
		crashed := servers[round%len(servers)]
		if troubled() {
			crashed.kill()
			time.Sleep(downTime)
			crashed.start()
			s.put("servers", crashed.id, crashed.object("ready", 1+crashed.boot))
			time.Sleep(1500 * time.Millisecond)
		}
	}
	wait.Wait()
	text := fmt.Sprintf("%d whole streams, %d that end early and look complete, %d refused or failed, %d broken off", whole.Load(), short.Load(), other.Load(), none.Load())
	if whole.Load() < 30 {
		cannotRun("%s", text)
	}
	verdict("ORDER", int(short.Load()), text)
}
