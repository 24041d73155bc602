package rollout

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// TestMain fixes the seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "150", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if given {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const testPool = "draft-models"

func manifestOf(version string) mulberryspool.Manifest {
	return mulberryspool.Manifest{Version: version, Digest: mulberryspool.Digest("digest of " + version), Size: 1}
}

func (f *fleet) actions() map[string]func(*rapid.T) {
	work := func(t *rapid.T) {
		m := f.draw(t)
		if len(m.pending) > 0 {
			m.runPending(t, rapid.IntRange(0, len(m.pending)-1).Draw(t, "pending"))
		}
	}
	hear := func(t *rapid.T) {
		m := f.draw(t)
		if watched := m.rollout.Watched(); len(watched) > 0 {
			m.hear(t, watched[len(watched)-1])
		}
	}
	advance := func(t *rapid.T) {
		m := f.draw(t)
		f.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
		m.round(t)
	}
	return map[string]func(*rapid.T){
		"advance1": advance, "advance2": advance, "advance3": advance, "advance4": advance,
		"work1": work, "work2": work, "work3": work, "work4": work,
		"hear1": hear, "hear2": hear, "hear3": hear,
		"adopt": func(t *rapid.T) { f.draw(t).adopt(t) },
		"tick": func(t *rapid.T) {
			f.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "paused") == 0 {
				f.now += 20 * time.Second
			}
			f.draw(t).step(t, Tick{})
		},
		"request": func(t *rapid.T) {
			if m := f.draw(t); m.open {
				m.inFlight++
				m.step(t, InFlight{Count: m.inFlight})
			}
		},
		"finish": func(t *rapid.T) { f.draw(t).finishRequests(t) },
		"outage": func(t *rapid.T) { f.apiDown = rapid.Bool().Draw(t, "down") },
	}
}

// serveV1 brings up a fleet that serves v1 everywhere.
func serveV1(t *rapid.T) *fleet {
	f := newFleet(rapid.IntRange(2, 7).Draw(t, "size"), rapid.IntRange(0, 3).Draw(t, "unavailable"), rapid.Bool().Draw(t, "ignoresFencing"))
	f.change("v1")
	for _, m := range f.agents {
		m.boot(t)
	}
	f.settle(t)
	f.expect(t, "v1")
	return f
}

func (m *member) serves(version string) bool {
	return m.open && m.rollout.View().ServedVersion == version && m.engine.Version == version && m.weights.Version == version
}

func (f *fleet) served(version string) bool {
	return !slices.ContainsFunc(f.agents, func(m *member) bool { return !m.dead && !m.serves(version) })
}

func (f *fleet) expect(t *rapid.T, version string) {
	for _, m := range f.agents {
		if !m.dead && !m.serves(version) {
			t.Fatalf("%s does not serve %s (engine %v): %+v", m.id, version, m.engine, m.rollout.View())
		}
	}
}

// Guards against more swaps at once than the bound, loads under live
// requests, orders without lease or rising number, service before the read-back,
// and a fleet that stops short of the newest revision, under late and reordered
// answers, object API outages, restarts, deaths and superseding changes.
func TestRolloutUnderDisorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := serveV1(t)
		f.change("v2")
		actions := f.actions()
		actions["supersede"] = func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "rarely") == 0 {
				f.change(fmt.Sprintf("v%d", rapid.IntRange(1, 4).Draw(t, "version")))
			}
		}
		actions["restart"] = func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "rarely") == 0 {
				m := f.draw(t)
				m.boot(t)
				m.adopt(t)
			}
		}
		actions["die"] = func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 && len(f.ids()) > 1 {
				f.draw(t).dead = true
			}
		}
		actions["join"] = func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 && len(f.agents) < 9 {
				f.add().boot(t)
			}
		}
		actions["list"] = func(t *rapid.T) {
			if rapid.Bool().Draw(t, "refreshed") {
				f.listed = f.ids()
			}
			f.draw(t).step(t, Members{Instances: f.listed})
		}
		t.Repeat(actions)
		f.settle(t)
		f.expect(t, f.pool.Version)
	})
}

// Guards against a version that fails to load and takes down more agents than
// the bound, does not let the old version come back, or blocks the next change.
func TestFailedVersionStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := serveV1(t)
		if rapid.Bool().Draw(t, "corrupt") {
			f.corrupt["v2"] = true
		} else {
			f.broken["v2"] = true
		}
		f.change("v2")
		t.Repeat(f.actions())
		f.settle(t)
		f.expect(t, "v1")
		tried := 0
		for _, m := range f.agents {
			if m.tried["v2"] {
				tried++
				if v := m.rollout.View(); v.FailedVersion != "v2" || v.Cause == "" || v.Phase != mulberryspool.PhaseFailed {
					t.Fatalf("%s does not tell of the failed load: %+v", m.id, v)
				}
			}
		}
		if bound := max(f.pool.MaxUnavailable, 1); tried < 1 || tried > bound {
			t.Fatalf("%d agents tried the broken version, want 1 to %d", tried, bound)
		}
		f.change("v3")
		f.settle(t)
		f.expect(t, "v3")
	})
}

// Guards against an agent that goes on serving an engine whose content was
// changed by someone else, or that never repairs it.
func TestContentChangedUnderneath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := serveV1(t)
		f.disturbed = true
		f.change("v2")
		actions := f.actions()
		actions["intrude"] = func(t *rapid.T) {
			m := f.draw(t)
			if m.intruded {
				// Two intrusions into the same load are blamed on the version.
				return
			}
			m.intruded = true
			version := fmt.Sprintf("v%d", rapid.IntRange(0, 2).Draw(t, "version"))
			m.engine.Version, m.engine.Digest = version, manifestOf(version).Digest
			if rapid.Bool().Draw(t, "numbered") {
				m.engine.Fencing += 1 << numberShift
			}
		}
		actions["notice"] = func(t *rapid.T) { f.draw(t).step(t, ContentChanged{}) }
		t.Repeat(actions)
		f.settle(t)
		f.expect(t, "v2")
	})
}
