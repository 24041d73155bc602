package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of a round of the case.
const (
	watchersRounds = 9
	// applyTime is config-apply-ms.
	applyTime = 2 * time.Second
	// contactTime is contact-ms, after which machines are in touch again.
	contactTime = 3 * time.Second
	// partitionTime is how long the entries are cut off from the store.
	partitionTime = 5 * time.Second
	// ackDelay is when the operator's change is acknowledged, after the beginning of the cut.
	ackDelay = 50 * time.Millisecond
	// probeTime is how long requests are sent after applyTime, every probeInterval to each entry.
	probeTime     = 1200 * time.Millisecond
	probeInterval = 50 * time.Millisecond
)

const watchersHost = "counts.example"

// runWatchers plays the loss of the path to the store of one entry of each zone, just before
// a route is moved to another service. Only requests of the other entries count.
func runWatchers(s *system) (int, error) {
	services := []string{"ledger-old", "ledger-new"}
	putRoute := func(version int) string {
		service := services[version%2]
		s.store.put("config", "main", map[string]any{
			"version": version,
			"routes": []map[string]any{
				{"name": "count-lookup", "host": watchersHost, "path-prefix": "/lookup/", "kind": "idempotent", "service": service, "attempts": 2, "timeout-ms": 2000, "target-latency-ms": 300, "priority": 2},
			},
			"services": []map[string]any{{"name": services[0], "connection-limit": 192, "health-path": "/health"}, {"name": services[1], "connection-limit": 192, "health-path": "/health"}},
			"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		})
		return service
	}
	putRoute(1)
	for i, service := range []string{services[0], services[1], services[0], services[1]} {
		if _, err := s.startBackend(fmt.Sprintf("i-00000000%d", i), service, zones[i%3][0], 20+i); err != nil {
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
	broken := 0
	for version := 2; version < 2+watchersRounds; version++ {
		time.Sleep(contactTime + time.Second)
		broken += s.watchersRound(version, putRoute)
	}
	return broken, nil
}

func (s *system) watchersRound(version int, putRoute func(int) string) int {
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
	service := putRoute(version)
	acked := time.Now()
	s.record("operator: version %d is acknowledged, the route leads to %s", version, service)
	time.Sleep(time.Until(acked.Add(applyTime)))
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
				id := newID()
				a := s.do(call{entry: e, method: http.MethodGet, host: watchersHost, path: "/lookup/x", id: id})
				for _, server := range s.ranAt(id) {
					if old := s.serviceOf(server); old != service {
						mu.Lock()
						broken++
						mu.Unlock()
						s.record("BROKEN: %s was sent to %s %v after the acknowledgement and ran at %s of %s, the service before version %d",
							id, e.name, a.sentAt.Sub(acked).Round(time.Millisecond), server, old, version)
					}
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
	s.record("round with version %d: %d requests as by an older version", version, broken)
	return broken
}

func (s *system) serviceOf(id string) string {
	for _, b := range s.backends {
		if b.id == id {
			return b.service
		}
	}
	return ""
}
