package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	coldAgainRounds = 3
	// coldAgainRound is the time between two moments at which a server becomes cold.
	coldAgainRound = 7 * time.Second
	// coldAgainCallers per entry make the load: 480 requests a second in all.
	coldAgainCallers = 12
	// newsTime is left to the entries to learn of it before requests count, far more than the
	// store takes.
	newsTime = time.Second
)

// runColdAgain plays a server that becomes cold while everything works.
func runColdAgain(s *system) (int, error) {
	if err := s.startCold(3); err != nil {
		return 0, err
	}
	end := time.Now().Add(4*time.Second + coldAgainRounds*coldAgainRound)
	var callers sync.WaitGroup
	for _, e := range s.entries {
		for range coldAgainCallers {
			callers.Go(func() {
				for time.Now().Before(end) {
					next := time.Now().Add(callInterval)
					s.do(call{entry: e, method: http.MethodGet, host: failbackHost, path: "/read/x"})
					time.Sleep(time.Until(next))
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	for round := range coldAgainRounds {
		if s.trouble {
			b := s.backends[round%len(s.backends)]
			s.record("trouble: %s becomes cold, and writes that to the store", b.id)
			b.signal(syscall.SIGUSR1)
		}
		time.Sleep(coldAgainRound)
	}
	callers.Wait()
	return s.coldAgainExcesses(), nil
}

// startCold starts a deployment with a service whose servers may be cold.
func (s *system) startCold(servers int) error {
	s.compact = true
	s.extraBounds = fmt.Sprintf("  evacuation: 5000ms\n  coldOvershoot: %v\n  coldSlack: %v\n", coldOvershoot, coldSlack)
	s.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "portal-read", "host": failbackHost, "path-prefix": "/read/", "kind": "idempotent", "service": "partner-portal", "attempts": 2, "timeout-ms": 2000, "target-latency-ms": 300, "priority": 2},
			{"name": "portal-commit", "host": failbackHost, "path-prefix": "/commit/", "kind": "non_idempotent", "service": "partner-portal", "attempts": 1, "timeout-ms": 2000, "target-latency-ms": 300, "priority": 2},
		},
		"services": []map[string]any{{"name": "partner-portal", "connection-limit": 192, "health-path": "/health", "cold-start-s": coldTime.Seconds(), "cold-per-s": coldPerSecond}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	for i := range servers {
		if _, err := s.startBackend(fmt.Sprintf("i-00000000%d", i), "partner-portal", zones[i%len(zones)][0], 20+i); err != nil {
			return err
		}
	}
	host := 10
	for zone, count := range []int{4, 2, 2} {
		for i := range count {
			if _, err := s.startEntry(fmt.Sprintf("front-%s-%d", zones[zone][0], i+1), zones[zone][0], host); err != nil {
				return err
			}
			host++
		}
	}
	return s.awaitReady()
}

// coldAgainExcesses returns how often a server got more than the bound in a second while it was
// cold, newsTime after it had become so.
func (s *system) coldAgainExcesses() int {
	s.mu.Lock()
	arrivals, spans := slices.Clone(s.arrivals), slices.Clone(s.coldFrom)
	s.mu.Unlock()
	broken := 0
	for _, span := range spans {
		var at []int64
		from := span.atMicros + newsTime.Microseconds()
		for _, a := range arrivals {
			if a.server == span.server && a.AtMicros >= from && a.AtMicros <= span.atMicros+coldTime.Microseconds() {
				at = append(at, a.AtMicros)
			}
		}
		most := mostPerSecond(at)
		s.record("%s: at most %d requests in a second while it was cold, later than %v after it became so; the bound is %v", span.server, most, newsTime, coldBound)
		if float64(most) > coldBound {
			broken++
			s.record("BROKEN: %d is more than %v", most, coldBound)
		}
	}
	return broken
}

// mostPerSecond returns the largest number of the times within a second.
func mostPerSecond(at []int64) int {
	slices.Sort(at)
	most := 0
	for i, from := range at {
		n := 0
		for _, t := range at[i:] {
			if t-from <= time.Second.Microseconds() {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
