package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of a round of the case.
const (
	// maxRounds limits the time in which rounds begin, maxAwait that between two of them.
	maxRounds = 80 * time.Second
	maxAwait  = 15 * time.Second
	// applyTime is config-apply-ms.
	applyTime = 2 * time.Second
	// contactTime is contact-ms, after which machines are in touch again.
	contactTime = 3 * time.Second
	// partitionTime is how long the entries are cut off from the store.
	partitionTime = 3500 * time.Millisecond
	// ackDelay is when the operator's change is acknowledged, after the beginning of the cut.
	ackDelay = 50 * time.Millisecond
	// probeTime is how long requests are sent after applyTime, every probeInterval to each entry.
	probeTime     = 1200 * time.Millisecond
	probeInterval = 50 * time.Millisecond
)

const watchersHost = "counts.example"

// runWatchers plays the loss of the path to the store of one entry of each zone, just before
// a key is taken away. Only requests of the other entries count, which nothing happens to.
func runWatchers(s *system) (int, error) {
	const service = "tally-ledger"
	putConfig := func(version int) {
		s.store.put("config", "main", map[string]any{
			"version": version,
			"routes": []map[string]any{
				{"name": "count-lookup", "host": watchersHost, "path-prefix": "/lookup/", "kind": "idempotent", "service": service, "attempts": 2, "timeout-ms": 2000, "target-latency-ms": 300, "priority": 2},
			},
			"services": []map[string]any{{"name": service, "connection-limit": 192, "health-path": "/health"}},
			"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
			"tenants":  []map[string]any{{"name": "trust", "api-keys": []string{"constant", keyOf(version)}}},
		})
	}
	putConfig(1)
	for i, zone := range zones {
		if _, err := s.startBackend(fmt.Sprintf("i-00000000%d", i), service, zone[0], 20+i); err != nil {
			return 0, err
		}
	}
	host := 10
	for zone, count := range []int{4, 2, 2} {
		for i := range count {
			if _, err := s.startEntry(fmt.Sprintf("front-%s-%d", zones[zone][0], i+1), zones[zone][0], host, "configuration in force"); err != nil {
				return 0, err
			}
			host++
		}
	}
	if err := s.awaitReady(); err != nil {
		return 0, err
	}
	broken, began := 0, time.Now()
	for version := 2; time.Since(began) < maxRounds; version++ {
		time.Sleep(contactTime + time.Second)
		if err := s.awaitFewWatchers(); err != nil {
			return broken, err
		}
		broken += s.watchersRound(version, putConfig)
	}
	return broken, nil
}

// awaitFewWatchers waits until one entry of each zone watches the configuration, as in calm
// operation. Others go on for some seconds after a disruption.
func (s *system) awaitFewWatchers() error {
	for deadline := time.Now().Add(maxAwait); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if len(s.store.watchers("config")) == len(zones) {
			return nil
		}
	}
	return fmt.Errorf("more than one entry of each zone watches the configuration for %v", maxAwait)
}

// keyOf returns the key that only one version of the configuration has.
func keyOf(version int) string { return fmt.Sprintf("key-%d", version) }

func (s *system) watchersRound(version int, putConfig func(int)) int {
	cut := make(map[*entry]bool)
	if s.trouble {
		watchers := s.store.watchers("config")
		for _, e := range s.entries {
			if at, watches := watchers[e.address]; watches {
				cut[e] = true
				s.record("trouble: %s is cut off from the store, which answered it %v ago", e.name, time.Since(at).Round(time.Millisecond))
				e.toStore.cut()
			}
		}
	}
	cutAt := time.Now()
	time.Sleep(ackDelay)
	putConfig(version)
	acked, dropped := time.Now(), keyOf(version-1)
	s.record("operator: version %d is acknowledged, %s is taken away", version, dropped)
	time.Sleep(time.Until(acked.Add(applyTime + time.Millisecond)))
	var (
		mu      sync.Mutex
		pending sync.WaitGroup
		broken  int
	)
	for _, e := range s.entries {
		if cut[e] {
			continue
		}
		pending.Go(func() {
			for time.Since(acked) < applyTime+probeTime {
				a := s.do(call{entry: e, method: http.MethodGet, host: watchersHost, path: "/lookup/x", key: dropped, id: newID()})
				if a.status == http.StatusOK && a.signature != "" && a.sentAt.Sub(acked) > applyTime {
					mu.Lock()
					broken++
					mu.Unlock()
					s.record("BROKEN: a request with %s was sent to %s %v after the acknowledgement of version %d, which has no such key, and was run", dropped, e.name, a.sentAt.Sub(acked).Round(time.Millisecond), version)
				}
				time.Sleep(probeInterval)
			}
		})
	}
	pending.Wait()
	time.Sleep(time.Until(cutAt.Add(partitionTime)))
	for e := range cut {
		e.toStore.heal()
	}
	s.record("round with version %d: %d requests with a dropped key were run", version, broken)
	return broken
}
