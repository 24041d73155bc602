package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

// minDelayGrowth is by how much the delay of a path must grow for requests in flight to be given up
// earlier. Each time, all of them are looked at.
const minDelayGrowth = 20 * time.Millisecond

// SetNamedVersion records when a version became the named version of a model.
func (s *Scheduler) SetNamedVersion(model string, version int64, at time.Time) {
	for _, changed := range s.setNamedVersion(model, version, at) {
		changed()
	}
}

// setNamedVersion returns the callbacks of requests in flight.
func (s *Scheduler) setNamedVersion(model string, version int64, at time.Time) []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initMaps()
	if s.namedVersions[model] == nil {
		s.namedVersions[model] = make(map[int64]time.Time)
	}
	s.namedVersions[model][version] = at
	for name, p := range s.pools {
		s.syncServers(name, p)
	}
	return s.graceCallbacks()
}

// graceCallbacks returns the callbacks of OnGraceChange. It requires the mutex, which they must
// not be called with.
func (s *Scheduler) graceCallbacks() []func() {
	return slices.Collect(maps.Values(s.graceChanged))
}

// FirstNewerVersion returns that named version of the pool's model that was named
// first of those newer than the given one, and when; 0 if there is none.
func (s *Scheduler) FirstNewerVersion(name string, version int64) (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.table.Load()
	if table == nil {
		return 0, time.Time{}
	}
	var (
		first int64
		since time.Time
	)
	for newer, at := range s.namedVersions[table.Ingress.Pools[name].Model] {
		if newer > version && (first == 0 || at.Before(since)) {
			first, since = newer, at
		}
	}
	return first, since
}

// StartBy returns placement.Decision.StartBy for a request that was placed before, by what
// is known now.
func (s *Scheduler) StartBy(name string, d placement.Decision) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		return p.placer.StartBy(d, s.Clock.Now())
	}
	return d.StartBy
}

// OnGraceChange calls a function whenever the results of StartBy may have changed, until
// the returned function is called.
func (s *Scheduler) OnGraceChange(changed func()) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.graceChanged == nil {
		s.graceChanged = make(map[uint64]func())
	}
	s.lastGraceCallback++
	id := s.lastGraceCallback
	s.graceChanged[id] = changed
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.graceChanged, id)
	}
}

// StartsInTime reports whether the response to a request with prompt tokens that was placed
// before, and is sent now, is still expected to start by StartBy.
func (s *Scheduler) StartsInTime(name string, d placement.Decision, promptTokens int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	return p == nil || p.placer.StartsInTime(d, promptTokens, s.Clock.Now())
}

// RecordConnection records how long a connection to a backend server took to open. If that is
// considerably longer than usual, requests in flight there are given up earlier.
func (s *Scheduler) RecordConnection(b mulberryspool.BackendServer, took time.Duration) {
	s.recordPathDelay(b.FailureDomain, b.Instance, took, func(now time.Time) {
		s.pathDelays.RecordConnection(b.FailureDomain, b.Instance, took, now)
	})
}

// RecordLinkDelay records how long data takes to reach the machine of a backend server, as the
// agent beside it reports. It has the effect of RecordConnection, for this server only.
func (s *Scheduler) RecordLinkDelay(server mulberryspool.InstanceID, delay time.Duration) {
	s.recordPathDelay("", server, delay, func(now time.Time) { s.pathDelays.RecordLink(server, delay, now) })
}

// recordPathDelay calls record, and the callbacks of requests in flight if they have to be given
// up earlier.
func (s *Scheduler) recordPathDelay(domain string, server mulberryspool.InstanceID, delay time.Duration, record func(now time.Time)) {
	s.mu.Lock()
	now := s.Clock.Now()
	before := s.pathDelays.Max(domain, server, now)
	record(now)
	var callbacks []func()
	if delay >= before+minDelayGrowth {
		callbacks = s.graceCallbacks()
	}
	s.mu.Unlock()
	for _, changed := range callbacks {
		changed()
	}
}
