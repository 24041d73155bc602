package configwatch

import (
	"strconv"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newElections returns the elections of three failure domains with eight entries each,
// of which each has heartbeats of all others.
func newElections(answered func(name string) time.Duration) map[string]*Election {
	elections := make(map[string]*Election)
	for i := range 24 {
		name := "entry-" + strconv.Itoa(i)
		elections[name] = &Election{Self: name, FailureDomain: strconv.Itoa(i % 3)}
	}
	for _, e := range elections {
		for name, peer := range elections {
			if name != e.Self {
				e.Record(name, peer.FailureDomain, answered(name), start)
			}
		}
	}
	return elections
}

func countWatching(elections map[string]*Election, now time.Time) map[string]int {
	watching := make(map[string]int)
	for _, e := range elections {
		if e.Watches(now) {
			watching[e.FailureDomain]++
		}
	}
	return watching
}

// Guards against a copy of the configuration for each entry on the links between
// regions.
func TestLargeConfigurationIsWatchedByFewEntriesOfEachDomain(t *testing.T) {
	elections := newElections(func(string) time.Duration { return time.Second })
	for domain, n := range countWatching(elections, start) {
		if n != watchersPerDomain {
			t.Errorf("%d entries of failure domain %s watch, want %d", n, domain, watchersPerDomain)
		}
	}
	delays := make(map[time.Duration]int)
	for _, e := range elections {
		if e.FailureDomain == "0" {
			delays[e.RemoteDelay(false, start)]++
		}
	}
	if len(delays) != 8 || delays[remoteDelay] != 1 {
		t.Errorf("the entries of a failure domain read from others after %v, want one of them first, and each at another time", delays)
	}
}

// Guards against a configuration that is read late because the watcher of a failure
// domain stopped without notice.
func TestNextEntryWatchesForSilentOne(t *testing.T) {
	elections := newElections(func(string) time.Duration { return time.Second })
	var stopped string
	for name, e := range elections {
		if e.FailureDomain == "0" && e.Watches(start) {
			stopped = name
		}
	}
	// A configuration must be in force 2 s after it was acknowledged.
	later := start.Add(2*time.Second - 300*time.Millisecond)
	delete(elections, stopped)
	for _, e := range elections {
		for name, peer := range elections {
			if name != e.Self {
				e.Record(name, peer.FailureDomain, time.Second, later)
			}
		}
	}
	if n := countWatching(elections, later)["0"]; n != watchersPerDomain {
		t.Errorf("%d entries of the failure domain watch %v after its watcher stopped, want %d", n, later.Sub(start), watchersPerDomain)
	}
}

// Guards against a configuration that no entry reads, because those that should watch
// are refused by the store, do not run, or have no peers yet.
func TestEntriesWatchWithoutWatchers(t *testing.T) {
	refused := newElections(func(string) time.Duration { return -1 })
	silent := newElections(func(string) time.Duration { return time.Second })
	alone := map[string]*Election{"entry-0": {Self: "entry-0", FailureDomain: "0"}}
	for name, c := range map[string]struct {
		elections map[string]*Election
		now       time.Time
	}{
		"refused by the store": {refused, start},
		"silent watches":       {silent, start.Add(answerTimeout)},
		"no peers":             {alone, start},
	} {
		total := 0
		for _, at := range []time.Duration{0, 7 * expandInterval} {
			total = 0
			for _, n := range countWatching(c.elections, c.now.Add(at)) {
				total += n
			}
			if at == 0 && total < min(minWatchers, len(c.elections)) {
				t.Errorf("%s: %d entries watch at once, want at least %d", name, total, minWatchers)
			}
		}
		if total != len(c.elections) {
			t.Errorf("%s: %d of %d entries watch in the end, want all", name, total, len(c.elections))
		}
	}
}

// Guards against a failure domain without a watcher because the one that works stops for an
// entry that has just started and that the store doesn't answer.
func TestWatcherGoesOnUntilItsSuccessorIsAnswered(t *testing.T) {
	elections := newElections(func(string) time.Duration { return time.Second })
	var first, second *Election
	for _, e := range elections {
		switch {
		case e.FailureDomain != "0":
		case e.rank(start) == 0:
			first = e
		case e.rank(start) == 1:
			second = e
		}
	}
	watcher := &Election{Self: second.Self, FailureDomain: "0"}
	record := func(started bool, answered time.Duration, now time.Time) {
		for name, e := range elections {
			if e != second && e.FailureDomain != "0" {
				watcher.Record(name, e.FailureDomain, time.Second, now)
			}
		}
		if started {
			watcher.Record(first.Self, "0", answered, now)
		}
	}
	record(false, 0, start)
	if !watcher.Watches(start) {
		t.Fatal("the only entry of a failure domain doesn't watch")
	}
	now := start
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		record(true, -1, now)
		if !watcher.Watches(now) {
			t.Fatalf("the watcher stops %v after an entry has started that the store has not answered", now.Sub(start))
		}
	}
	record(true, 0, now)
	if watcher.Watches(now) {
		t.Error("the watcher goes on although the store answers its successor")
	}
	// The store stops to answer the successor: the entry is not a watcher any more.
	record(true, -1, now)
	if watcher.Watches(now) {
		t.Error("an entry that has stopped to watch begins again before watchers are too few")
	}
}

