package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
)

// contactTime is how long an entry must have been undisturbed for a bound to hold there.
const contactTime = 3 * time.Second

var (
	watcherSeeds = flag.Int("watcher-seeds", 2, "seeds of TestKeysAreRevokedWhileEntriesLoseTheStore")
	watcherSeed  = flag.Uint64("watcher-seed", 1, "first seed of TestKeysAreRevokedWhileEntriesLoseTheStore")
	watcherTime  = flag.Duration("watcher-time", 15*time.Second, "length of each seed of TestKeysAreRevokedWhileEntriesLoseTheStore")
)

type (
	// watcherSoak is a system of which some entries lose the store, or are paused, at any time.
	watcherSoak struct {
		*hostedsystem.System
		random *rand.Rand

		mu sync.Mutex
		// revokedAt holds when the store acknowledged that a key was taken away.
		revokedAt map[string]time.Time
		// disturbed holds the disturbances of each entry, whose end is zero while they last.
		disturbed map[*hostedsystem.Entry][]span
		refused   []*hostedsystem.Entry
		schedule  []string
	}

	span struct{ from, until time.Time }
)

// Guards against a key that works after its bound at an undisturbed entry, whichever others lose
// their path to the store, are refused by it or are paused, at overlapping times. A long run has
// -watcher-seeds=50 -watcher-time=25s.
func TestKeysAreRevokedWhileEntriesLoseTheStore(t *testing.T) {
	for seed := *watcherSeed; seed < *watcherSeed+uint64(*watcherSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runWatcherSoak(t, seed, *watcherTime)
		})
	}
}

