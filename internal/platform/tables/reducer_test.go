package tables

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
	operator "github.com/mulberryspool/mulberryspool/internal/operator/tables"
)

// init sets a fixed seed, so that every run takes the same steps. A flag on the
// command line overrides it.
func init() {
	// Most faults need a certain sequence of several steps, so the number of
	// steps and checks is above the default.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// simulation simulates the object API, the peers and the network of one reducer.
type simulation struct {
	state state
	now   time.Time
	// written holds every version of the object, oldest first.
	written []mulberryspool.Object
	valid   map[mulberryspool.Revision]bool
	// call is the running call to the object API, nil for none.
	call effect
	// versionsAtCall is how many versions existed when call was sent.
	versionsAtCall int
	fetchRunning   bool
	// lastRejected is the revision that was rejected last since the restart.
	lastRejected mulberryspool.Revision
	// peerContact makes a peer report an old revision all the time.
	peerContact bool
	// lastPublished is the revision that was published last since the restart.
	lastPublished mulberryspool.Revision
	// confirmed is set once a response with a valid document was delivered.
	confirmed bool
}

func validDocument(number int) []byte {
	document, err := operator.Encode(mulberryspool.Tables{Pools: []mulberryspool.Pool{
		{Name: "pool", Kind: mulberryspool.PoolPlain, MaxUnavailable: number},
	}})
	if err != nil {
		panic(err)
	}
	return document
}

var invalidDocument = []byte(`{"routes":[{"name":"chat","kind":"chat","pool":"missing"}],"pools":[]}`)

func (s *simulation) write(valid bool) {
	object := mulberryspool.Object{Version: mulberryspool.Revision(len(s.written)*2 + 1), Value: invalidDocument}
	if valid {
		object.Value = validDocument(int(object.Version))
	}
	s.valid[object.Version] = valid
	s.written = append(s.written, object)
}

func (s *simulation) step(t *rapid.T, e event) {
	in := input{now: s.now, random: rapid.Float64Range(0, 0.999).Draw(t, "random")}
	if s.peerContact {
		in.lastPeerContact = s.now
	}
	for _, do := range s.state.step(in, e) {
		switch do := do.(type) {
		case read, watch:
			if s.call != nil {
				t.Fatal("two calls to the object API run at once")
			}
			s.call, s.versionsAtCall = do, len(s.written)
		case fetch:
			if s.fetchRunning {
				t.Fatal("two fetches run at once")
			}
			s.fetchRunning = true
		case reject:
			if do.rejection.Revision <= s.lastRejected {
				t.Fatalf("revision %d is rejected after %d", do.rejection.Revision, s.lastRejected)
			}
			s.lastRejected = do.rejection.Revision
		case publish:
			s.checkView(t, do.view)
		}
	}
}

func (s *simulation) checkView(t *rapid.T, view mulberryspool.TablesView) {
	if view.Revision < s.lastPublished {
		t.Fatalf("revision in force fell from %d to %d", s.lastPublished, view.Revision)
	}
	if !s.confirmed || !s.valid[view.Revision] {
		t.Fatalf("revision %d is in force; confirmed %v, valid %v", view.Revision, s.confirmed, s.valid[view.Revision])
	}
	if view.Tables.Pools[0].MaxUnavailable != int(view.Revision) {
		t.Fatalf("revision %d is in force with the content of %d", view.Revision, view.Tables.Pools[0].MaxUnavailable)
	}
	if view.Rejected != nil && (view.Rejected.Revision <= view.Revision || s.valid[view.Rejected.Revision]) {
		t.Fatalf("rejection of %d while %d is in force", view.Rejected.Revision, view.Revision)
	}
	s.lastPublished = view.Revision
}

// answer ends the running call with a version of the object that was current at
// some time since the call was sent, or with a failure.
func (s *simulation) answer(t *rapid.T, failure error, timedOut bool) {
	call := s.call
	s.call = nil
	if failure != nil || timedOut {
		if timedOut {
			failure = mulberryspool.ErrUnavailable
		}
		s.step(t, callEnded{err: failure, timedOut: timedOut})
		return
	}
	seen := rapid.IntRange(s.versionsAtCall, len(s.written)).Draw(t, "seen")
	s.deliver(t, call, seen)
}

// deliver ends a call with the object after the first seen versions.
func (s *simulation) deliver(t *rapid.T, call effect, seen int) {
	if seen == 0 {
		s.step(t, callEnded{err: mulberryspool.ErrNotFound})
		return
	}
	object := s.written[seen-1]
	if do, ok := call.(watch); ok && object.Version <= do.after {
		elapsed := time.Duration(rapid.IntRange(0, 2).Draw(t, "elapsed")) * minWatchDuration
		s.step(t, callEnded{err: mulberryspool.ErrNotModified, elapsed: elapsed})
		return
	}
	s.confirmed = s.confirmed || s.valid[object.Version]
	s.step(t, callEnded{object: object})
}

func (s *simulation) restart(t *rapid.T) {
	// The running calls are cancelled by the restart.
	s.state, s.call, s.fetchRunning = state{pollInterval: time.Minute}, nil, false
	s.lastPublished, s.lastRejected, s.confirmed = 0, 0, false
	s.step(t, processStarted{maxDelay: time.Second})
}

// settle lets time pass without faults of reads and without peers. If
// watchesTimeOut is set, watches get no response.
func (s *simulation) settle(t *rapid.T, watchesTimeOut bool) {
	fetches := 0
	for range 12 {
		for range 3 {
			call := s.call
			s.call = nil
			if _, ok := call.(watch); ok && watchesTimeOut {
				s.step(t, callEnded{err: mulberryspool.ErrUnavailable, timedOut: true})
			} else if call != nil {
				s.deliver(t, call, len(s.written))
			}
		}
		if s.fetchRunning {
			s.fetchRunning = false
			fetches++
			s.step(t, fetchEnded{err: errors.New("peer is gone")})
		}
		s.now = s.now.Add(2 * time.Minute)
		s.step(t, timerFired{})
	}
	if fetches > fetchAttempts {
		t.Fatalf("%d fetches without a peer, at most %d are allowed", fetches, fetchAttempts)
	}
}

// settleByPeers lets time pass during an outage of the object API, with
// heartbeats of a peer that has the newest valid revision.
func (s *simulation) settleByPeers(t *rapid.T, newest mulberryspool.Revision) {
	// If every backoff takes its minimum, at most 12 calls fit into 40 s.
	const rounds, maxCalls = 80, 12
	calls := 0
	defer func() {
		if calls > maxCalls {
			t.Fatalf("%d calls in 40 s of an outage, at most %d are allowed", calls, maxCalls)
		}
	}()
	for range rounds {
		if s.call != nil {
			calls++
			s.answer(t, mulberryspool.ErrUnavailable, false)
		}
		if newest > 0 {
			s.step(t, revisionReported{revision: newest})
		}
		if s.fetchRunning {
			s.fetchRunning, s.confirmed = false, true
			s.step(t, fetchEnded{document: mulberryspool.TablesDocument{Revision: newest, Document: validDocument(int(newest))}})
		}
		s.now = s.now.Add(500 * time.Millisecond)
		s.step(t, timerFired{})
	}
	if s.state.document.Revision < newest {
		t.Fatalf("revision %d is in force, a peer has %d", s.state.document.Revision, newest)
	}
}

// newest returns the highest valid and the highest invalid revision.
func (s *simulation) newest() (valid, invalid mulberryspool.Revision) {
	for _, object := range s.written {
		if s.valid[object.Version] {
			valid = object.Version
		} else {
			invalid = object.Version
		}
	}
	return valid, invalid
}

// Guards against a revision in force that decreases, an invalid or unconfirmed
// revision in force, and a process that keeps an old revision after lost, late
// and duplicate messages, outages and restarts.
func TestRevisionInForceNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: time.Unix(0, 0), valid: make(map[mulberryspool.Revision]bool)}
		s.restart(t)
		t.Repeat(map[string]func(*rapid.T){
			"write valid":   func(*rapid.T) { s.write(true) },
			"write invalid": func(*rapid.T) { s.write(false) },
			"answer": func(t *rapid.T) {
				if s.call != nil {
					s.answer(t, nil, false)
				}
			},
			"outage": func(t *rapid.T) {
				if s.call != nil {
					s.answer(t, mulberryspool.ErrUnavailable, false)
				}
			},
			"silence": func(t *rapid.T) {
				if _, ok := s.call.(watch); ok {
					s.answer(t, nil, true)
				}
			},
			"elected": func(t *rapid.T) { s.step(t, elected{watcher: rapid.Bool().Draw(t, "watcher")}) },
			"heard": func(t *rapid.T) {
				// A peer has only valid revisions in force. The message may be old.
				if i := rapid.IntRange(-1, len(s.written)-1).Draw(t, "version"); i >= 0 && s.valid[s.written[i].Version] {
					s.step(t, revisionReported{revision: s.written[i].Version})
				}
			},
			"fetched": func(t *rapid.T) { s.endFetch(t) },
			"time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 90_000).Draw(t, "milliseconds")) * time.Millisecond)
				s.step(t, timerFired{})
			},
			"restart": func(t *rapid.T) { s.restart(t) },
			"contact": func(*rapid.T) { s.peerContact = !s.peerContact },
		})
		valid, invalid := s.newest()
		if rapid.Bool().Draw(t, "outage lasts") {
			s.settleByPeers(t, valid)
			return
		}
		s.settle(t, rapid.Bool().Draw(t, "watches stay silent"))
		if s.state.document.Revision < valid && valid > invalid {
			t.Fatalf("revision %d is in force, %d is valid and the newest", s.state.document.Revision, valid)
		}
		if invalid > valid && (s.state.rejected == nil || s.state.rejected.Revision != invalid) {
			t.Fatalf("revision %d is invalid and the newest, rejected is %+v", invalid, s.state.rejected)
		}
	})
}

