package integration

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedagents"
)

var (
	weightsSeeds = flag.Int("weights-seeds", 1, "seeds of TestAgentsLoadOnlyWholeVersions")
	weightsSeed  = flag.Uint64("weights-seed", 1, "first seed of TestAgentsLoadOnlyWholeVersions")
)

// Guards against model servers that are ordered to load pieces that are missing, spoilt or of
// another version, while agents are killed, model servers crash, lose their staged pieces,
// are suspended or delay writes, and pieces and what the origin sends are spoilt; and against servers that never get the last version.
// A long run has -weights-seeds=50.
func TestAgentsLoadOnlyWholeVersions(t *testing.T) {
	for seed := *weightsSeed; seed < *weightsSeed+uint64(*weightsSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playWeights(t, seed) })
	}
}

// delayWrites holds some writes for longer than an agent waits for an answer.
func delayWrites(method, _ string) time.Duration {
	if method == http.MethodGet || rand.IntN(4) > 0 {
		return 0
	}
	return time.Duration(rand.IntN(5000)) * time.Millisecond
}

func playWeights(t *testing.T, seed uint64) {
	const (
		playTime = 20 * time.Second
		bound    = 4 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 0))
	s := &hostedagents.System{Builder: &builder, Agents: 3, Bound: bound}
	s.Start(t)
	s.Origin.SetSpoil(func(call string, body []byte) []byte {
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
		if call == "piece" && rand.IntN(20) == 0 {
			body[rand.IntN(len(body))]++
		}
		return body
	})
	version, nextVersion := int64(1), time.Now().Add(time.Second)
	for began := time.Now(); time.Since(began) < playTime; {
		time.Sleep(time.Duration(50+random.IntN(500)) * time.Millisecond)
		if time.Now().After(nextVersion) {
			version++
			s.Name(version)
			t.Logf("%.2f s: version %d is named", time.Since(began).Seconds(), version)
			nextVersion = time.Now().Add(time.Duration(500+random.IntN(4500)) * time.Millisecond)
		}
		i := random.IntN(len(s.Machines))
		m := s.Machines[i]
		action := "crashes"
		switch random.IntN(8) {
		case 0:
			m.Server.Crash()
		case 1:
			action = "agent is killed"
			m.KillAgent()
			m.StartAgent(t)
		case 2:
			action = "agent is killed and the model server crashes"
			m.KillAgent()
			m.StartAgent(t)
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			m.Server.Crash()
		case 3:
			action = "stands still"
			m.Server.Pause()
			time.AfterFunc(time.Duration(random.IntN(4000))*time.Millisecond, m.Server.Resume)
		case 4:
			action = "has spoilt pieces"
			for range 3 {
				m.Server.Spoil(random.IntN(24))
			}
		case 5:
			action = "writes are delayed"
			m.Server.SetDelay(delayWrites)
			time.AfterFunc(time.Duration(random.IntN(2000))*time.Millisecond, func() { m.Server.SetDelay(nil) })
		case 6:
			action = "loses power and is back at once"
			m.Server.LosePower()
		default:
			continue
		}
		t.Logf("%.2f s: machine %d: %s", time.Since(began).Seconds(), i, action)
	}
	s.Origin.SetSpoil(nil)
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		behind := 0
		for _, m := range s.Machines {
			if m.Version() != version {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Errorf("%d model servers have not loaded version %d 30 s after the last disruption", behind, version)
			break
		}
	}
	checkLoads(t, s)
}

// Guards against pieces of a newer version that replace those of an order whose answer is
// late: the model server accepts it afterwards and loads a mixture.
func TestLateOrderLoadsNoMixture(t *testing.T) {
	s := &hostedagents.System{Builder: &builder, Agents: 1, Bound: 8 * time.Second}
	s.Start(t)
	m := s.Machines[0]
	var once sync.Once
	m.Server.SetDelay(func(method, _ string) time.Duration {
		if method != http.MethodPost {
			return 0
		}
		once.Do(func() { s.Name(3) })
		for deadline := time.Now().Add(6 * time.Second); m.Server.Holds(2) && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		return 0
	})
	m.Server.Crash()
	s.Name(2)
	awaitVersion(t, m, 3)
	checkLoads(t, s)
}