func runWatcherSoak(t *testing.T, seed uint64, length time.Duration) {
	s := &watcherSoak{
		System: &hostedsystem.System{
			Builder: &builder, RepeatSlack: 200, GracefulStop: time.Second, Timeout: restoreTimeout, Backends: 2,
			Entries: 8, EntryDomains: []string{"a", "b", "a", "c"}, Keys: []string{keptKey, soakKey(1)},
		},
		random:    rand.New(rand.NewPCG(seed, 0)),
		revokedAt: make(map[string]time.Time), disturbed: make(map[*hostedsystem.Entry][]span),
	}
	s.Start(t)
	time.Sleep(contactTime)
	began := time.Now()
	stop := make(chan struct{})
	var running sync.WaitGroup
	callers := make(map[*hostedsystem.Entry]*hostedsystem.Caller)
	for _, e := range s.Members {
		caller := hostedsystem.NewCaller(s.Timeout, true)
		callers[e] = caller
		running.Go(func() { s.probe(e, caller, stop) })
	}
	next := began.Add(time.Second)
	for version := 2; time.Since(began) < length; {
		if time.Now().After(next) {
			s.Keys = []string{keptKey, soakKey(version)}
			s.PutConfiguration(version)
			s.mu.Lock()
			s.revokedAt[soakKey(version-1)] = time.Now()
			s.mu.Unlock()
			version++
			next = time.Now().Add(s.between(300*time.Millisecond, 1500*time.Millisecond))
		}
		if s.random.IntN(10) == 0 {
			s.disturb(t, &running, began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(watchersBound)
	close(stop)
	running.Wait()
	s.check(t, callers)
}

func soakKey(version int) string { return fmt.Sprintf("key-%d", version) }

// between returns a random duration.
func (s *watcherSoak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// disturb disturbs some entries that are not disturbed, half of the time those that watch the store
// in calm operation, and leaves at least two alone.
func (s *watcherSoak) disturb(t *testing.T, running *sync.WaitGroup, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var free []*hostedsystem.Entry
	for _, e := range s.Members {
		if spans := s.disturbed[e]; len(spans) == 0 || !spans[len(spans)-1].until.IsZero() {
			free = append(free, e)
		}
	}
	watchers := s.random.IntN(2) == 0
	n, kind, duration := 1+s.random.IntN(3), s.random.IntN(3), s.between(300*time.Millisecond, 4*time.Second)
	chosen := watchersOf(s.Members)
	if !watchers {
		chosen = slices.Clone(s.Members)
		s.random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
		chosen = chosen[:n]
	}
	chosen = slices.DeleteFunc(chosen, func(e *hostedsystem.Entry) bool { return !slices.Contains(free, e) })
	chosen = chosen[:max(0, min(len(chosen), len(free)-2))]
	if len(chosen) == 0 {
		return
	}
	var end func()
	switch kind {
	case 0:
		end = s.Partition(chosen...)
	case 1:
		s.refused = append(s.refused, chosen...)
		s.RefuseEntries(slices.Clone(s.refused)...)
		end = func() {
			s.refused = slices.DeleteFunc(s.refused, func(e *hostedsystem.Entry) bool { return slices.Contains(chosen, e) })
			s.RefuseEntries(slices.Clone(s.refused)...)
		}
	default:
		for _, e := range chosen {
			e.Process.Freeze(t)
		}
		end = func() {
			for _, e := range chosen {
				_ = e.Process.Signal(syscall.SIGCONT)
			}
		}
	}
	now := time.Now()
	names := ""
	for _, e := range chosen {
		s.disturbed[e] = append(s.disturbed[e], span{from: now})
		names += " " + e.Registration
	}
	s.schedule = append(s.schedule, fmt.Sprintf("%.3f: %s for %v:%s", now.Sub(began).Seconds(), []string{"partition", "refusal", "pause"}[kind], duration, names))
	running.Go(func() {
		time.Sleep(duration)
		s.mu.Lock()
		defer s.mu.Unlock()
		end()
		for _, e := range chosen {
			spans := s.disturbed[e]
			spans[len(spans)-1].until = time.Now()
		}
	})
}

// probe sends an entry requests with the keys that were taken away last.
func (s *watcherSoak) probe(e *hostedsystem.Entry, caller *hostedsystem.Caller, stop chan struct{}) {
	for {
		s.mu.Lock()
		keys := []string{keptKey}
		for key, at := range s.revokedAt {
			if age := time.Since(at); age > watchersBound && age < 2*watchersBound {
				keys = append(keys, key)
			}
		}
		s.mu.Unlock()
		for _, key := range keys {
			caller.Go(hostedsystem.Call{URL: e.URL, Prefix: hostedsystem.LookupPrefix, Key: key})
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-stop:
			return
		}
	}
}

// check checks the requests of undisturbed entries.
func (s *watcherSoak) check(t *testing.T, callers map[*hostedsystem.Entry]*hostedsystem.Caller) {
	t.Helper()
	checked := 0
	for e, caller := range callers {
		for _, r := range caller.Wait() {
			if s.isDisturbed(e, r.SentAt.Add(-contactTime), r.SentAt.Add(r.Took)) {
				continue
			}
			age := r.SentAt.Sub(s.revokedAt[r.Call.Key])
			switch {
			case r.Call.Key == keptKey:
				if r.Status == http.StatusUnauthorized || r.Status == http.StatusNotFound {
					t.Errorf("%s: status %d with a key of all versions", e.Registration, r.Status)
				}
			case age <= watchersBound:
			default:
				checked++
				if r.Status == http.StatusOK {
					t.Errorf("%s: %s works %v after the acknowledgement that it was taken away", e.Registration, r.Call.Key, age)
				}
			}
		}
	}
	t.Logf("%d requests with keys that were taken away were sent to undisturbed entries, beside %d disturbances", checked, len(s.schedule))
	if checked == 0 {
		t.Error("no request with a key that was taken away was sent to an undisturbed entry")
	}
	if t.Failed() {
		for _, line := range s.schedule {
			t.Log(line)
		}
	}
}

// isDisturbed reports whether an entry is disturbed at any moment of a span of time.
func (s *watcherSoak) isDisturbed(e *hostedsystem.Entry, from, until time.Time) bool {
	return slices.ContainsFunc(s.disturbed[e], func(d span) bool { return d.from.Before(until) && d.until.After(from) })
}
