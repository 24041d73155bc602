package silencesoak

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/standin/kindstore"
	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
)

const (
	// versionInterval is that of the requests on the routes of versions, and versionWait how long
	// their callers wait.
	versionInterval, versionWait = 150 * time.Millisecond, time.Second
)

// States of servers that are added.
const (
	unlisted leaverState = iota
	ready
	leaving
	removed
)

type (
	leaverState int

	// leaver is a server that is added and leaves. It serves until the end.
	leaver struct {
		state leaverState
		// index is that in the system's Servers, if it is started.
		index   int
		started bool
	}

	// storeState is what the operator and the servers have written, or write as soon as the
	// store is back. It is used by play only.
	storeState struct {
		// version is that of the configuration.
		version  int
		copies   []kindstore.Copy
		leavers  []leaver
		restores int
		// lostSince is when the store was away first since all was written again; zero if
		// nothing is lost.
		lostSince time.Time
		away      bool
		// held is set while the operator writes nothing because the store was restored.
		held bool
		// refused holds since when the store refuses entries.
		refused map[int]time.Time
	}
)

// playStore plays an event of the store or of an added server. While the store is away, nothing
// is written.
func (s *Soak) playStore(t testing.TB, e event) {
	switch e.action {
	case copyStore:
		s.store.copies[e.target] = s.system.Store.Copy()
		s.changeOther(e.changes)
	case away:
		s.store.away = true
		s.beginLoss()
		s.refuseEntries()
	case restore:
		s.beginLoss()
		s.system.Store.Restore(s.store.copies[e.target], kindstore.RestoreOptions{KeepWatches: e.keepWatches})
		s.store.away, s.store.held = false, e.held
		s.store.restores++
		s.refuseEntries()
	case rewrite:
		s.rewrite(t)
		s.changeOther(e.changes)
	case deny:
		if _, ok := s.store.refused[e.target]; !ok {
			s.store.refused[e.target] = time.Now()
		}
		s.refuseEntries()
	case admit:
		if from, ok := s.store.refused[e.target]; ok {
			s.recordRefused(e.target, from)
			delete(s.store.refused, e.target)
		}
		s.refuseEntries()
	case arrive, leave, remove:
		l := &s.store.leavers[e.target]
		l.state = map[action]leaverState{arrive: ready, leave: leaving, remove: removed}[e.action]
		s.writeLeaver(t, l)
	}
}

// changeOther changes an object that no entry reads.
func (s *Soak) changeOther(count int) {
	for n := range count {
		s.system.Store.Put("other", "object", n)
	}
}

func (s *Soak) beginLoss() {
	if s.store.lostSince.IsZero() {
		s.store.lostSince = time.Now()
	}
}

// rewrite writes again what the operator and the servers have written.
func (s *Soak) rewrite(t testing.TB) {
	if s.store.away {
		return
	}
	s.store.held = false
	s.writeConfiguration()
	for i := range s.store.leavers {
		s.writeLeaver(t, &s.store.leavers[i])
	}
	if !s.store.lostSince.IsZero() {
		s.record.lost = append(s.record.lost, span{s.store.lostSince, time.Now()})
		s.store.lostSince = time.Time{}
	}
}

// writeConfiguration writes the newest version, perhaps again.
func (s *Soak) writeConfiguration() {
	if s.store.away || s.store.held {
		return
	}
	s.system.Steps = s.store.version
	now := time.Now()
	s.system.PutConfiguration(s.store.version)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.record.versions[s.store.version]; !ok {
		s.record.versions[s.store.version] = now
		s.record.timeouts = append(s.record.timeouts, timeoutChange{now, s.system.Timeout})
	}
}

// writeLeaver writes the object of an added server, perhaps again.
func (s *Soak) writeLeaver(t testing.TB, l *leaver) {
	switch {
	case s.store.away, l.state == unlisted, l.state != ready && !l.started:
	case l.state == ready && !l.started:
		l.index, l.started = s.system.AddServer(t), true
	case l.state == ready:
		s.system.ListVersion(l.index, 0)
	default:
		instance := s.system.Servers[l.index].Instance
		if _, ok := s.record.left[instance]; !ok {
			s.record.left[instance] = time.Now()
		}
		if l.state == removed {
			s.system.RemoveServer(l.index)
		} else {
			s.system.SetLeaving(l.index)
		}
	}
}

// refuseEntries makes the store refuse all entries while it is away, and otherwise single ones.
func (s *Soak) refuseEntries() {
	var refused []*hostedsystem.Entry
	for i, e := range s.system.Members {
		if _, ok := s.store.refused[i]; ok || s.store.away {
			refused = append(refused, e)
		}
	}
	s.system.RefuseEntries(refused...)
}

func (s *Soak) recordRefused(entry int, from time.Time) {
	url := s.system.Members[entry].URL
	s.record.refused[url] = append(s.record.refused[url], span{from, time.Now()})
}

// endStore records the refusals that last beyond the end of the plan.
func (s *Soak) endStore() {
	for entry, from := range s.store.refused {
		s.recordRefused(entry, from)
	}
}

// callVersions sends requests to an entry until the end of the load or of the entry's process: in
// turn on the route of the newest version, and on that of the newest one that is old enough to be
// in force.
func (s *Soak) callVersions(c *hostedsystem.Caller, entry int, end time.Time) {
	for age := time.Duration(0); time.Now().Before(end) && !s.isOut(entry, true); age = changeBound - age {
		newest := s.newestVersion(age)
		c.Do(hostedsystem.Call{URL: s.system.Members[entry].URL, Prefix: hostedsystem.StepPrefix(newest), Step: newest, LeaveAfter: versionWait})
		time.Sleep(versionInterval)
	}
}

// newestVersion returns the newest version of the configuration of an age, or else the first.
func (s *Soak) newestVersion(age time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := 1
	for version, writtenAt := range s.record.versions {
		if version > newest && time.Since(writtenAt) >= age {
			newest = version
		}
	}
	return newest
}