// Guards against an order to a new incarnation of a model server that lacks the pieces that
// were checked at the earlier one.
func TestPiecesAreCheckedInOneIncarnation(t *testing.T) {
	s := &hostedagents.System{Builder: &builder, Agents: 1, Bound: time.Second}
	s.Start(t)
	m := s.Machines[0]
	var reads atomic.Int64
	m.Server.SetDelay(func(method, path string) time.Duration {
		// The agent reads the pieces of version 2 that it has staged once more before it
		// orders the load.
		if method == http.MethodGet && strings.Contains(path, "stage-get") && m.Server.Holds(2) && reads.Add(1) == 10 {
			m.Server.LosePower()
		}
		return 0
	})
	s.Name(2)
	awaitVersion(t, m, 2)
	checkLoads(t, s)
}

// Guards against agents that keep a manifest with a wrong digit, and hand it on, although the
// origin's piece never matches it: their model servers would never get the version.
func TestSpoiltManifestIsReadAgain(t *testing.T) {
	const agents = 3
	s := &hostedagents.System{Builder: &builder, Agents: agents, Bound: 4 * time.Second}
	s.Start(t)
	var manifests atomic.Int64
	s.Origin.SetSpoil(func(call string, body []byte) []byte {
		if call != "manifest" || manifests.Add(1) > 1 {
			return body
		}
		digit := &body[bytes.LastIndexByte(body, '"')-1]
		if *digit == '0' {
			*digit = '1'
		} else {
			*digit = '0'
		}
		return body
	})
	s.Name(2)
	for _, m := range s.Machines {
		awaitVersion(t, m, 2)
	}
	checkLoads(t, s)
	if sent := manifests.Load(); sent > 3*agents {
		t.Errorf("the origin has sent %d manifests to %d agents, want at most two more for each", sent, agents)
	}
}

// Guards against reads of pieces that are given up although bytes keep arriving, so that over a
// slow link to the origin no piece is ever complete.
func TestSlowPiecesOfOriginArrive(t *testing.T) {
	const takes = 2500 * time.Millisecond
	s := &hostedagents.System{Builder: &builder, Agents: 1, Bound: 8 * time.Second}
	s.Start(t)
	var requests atomic.Int64
	s.Origin.SetPace(func(call string) time.Duration {
		if call != "piece" {
			return 0
		}
		requests.Add(1)
		return takes
	})
	s.Name(2)
	awaitVersion(t, s.Machines[0], 2)
	if count := requests.Load(); count != 24 {
		t.Errorf("the origin was asked for pieces %d times, want once for each of 24", count)
	}
	checkLoads(t, s)
}

// Guards against a transfer that is given up as soon as a newer version is named, although
// that one can't be read yet: the model server would get neither.
func TestTransferGoesOnUntilNewerVersionCanBeRead(t *testing.T) {
	s := &hostedagents.System{Builder: &builder, Agents: 1, Bound: 8 * time.Second}
	s.Start(t)
	var requests atomic.Int64
	s.Origin.SetPace(func(call string) time.Duration {
		if call != "piece" {
			return 0
		}
		requests.Add(1)
		return 400 * time.Millisecond
	})
	s.Name(2)
	for deadline := time.Now().Add(20 * time.Second); requests.Load() < 4; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the transfer of version 2 has not begun")
		}
	}
	s.NameEarly(3)
	awaitVersion(t, s.Machines[0], 2)
	if count := requests.Load(); count != 24 {
		t.Errorf("the origin was asked for pieces %d times, want once for each of 24", count)
	}
	s.Origin.SetNewest(3)
	awaitVersion(t, s.Machines[0], 3)
	checkLoads(t, s)
}

// Guards against a version whose transfer is given up for a newer one that then makes no
// progress, and against pieces that are read again when the transfer is resumed.
func TestTransferIsResumedWhileNewerVersionStalls(t *testing.T) {
	s := &hostedagents.System{Builder: &builder, Agents: 1, Bound: 12 * time.Second}
	s.Start(t)
	var requests atomic.Int64
	available := make(chan struct{})
	s.Origin.SetSpoil(func(call string, body []byte) []byte {
		switch {
		case call != "piece":
		case binary.BigEndian.Uint64(body) == 2:
			requests.Add(1)
			time.Sleep(300 * time.Millisecond)
		default:
			<-available
		}
		return body
	})
	release := sync.OnceFunc(func() { close(available) })
	defer release()
	s.Name(2)
	for deadline := time.Now().Add(20 * time.Second); requests.Load() < 12; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the transfer of version 2 has not begun")
		}
	}
	s.Name(3)
	awaitVersion(t, s.Machines[0], 2)
	// Those that run when the transfer is replaced are made again.
	if count := requests.Load(); count > 27 {
		t.Errorf("the origin was asked for pieces of version 2 %d times, want at most 27 for 24", count)
	}
	release()
	awaitVersion(t, s.Machines[0], 3)
	checkLoads(t, s)
}

