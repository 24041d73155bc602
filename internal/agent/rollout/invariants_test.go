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

// TestMain sets a fixed seed, so that every run checks the same cases, unless
// the flags are given on the command line.
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

func testManifest(version string) mulberryspool.Manifest {
	return mulberryspool.Manifest{Version: version, Digest: mulberryspool.Digest("digest of " + version), Size: 1}
}

// actions returns the random actions of rapid's state machine. rapid sorts
// them by name, so a changed name may change the cases that the fixed seed
// checks. Actions with a numbered name are listed more than once to be drawn
// more often.
func (s *simulation) actions() map[string]func(*rapid.T) {
	work := func(t *rapid.T) {
		a := s.drawAgent(t)
		if len(a.pending) > 0 {
			a.runPending(t, rapid.IntRange(0, len(a.pending)-1).Draw(t, "pending"))
		}
	}
	hear := func(t *rapid.T) {
		a := s.drawAgent(t)
		if watched := a.rollout.Watched(); len(watched) > 0 {
			a.exchangeHeartbeat(t, watched[len(watched)-1])
		}
	}
	advance := func(t *rapid.T) {
		a := s.drawAgent(t)
		s.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
		a.runAll(t)
	}
	return map[string]func(*rapid.T){
		"advance1": advance, "advance2": advance, "advance3": advance, "advance4": advance,
		"work1": work, "work2": work, "work3": work, "work4": work,
		"hear1": hear, "hear2": hear, "hear3": hear,
		"adopt": func(t *rapid.T) { s.drawAgent(t).updateTables(t) },
		"tick": func(t *rapid.T) {
			s.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "paused") == 0 {
				s.now += 20 * time.Second
			}
			s.drawAgent(t).step(t, Tick{})
		},
		"request": func(t *rapid.T) {
			if a := s.drawAgent(t); a.serving {
				a.inFlight++
				a.step(t, InFlight{Count: a.inFlight})
			}
		},
		"finish": func(t *rapid.T) { s.drawAgent(t).finishRequests(t) },
		"outage": func(t *rapid.T) { s.apiDown = rapid.Bool().Draw(t, "down") },
	}
}

// serveV1 starts a simulation in which all agents serve v1.
func serveV1(t *rapid.T) *simulation {
	s := newSimulation(rapid.IntRange(2, 7).Draw(t, "size"), rapid.IntRange(0, 3).Draw(t, "unavailable"), rapid.Bool().Draw(t, "ignoresFencing"))
	s.setVersion("v1")
	for _, a := range s.agents {
		a.start(t)
	}
	s.converge(t)
	s.expectAll(t, "v1")
	return s
}

func (a *simAgent) serves(version string) bool {
	return a.serving && a.rollout.View().ServedVersion == version && a.engine.Version == version && a.weights.Version == version
}

func (s *simulation) allServe(version string) bool {
	return !slices.ContainsFunc(s.agents, func(a *simAgent) bool { return !a.dead && !a.serves(version) })
}

func (s *simulation) expectAll(t *rapid.T, version string) {
	for _, a := range s.agents {
		if !a.dead && !a.serves(version) {
			t.Fatalf("%s does not serve %s (engine %v): view %+v", a.id, version, a.engine, a.rollout.View())
		}
	}
}

// Guards against more concurrent swaps than the bound, loads with requests in
// flight, orders without a valid lease or a higher fencing number, serving before
// the read-back, and agents that never reach the newest revision. Faults are
// delayed and reordered results, object API outages, restarts, agent deaths and
// superseding changes.
func TestRolloutInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := serveV1(t)
		s.setVersion("v2")
		actions := s.actions()
		actions["supersede"] = func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "rarely") == 0 {
				s.setVersion(fmt.Sprintf("v%d", rapid.IntRange(1, 4).Draw(t, "version")))
			}
		}
		actions["restart"] = func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "rarely") == 0 {
				a := s.drawAgent(t)
				a.start(t)
				a.updateTables(t)
			}
		}
		actions["die"] = func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 && len(s.ids()) > 1 {
				s.drawAgent(t).dead = true
			}
		}
		actions["join"] = func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 && len(s.agents) < 9 {
				s.add().start(t)
			}
		}
		actions["list"] = func(t *rapid.T) {
			if rapid.Bool().Draw(t, "refreshed") {
				s.listed = s.ids()
			}
			s.drawAgent(t).step(t, Members{Instances: s.listed})
		}
		t.Repeat(actions)
		s.converge(t)
		s.expectAll(t, s.pool.Version)
	})
}

// Guards against a version that fails to load and is tried by more agents than
// the bound, prevents the return to the old version, or blocks the next change.
func TestFailedVersionIsContainedAndRolledBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := serveV1(t)
		if rapid.Bool().Draw(t, "corrupt") {
			s.corrupt["v2"] = true
		} else {
			s.broken["v2"] = true
		}
		s.setVersion("v2")
		t.Repeat(s.actions())
		s.converge(t)
		s.expectAll(t, "v1")
		tried := 0
		for _, a := range s.agents {
			if a.attempted["v2"] {
				tried++
				if v := a.rollout.View(); v.FailedVersion != "v2" || v.Cause == "" || v.Phase != mulberryspool.PhaseFailed {
					t.Fatalf("%s does not report the failed load: %+v", a.id, v)
				}
			}
		}
		if bound := max(s.pool.MaxUnavailable, 1); tried < 1 || tried > bound {
			t.Fatalf("%d agents tried to load the broken version, want 1 to %d", tried, bound)
		}
		s.setVersion("v3")
		s.converge(t)
		s.expectAll(t, "v3")
	})
}

// Guards against an agent that keeps serving after the weights of its engine
// were changed from outside, or that never loads the target again.
func TestExternalEngineChangeIsRepaired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := serveV1(t)
		s.enginesModified = true
		s.setVersion("v2")
		actions := s.actions()
		actions["intrude"] = func(t *rapid.T) {
			a := s.drawAgent(t)
			if a.modified {
				// After two changes during the same load, the version counts as
				// failed.
				return
			}
			a.modified = true
			version := fmt.Sprintf("v%d", rapid.IntRange(0, 2).Draw(t, "version"))
			a.engine.Version, a.engine.Digest = version, testManifest(version).Digest
			if rapid.Bool().Draw(t, "numbered") {
				a.engine.Fencing += 1 << leaseNumberShift
			}
		}
		actions["notice"] = func(t *rapid.T) { s.drawAgent(t).step(t, WeightsMismatch{}) }
		t.Repeat(actions)
		s.converge(t)
		s.expectAll(t, "v2")
	})
}
