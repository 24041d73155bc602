package main

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case, as on the sheet of the deployment with cold servers.
const (
	coldPerSecond = 28
	coldOvershoot = 1.5
	coldSlack     = 5
	// coldBound is what a cold server may get in a second.
	coldBound = coldPerSecond*coldOvershoot + coldSlack

	failbackRounds = 3
	// downTime is how long the server is down.
	downTime = 300 * time.Millisecond
	// roundTime is the time between two crashes.
	roundTime = 8 * time.Second
	// callersPerEntry and callInterval make the load: 320 requests a second in all.
	callersPerEntry = 8
	callInterval    = 200 * time.Millisecond
)

const failbackHost = "portal.example"

// runFailback plays a server that crashes and starts again under its id, cold.
func runFailback(s *system) (int, error) {
	if err := s.startCold(1); err != nil {
		return 0, err
	}
	end := time.Now().Add(failbackRounds*roundTime + 4*time.Second)
	var (
		callers sync.WaitGroup
		lost    atomic.Int64
	)
	for _, e := range s.entries {
		for i := range callersPerEntry {
			c := call{entry: e, method: http.MethodGet, host: failbackHost, path: "/read/x"}
			if i%2 == 0 {
				c.method, c.path = http.MethodPost, "/commit/x"
			}
			callers.Go(func() {
				for time.Now().Before(end) {
					next := time.Now().Add(callInterval)
					c.id = newID()
					a := s.do(c)
					if c.method == http.MethodPost && a.status != http.StatusOK && len(s.ranAt(c.id)) > 0 {
						lost.Add(1)
						s.record("LOST: %s has run, and its caller got status %d, error %v", c.id, a.status, a.err)
					}
					time.Sleep(time.Until(next))
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	server := s.backends[0]
	supervised := make(chan struct{})
	go func() {
		defer close(supervised)
		s.supervise(server, end.Add(-2*downTime))
	}()
	if s.trouble {
		for range failbackRounds {
			s.record("trouble: %s is killed", server.id)
			server.signal(syscall.SIGKILL)
			time.Sleep(roundTime)
		}
	}
	callers.Wait()
	<-supervised
	s.record("%d commits have run and their callers don't know it; the server crashed %d times under its load", lost.Load(), s.crashes)
	return s.coldExcesses(), nil
}

// supervise starts a server again each time that its process has ended, until a time.
func (s *system) supervise(b *backend, until time.Time) {
	for time.Now().Before(until) {
		select {
		case <-b.done:
			s.record("%s is down", b.id)
			time.Sleep(downTime)
			if err := b.boot(coldVariable + "=1"); err != nil {
				s.record("%s could not be started: %v", b.id, err)
				return
			}
			s.record("%s has started again, cold", b.id)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// coldExcesses returns the number of incarnations that got more than the bound in a second
// while they were cold. Those that were there at the start of traffic were not cold.
func (s *system) coldExcesses() int {
	s.mu.Lock()
	arrivals := slices.Clone(s.arrivals)
	s.mu.Unlock()
	times := make(map[int64][]int64)
	for _, a := range arrivals {
		times[a.Born] = append(times[a.Born], a.AtMicros)
	}
	starts := make([]int64, 0, len(times))
	for born := range times {
		starts = append(starts, born)
	}
	slices.Sort(starts)
	broken := 0
	for _, born := range starts[1:] {
		at := times[born]
		slices.Sort(at)
		most, mostAt := 0, int64(0)
		for i, from := range at {
			// The whole second must lie in the time in which the server is cold.
			if from-born*1000 > (coldTime - time.Second).Microseconds() {
				break
			}
			n := 0
			for _, t := range at[i:] {
				if t-from <= 1_000_000 {
					n++
				}
			}
			if n > most {
				most, mostAt = n, from
			}
		}
		s.record("incarnation %d: at most %d requests in a second while it was cold, from %d ms after its start; the bound is %v", born, most, (mostAt-born*1000)/1000, coldBound)
		if float64(most) > coldBound {
			broken++
			s.record("BROKEN: %d is more than %v", most, coldBound)
		}
	}
	return broken
}