// endFetch ends a fetch with a valid, old, damaged or missing document.
func (s *simulation) endFetch(t *rapid.T) {
	if !s.fetchRunning {
		return
	}
	s.fetchRunning = false
	i := rapid.IntRange(-1, len(s.written)-1).Draw(t, "version")
	switch {
	case i < 0:
		s.step(t, fetchEnded{err: errors.New("connection closed")})
	case !s.valid[s.written[i].Version] || rapid.Bool().Draw(t, "damaged"):
		document := s.written[i].Value
		s.step(t, fetchEnded{document: mulberryspool.TablesDocument{Revision: s.written[i].Version, Document: document[:len(document)-1]}})
	default:
		s.confirmed = true
		s.step(t, fetchEnded{document: mulberryspool.TablesDocument{Revision: s.written[i].Version, Document: s.written[i].Value}})
	}
}

// Guards against a rejection without the table, row and reason.
func TestRejectionNamesRowAndReason(t *testing.T) {
	_, rejection := parse(mulberryspool.TablesDocument{Revision: 4, Document: invalidDocument})
	want := mulberryspool.TablesRejection{Revision: 4, Table: "routes", Row: "chat", Reason: `pool "missing" does not exist`}
	if rejection == nil || *rejection != want {
		t.Fatalf("rejection is %+v, want %+v", rejection, want)
	}
}

