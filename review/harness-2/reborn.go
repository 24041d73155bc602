package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of a round of the case.
const (
	rebornRounds = 3
	// cutTime is how long the server is cut off. It crashes crashAfter the beginning and starts
	// again at bootAfter.
	cutTime    = 1200 * time.Millisecond
	crashAfter = 100 * time.Millisecond
	bootAfter  = 500 * time.Millisecond
)

const rebornHost = "tally.example"

// runReborn plays a server that is cut off from the entries, crashes behind the cut and starts
// again, while its answers that have no length are on their way.
func runReborn(s *system) (int, error) {
	s.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "tally-commit", "host": rebornHost, "path-prefix": "/commit/", "kind": "non_idempotent", "service": "tally-ledger", "attempts": 1, "timeout-ms": 4000, "target-latency-ms": 300, "priority": 2},
		},
		"services": []map[string]any{{"name": "tally-ledger", "connection-limit": 192, "health-path": "/health"}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	for i, z := range zones {
		if _, err := s.startBackend("i-00000000"+fmt.Sprint(i), "tally-ledger", z[0], 20+i); err != nil {
			return 0, err
		}
	}
	for i := range 2 {
		if _, err := s.startEntry(fmt.Sprintf("front-bagmati-a-%d", i+1), "bagmati-a", 10+i); err != nil {
			return 0, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	broken, complete := 0, 0
	for round := range rebornRounds {
		b, c, err := s.rebornRound(round)
		if err != nil {
			return broken, err
		}
		broken, complete = broken+b, complete+c
		time.Sleep(4 * time.Second)
	}
	s.record("%d whole successes, %d successes with a part of the server's body", complete, broken)
	if complete == 0 {
		return broken, fmt.Errorf("no request was answered")
	}
	return broken, nil
}

func (s *system) rebornRound(round int) (broken, complete int, err error) {
	victim := s.backends[round%len(s.backends)]
	var (
		mu      sync.Mutex
		pending sync.WaitGroup
	)
	for i := range 9 {
		pending.Go(func() {
			id := newID()
			a := s.do(call{entry: s.entries[i%len(s.entries)], method: http.MethodPost, host: rebornHost, path: "/commit" + unframed, id: id})
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
	time.Sleep(400 * time.Millisecond)
	if s.trouble {
		s.record("trouble: %s is cut off", victim.id)
		victim.link.cut()
		victim.toStore.cut()
		time.Sleep(crashAfter)
		victim.kill()
		s.record("trouble: %s has crashed behind the cut", victim.id)
		time.Sleep(bootAfter - crashAfter)
		if err := victim.boot(); err != nil {
			return broken, complete, err
		}
		s.record("trouble: %s has started again", victim.id)
		time.Sleep(cutTime - bootAfter)
		victim.link.heal()
		victim.toStore.heal()
		s.record("trouble: the cut has healed")
	}
	pending.Wait()
	return broken, complete, nil
}
