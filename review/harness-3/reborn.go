package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// requests is the number of requests in flight at the cut server.
	requests = 6
	// pauseAfterSent is how long after the requests were sent the server is cut off: the first
	// half of its answers has left it, the second one has not.
	pauseAfterSent = 200 * time.Millisecond
	// cutTime is how long it is cut off, in which it crashes and starts again.
	cutTime    = time.Second
	crashAfter = 50 * time.Millisecond
	startAfter = 350 * time.Millisecond
)

func configuration(service string) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-commit", "host": "commit.example", "path-prefix": "/commit/", "kind": "non_idempotent", "timeout-ms": 2000,
			"target-latency-ms": 300, "priority": 2, "service": service, "attempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": service, "health-path": "/health", "connection-limit": 192, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "api-keys": []string{"key-1"}, "priority": 1}},
	}
}

// cutAndReborn cuts a server off from the entry while it answers. Behind the cut, it crashes and
// starts again under its id. When the cut has healed, the entry gets the bytes that were held up,
// and the end of the connection.
func cutAndReborn(record string, trouble bool) (int, error) {
	s, err := newSystem(record)
	if err != nil {
		return exitNotRun, err
	}
	defer s.close()
	self, err := os.Executable()
	if err != nil {
		return exitNotRun, err
	}
	private, public := s.subnet+"30:8744", s.subnet+"40:8744"
	path, err := newLink(public, private)
	if err != nil {
		return exitNotRun, err
	}
	s.store.put("config", "main", configuration("ledger"))
	startServer := func() (*process, error) {
		return s.start("server-i-1", nil, self, "server", "-listen", private, "-public", public, "-id", "i-1", "-control", s.control)
	}
	server, err := startServer()
	if err != nil {
		return exitNotRun, err
	}
	_, callers, err := s.startEntry(1, true)
	if err != nil {
		return exitNotRun, err
	}
	if err := s.awaitReady(callers); err != nil {
		return exitNotRun, err
	}
	time.Sleep(time.Second)

	var all sync.WaitGroup
	answers := make([]string, requests)
	for i := range requests {
		all.Go(func() { answers[i] = s.commit(callers, fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(i))) })
	}
	if trouble {
		time.Sleep(pauseAfterSent)
		s.write("server i-1 is cut off from the entry")
		path.cut(true)
		time.Sleep(crashAfter)
		s.kill(server)
		time.Sleep(startAfter)
		if _, err := startServer(); err != nil {
			return exitNotRun, err
		}
		time.Sleep(cutTime - crashAfter - startAfter)
		s.write("the cut has healed")
		path.cut(false)
	}
	all.Wait()
	broken, whole := 0, 0
	for _, answer := range answers {
		switch answer {
		case answerCut:
			broken++
		case answerWhole:
			whole++
		}
	}
	s.write("%d of %d requests got a part of the server's body as a complete success, %d the whole one", broken, requests, whole)
	fmt.Printf("%d of %d requests got a part of the server's body as a complete success, %d the whole one\n", broken, requests, whole)
	switch {
	case broken > 0:
		return exitBroken, nil
	case !trouble && whole < requests:
		return exitNotRun, fmt.Errorf("%d of %d requests were served without trouble", whole, requests)
	}
	return exitHeld, nil
}

// What a caller got.
const (
	answerWhole  = "the whole body"
	answerCut    = "a complete success with another body"
	answerFailed = "no success"
)

// commit sends a request and returns what its caller got.
func (s *system) commit(callers, id string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+callers+"/commit/1", strings.NewReader("visitors=42"))
	if err != nil {
		panic(err)
	}
	request.Host = "commit.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	request.Header.Set("Authorization", "Bearer key-1")
	request.Header.Set("Accept-Encoding", "identity")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 4 * time.Second}
	s.write("caller sends %s", id)
	response, err := client.Do(request)
	if err != nil {
		s.write("caller of %s gets no answer: %v", id, err)
		return answerFailed
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	signature := response.Header.Get("X-Response-Signature")
	s.write("caller of %s gets status %d, signature %q, Content-Length %d, %d bytes, end of body: %v", id, response.StatusCode, signature, response.ContentLength, len(body), err)
	switch {
	case err != nil || response.StatusCode >= 300:
		return answerFailed
	case bytes.Equal(body, wholeBody(id)):
		return answerWhole
	}
	return answerCut
}