// Guards against a failure domain in which all processes watch, or none, against
// an election that depends on the order of the list, and against watchers that
// are not replaced when they leave.
func TestWatchersAreElectedPerFailureDomain(t *testing.T) {
	var members []mulberryspool.ListedInstance
	for i := range 30 {
		members = append(members, mulberryspool.ListedInstance{
			Identity: mulberryspool.Identity{Instance: mulberryspool.InstanceID(fmt.Sprint("i-", i)), FailureDomain: fmt.Sprint("domain-", i%3)},
			State:    mulberryspool.InstanceLive,
		})
	}
	watchers := make(map[string]int)
	for _, m := range members {
		if isWatcher(m.Identity, members, 2) {
			watchers[m.FailureDomain]++
		}
	}
	if len(watchers) != 3 || watchers["domain-0"] != 2 || watchers["domain-1"] != 2 || watchers["domain-2"] != 2 {
		t.Fatalf("watchers by failure domain are %v, want 2 each", watchers)
	}
	for i := range members {
		if members[i].FailureDomain == "domain-0" && isWatcher(members[i].Identity, members, 2) {
			members[i].State = mulberryspool.InstanceLeaving
		}
	}
	replacements := 0
	for _, m := range members {
		if m.FailureDomain == "domain-0" && m.State == mulberryspool.InstanceLive && isWatcher(m.Identity, members, 2) {
			replacements++
		}
	}
	if replacements != 2 {
		t.Fatalf("%d other processes watch after both watchers left, want 2", replacements)
	}
}