// Guards against a model server that is kept from requests while the pieces of the version to
// load are uploaded again, because those of a newer one, which is still being fetched, have
// replaced them.
func TestServerIsNotDrainedForReplacedPieces(t *testing.T) {
	s := &hostedagents.System{Builder: &builder, Agents: 2, Bound: 12 * time.Second}
	s.Start(t)
	for _, m := range s.Machines {
		m.Server.SetDelay(func(method, _ string) time.Duration {
			if method == http.MethodPut {
				return 50 * time.Millisecond
			}
			return 0
		})
	}
	s.Name(2)
	// The model servers take turns: one waits with version 2 uploaded.
	var waiting *hostedagents.Machine
	for deadline := time.Now().Add(20 * time.Second); waiting == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no model server waits for its turn with version 2")
		}
		for i, m := range s.Machines {
			if s.Machines[1-i].Version() == 2 && m.Version() == 1 && m.Server.Holds(2) {
				waiting = m
			}
		}
	}
	s.Origin.SetPace(func(call string) time.Duration {
		if call == "piece" {
			return 2 * time.Second
		}
		return 0
	})
	s.Name(3)
	awaitVersion(t, waiting, 2)
	awaitVersion(t, waiting, 3)
	orders := 0
	for _, line := range strings.Split(waiting.Agent.Stdout(), "\n") {
		if strings.Contains(line, `"model server was ordered to load"`) {
			orders++
			if !strings.Contains(line, `"piecesReplaced":0,`) {
				t.Errorf("pieces were uploaded while the model server got no requests: %s", line)
			}
		}
	}
	if orders != 2 {
		t.Errorf("the model server was ordered %d times to load, want 2", orders)
	}
	checkLoads(t, s)
}

// Guards against an agent that was paused between the check of the pieces and its order, and
// orders pieces that have turned bad long before.
func TestPausedAgentChecksPiecesAgain(t *testing.T) {
	s := &hostedagents.System{Builder: &builder, Agents: 1, Bound: time.Second}
	s.Start(t)
	m := s.Machines[0]
	var reads atomic.Int64
	m.Server.SetDelay(func(method, path string) time.Duration {
		if method == http.MethodGet && strings.Contains(path, "stage-get") && m.Server.Holds(2) && reads.Add(1) == 24 {
			// The answer is that of the piece before.
			time.AfterFunc(50*time.Millisecond, func() { m.Server.Spoil(3) })
			m.PauseAgent(t, 4*time.Second)
		}
		return 0
	})
	s.Name(2)
	awaitVersion(t, m, 2)
	checkLoads(t, s)
}

// Guards against an order for a version of which the agent has no manifest any more, so that
// it can't check the pieces. An earlier incarnation of the agent has sent the order for the
// newer version.
func TestUnknownVersionIsNotLoaded(t *testing.T) {
	s := &hostedagents.System{Builder: &builder, Agents: 1, Bound: 8 * time.Second}
	s.Start(t)
	m := s.Machines[0]
	awaitReads(t, m, 24)
	s.Origin.SetNewest(2)
	s.Origin.SetSpoil(func(_ string, body []byte) []byte {
		time.Sleep(3 * time.Second)
		return body
	})
	m.Load(t, 2, s.Origin.Piece)
	awaitVersion(t, m, 2)
	time.Sleep(time.Second)
	m.Server.Crash()
	time.Sleep(time.Second)
	m.Server.SetDelay(nil)
	awaitVersion(t, m, 2)
	checkLoads(t, s)
}

// awaitReads waits until the agent has read so many staged pieces.
func awaitReads(t *testing.T, m *hostedagents.Machine, count int64) {
	t.Helper()
	var reads atomic.Int64
	m.Server.SetDelay(func(method, path string) time.Duration {
		if method == http.MethodGet && strings.Contains(path, "stage-get") {
			reads.Add(1)
		}
		return 0
	})
	for deadline := time.Now().Add(20 * time.Second); reads.Load() < count; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the agent has read %d staged pieces, want %d", reads.Load(), count)
		}
	}
}

func awaitVersion(t *testing.T, m *hostedagents.Machine, version int64) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); m.Version() != version; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("model server has not loaded version %d after 30 s", version)
		}
	}
}

func checkLoads(t *testing.T, s *hostedagents.System) {
	t.Helper()
	for i, m := range s.Machines {
		for _, load := range m.Server.Loads() {
			if len(load.Wrong) > 0 {
				t.Errorf("machine %d was ordered at %s to load version %d with wrong pieces %v", i, load.At.Format("15:04:05.000"), load.Version, load.Wrong)
			}
		}
	}
}
