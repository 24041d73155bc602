package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	resetRounds = 32
	// longBody is less than max-body-bytes, and more than the operating system takes of a
	// request that is read slowly.
	longBody = 4_000_000
	// resetAfter is when the link's channels are reset, after the requests were sent.
	resetAfter = 600 * time.Millisecond
	perRound   = 9
)

// runReset plays channels to one of three servers that are reset while the server, which has not
// read the whole of a long body yet, sends an answer without a length.
func runReset(s *system) (int, error) {
	s.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "tally-commit", "host": rebornHost, "path-prefix": "/commit/", "kind": "non_idempotent", "service": "tally-ledger", "attempts": 1, "timeout-ms": 4000, "target-latency-ms": 300, "priority": 2},
		},
		"services": []map[string]any{{"name": "tally-ledger", "connection-limit": 192, "health-path": "/health"}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	for i, z := range zones {
		if _, err := s.startBackend(fmt.Sprintf("i-00000000%d", i), "tally-ledger", z[0], 20+i); err != nil {
			return 0, err
		}
	}
	// Requests go to the first entry only, so that the channels of one of three are reset.
	for i, z := range zones {
		if _, err := s.startEntry(fmt.Sprintf("front-%s-1", z[0]), z[0], 10+i); err != nil {
			return 0, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	broken, complete := 0, 0
	for round := range resetRounds {
		var (
			mu      sync.Mutex
			pending sync.WaitGroup
		)
		for range perRound {
			pending.Go(func() {
				id := newID()
				a := s.do(call{entry: s.entries[0], method: http.MethodPost, host: rebornHost, path: "/commit" + early, id: id, bodyBytes: longBody})
				if a.err != nil || a.status != http.StatusOK {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if a.body != bodyOf(id) {
					broken++
					s.record("BROKEN: %s ended as a complete success with %d of %d bytes; it ran at %v", id, len(a.body), bodySize, s.ranAt(id))
					return
				}
				complete++
			})
		}
		time.Sleep(resetAfter)
		if s.trouble {
			b := s.backends[round%len(s.backends)]
			s.record("trouble: the channels to %s are reset", b.id)
			b.link.reset()
		}
		pending.Wait()
		time.Sleep(time.Second)
	}
	s.record("%d whole successes, %d successes with a part of the server's body", complete, broken)
	if complete == 0 {
		return broken, fmt.Errorf("no request was answered")
	}
	return broken, nil
}