// Guards against entries that replace refused watchers and stop at once, all together,
// because they count each other.
func TestReplacementsOfRefusedWatchersKeepWatching(t *testing.T) {
	elections := newElections(func(string) time.Duration { return -1 })
	now, before, changes := start, map[string]bool{}, 0
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		watches := make(map[string]bool)
		for name, e := range elections {
			watches[name] = e.Watches(now)
			if watches[name] != before[name] {
				changes++
			}
		}
		for _, e := range elections {
			for name, peer := range elections {
				answered := time.Duration(-1)
				if refused := peer.rank(now) == 0 && peer.FailureDomain != "0"; watches[name] && !refused {
					answered = 0
				}
				if name != e.Self {
					e.Record(name, peer.FailureDomain, answered, now)
				}
			}
		}
		before = watches
	}
	if changes > len(elections) {
		t.Errorf("entries began or stopped to watch %d times in 10 s, want at most once each", changes)
	}
}

// Guards against watches that wait so long that nobody can replace a watcher within the bound after
// it has lost the store, and against ones that don't wait.
func TestWatchLeavesTimeToReplaceWatchers(t *testing.T) {
	for bound, longest := range map[time.Duration]time.Duration{
		time.Second: shortestMaxWait, 2 * time.Second: 700 * time.Millisecond, 3 * time.Second: MaxWait, time.Minute: MaxWait,
	} {
		for range 1000 {
			if wait := Wait(bound); wait < longest/4 || wait > longest {
				t.Fatalf("a watch waits %v for a change that must be in force within %v, want %v at most", wait, bound, longest)
			}
		}
	}
}

// Guards against an entry that counts as gone because the heartbeats that say what it watches
// are lost, while others of it arrive.
func TestEntryCountsWhileItsHeartbeatsArrive(t *testing.T) {
	elections := newElections(func(string) time.Duration { return 0 })
	now := start.Add(peerTimeout + time.Millisecond)
	for _, e := range elections {
		for name := range elections {
			e.RecordAlive(name, now)
		}
	}
	for domain, n := range countWatching(elections, now) {
		if n != watchersPerDomain {
			t.Errorf("%d entries of failure domain %s watch, want %d", n, domain, watchersPerDomain)
		}
	}
	for _, e := range elections {
		if _, watching := e.Standing(now); watching != len(elections)-1 {
			t.Fatalf("%d entries count as watching, want %d", watching, len(elections)-1)
		}
	}
}

// Guards against a configuration that is read late because the peers that announced it are silent,
// and against all entries of a failure domain that read it from the store at once.
func TestEntryWatchesForChangeThatPeersDoNotDeliver(t *testing.T) {
	const bound = 2 * time.Second
	elections := newElections(func(string) time.Duration { return time.Second })
	after := make(map[time.Duration]int)
	for _, e := range elections {
		d := e.OverdueAfter(bound, start)
		if e.FailureDomain == "0" {
			after[d]++
		}
		if d > bound/2 {
			t.Errorf("%s reads from the store %v after the announcement, want %v at most", e.Self, d, bound/2)
		}
	}
	if len(after) < 6 {
		t.Errorf("eight entries of a failure domain read from the store after %v, want different times", after)
	}
	e := elections["entry-0"]
	if e.Watches(start) {
		e = elections["entry-3"]
	}
	e.WatchOverdue(start)
	if !e.Watches(start) || e.Watches(start.Add(overdueTime)) {
		t.Errorf("%s does not watch, or still does after %v", e.Self, overdueTime)
	}
}
