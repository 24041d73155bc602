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

// init fixes the seed, so that every run takes the same steps; the flag on
// the command line still chooses another one.
func init() {
	// Most faults need several steps in one order, so there are more steps
	// and checks than by default.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// world is the object API, the peers and the network around one reducer.
type world struct {
	state state
	now   time.Time
	// written holds every version of the object, oldest first.
	written []mulberryspool.Object
	valid   map[mulberryspool.Revision]bool
	// call is the running call to the object API, nil for none.
	call effect
	// calledAt is how many versions existed when it was sent.
	calledAt int
	fetching bool
	// rejected is the revision that was rejected last in this life.
	rejected mulberryspool.Revision
	// contact lets a peer name an old revision all the time.
	contact bool
	// last is what was published last in this life of the process.
	last mulberryspool.Revision
	// confirmed is set once an answer with a valid document was delivered.
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

func (w *world) write(valid bool) {
	object := mulberryspool.Object{Version: mulberryspool.Revision(len(w.written)*2 + 1), Value: invalidDocument}
	if valid {
		object.Value = validDocument(int(object.Version))
	}
	w.valid[object.Version] = valid
	w.written = append(w.written, object)
}

func (w *world) step(t *rapid.T, e event) {
	in := input{now: w.now, random: rapid.Float64Range(0, 0.999).Draw(t, "random")}
	if w.contact {
		in.contact = w.now
	}
	for _, do := range w.state.step(in, e) {
		switch do := do.(type) {
		case read, watch:
			if w.call != nil {
				t.Fatal("two calls to the object API run at once")
			}
			w.call, w.calledAt = do, len(w.written)
		case fetch:
			if w.fetching {
				t.Fatal("two fetches run at once")
			}
			w.fetching = true
		case reject:
			if do.rejection.Revision <= w.rejected {
				t.Fatalf("revision %d is rejected after %d", do.rejection.Revision, w.rejected)
			}
			w.rejected = do.rejection.Revision
		case publish:
			w.published(t, do.view)
		}
	}
}

func (w *world) published(t *rapid.T, view mulberryspool.TablesView) {
	if view.Revision < w.last {
		t.Fatalf("revision in force fell from %d to %d", w.last, view.Revision)
	}
	if !w.confirmed || !w.valid[view.Revision] {
		t.Fatalf("revision %d is in force; confirmed %v, valid %v", view.Revision, w.confirmed, w.valid[view.Revision])
	}
	if view.Tables.Pools[0].MaxUnavailable != int(view.Revision) {
		t.Fatalf("revision %d is in force with the content of %d", view.Revision, view.Tables.Pools[0].MaxUnavailable)
	}
	if view.Rejected != nil && (view.Rejected.Revision <= view.Revision || w.valid[view.Rejected.Revision]) {
		t.Fatalf("rejection of %d while %d is in force", view.Rejected.Revision, view.Revision)
	}
	w.last = view.Revision
}

// answer ends the running call with the object at some time since it was
// sent, or with a failure.
func (w *world) answer(t *rapid.T, failure error, silent bool) {
	call := w.call
	w.call = nil
	if failure != nil || silent {
		if silent {
			failure = mulberryspool.ErrUnavailable
		}
		w.step(t, answered{err: failure, silent: silent})
		return
	}
	seen := rapid.IntRange(w.calledAt, len(w.written)).Draw(t, "seen")
	w.deliver(t, call, seen)
}

func (w *world) deliver(t *rapid.T, call effect, seen int) {
	if seen == 0 {
		w.step(t, answered{err: mulberryspool.ErrNotFound})
		return
	}
	object := w.written[seen-1]
	if do, ok := call.(watch); ok && object.Version <= do.after {
		elapsed := time.Duration(rapid.IntRange(0, 2).Draw(t, "elapsed")) * quickAnswer
		w.step(t, answered{err: mulberryspool.ErrNotModified, elapsed: elapsed})
		return
	}
	w.confirmed = w.confirmed || w.valid[object.Version]
	w.step(t, answered{object: object})
}

func (w *world) restart(t *rapid.T) {
	// Calls of the former life are cancelled with it.
	w.state, w.call, w.fetching = state{pollInterval: time.Minute}, nil, false
	w.last, w.rejected, w.confirmed = 0, 0, false
	w.step(t, started{spread: time.Second})
}

// settle lets time pass with an object API that answers every read; watches
// stay silent if silent is set. Peers are gone.
func (w *world) settle(t *rapid.T, silent bool) {
	fetches := 0
	for range 12 {
		for range 3 {
			call := w.call
			w.call = nil
			if _, ok := call.(watch); ok && silent {
				w.step(t, answered{err: mulberryspool.ErrUnavailable, silent: true})
			} else if call != nil {
				w.deliver(t, call, len(w.written))
			}
		}
		if w.fetching {
			w.fetching = false
			fetches++
			w.step(t, fetched{err: errors.New("peer is gone")})
		}
		w.now = w.now.Add(2 * time.Minute)
		w.step(t, woken{})
	}
	if fetches > fetchAttempts {
		t.Fatalf("%d fetches without a peer, at most %d are allowed", fetches, fetchAttempts)
	}
}

// settleByPeers lets time pass in an outage of the object API, with
// heartbeats of a peer that has the newest valid revision.
func (w *world) settleByPeers(t *rapid.T, newest mulberryspool.Revision) {
	// The waits of 40 s of backoff, each at its shortest, leave room for 12 calls.
	const rounds, maxCalls = 80, 12
	calls := 0
	defer func() {
		if calls > maxCalls {
			t.Fatalf("%d calls in 40 s of an outage, at most %d are allowed", calls, maxCalls)
		}
	}()
	for range rounds {
		if w.call != nil {
			calls++
			w.answer(t, mulberryspool.ErrUnavailable, false)
		}
		if newest > 0 {
			w.step(t, heard{revision: newest})
		}
		if w.fetching {
			w.fetching, w.confirmed = false, true
			w.step(t, fetched{document: mulberryspool.TablesDocument{Revision: newest, Document: validDocument(int(newest))}})
		}
		w.now = w.now.Add(500 * time.Millisecond)
		w.step(t, woken{})
	}
	if w.state.document.Revision < newest {
		t.Fatalf("revision %d is in force, a peer has %d", w.state.document.Revision, newest)
	}
}

// newest returns the highest valid and the highest invalid revision.
func (w *world) newest() (valid, invalid mulberryspool.Revision) {
	for _, object := range w.written {
		if w.valid[object.Version] {
			valid = object.Version
		} else {
			invalid = object.Version
		}
	}
	return valid, invalid
}

// Guards against a revision in force that falls, an invalid or unconfirmed
// one in force, and a process that stays behind after lost, late and
// duplicate messages, outages and restarts.
func TestRevisionInForceNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(0, 0), valid: make(map[mulberryspool.Revision]bool)}
		w.restart(t)
		t.Repeat(map[string]func(*rapid.T){
			"write valid":   func(*rapid.T) { w.write(true) },
			"write invalid": func(*rapid.T) { w.write(false) },
			"answer": func(t *rapid.T) {
				if w.call != nil {
					w.answer(t, nil, false)
				}
			},
			"outage": func(t *rapid.T) {
				if w.call != nil {
					w.answer(t, mulberryspool.ErrUnavailable, false)
				}
			},
			"silence": func(t *rapid.T) {
				if _, ok := w.call.(watch); ok {
					w.answer(t, nil, true)
				}
			},
			"elected": func(t *rapid.T) { w.step(t, elected{watcher: rapid.Bool().Draw(t, "watcher")}) },
			"heard": func(t *rapid.T) {
				// A peer only has valid revisions in force; the message may be old.
				if i := rapid.IntRange(-1, len(w.written)-1).Draw(t, "version"); i >= 0 && w.valid[w.written[i].Version] {
					w.step(t, heard{revision: w.written[i].Version})
				}
			},
			"fetched": func(t *rapid.T) { w.fetchedSomething(t) },
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 90_000).Draw(t, "milliseconds")) * time.Millisecond)
				w.step(t, woken{})
			},
			"restart": func(t *rapid.T) { w.restart(t) },
			"contact": func(*rapid.T) { w.contact = !w.contact },
		})
		valid, invalid := w.newest()
		if rapid.Bool().Draw(t, "outage lasts") {
			w.settleByPeers(t, valid)
			return
		}
		w.settle(t, rapid.Bool().Draw(t, "watches stay silent"))
		if w.state.document.Revision < valid && valid > invalid {
			t.Fatalf("revision %d is in force, %d is valid and the newest", w.state.document.Revision, valid)
		}
		if invalid > valid && (w.state.rejected == nil || w.state.rejected.Revision != invalid) {
			t.Fatalf("revision %d is invalid and the newest, rejected is %+v", invalid, w.state.rejected)
		}
	})
}

// fetchedSomething ends a fetch with a valid, old, damaged or missing document.
func (w *world) fetchedSomething(t *rapid.T) {
	if !w.fetching {
		return
	}
	w.fetching = false
	i := rapid.IntRange(-1, len(w.written)-1).Draw(t, "version")
	switch {
	case i < 0:
		w.step(t, fetched{err: errors.New("connection closed")})
	case !w.valid[w.written[i].Version] || rapid.Bool().Draw(t, "damaged"):
		document := w.written[i].Value
		w.step(t, fetched{document: mulberryspool.TablesDocument{Revision: w.written[i].Version, Document: document[:len(document)-1]}})
	default:
		w.confirmed = true
		w.step(t, fetched{document: mulberryspool.TablesDocument{Revision: w.written[i].Version, Document: w.written[i].Value}})
	}
}

// Guards against a rejection that does not name table, row and reason.
func TestRejectionNamesRowAndReason(t *testing.T) {
	_, rejection := check(mulberryspool.TablesDocument{Revision: 4, Document: invalidDocument})
	want := mulberryspool.TablesRejection{Revision: 4, Table: "routes", Row: "chat", Reason: `pool "missing" does not exist`}
	if rejection == nil || *rejection != want {
		t.Fatalf("rejection is %+v, want %+v", rejection, want)
	}
}

// Guards against processes of one failure domain that all watch, or none,
// and against a choice that depends on the order of the list.
func TestWatchersAreChosenPerFailureDomain(t *testing.T) {
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
	taken := 0
	for _, m := range members {
		if m.FailureDomain == "domain-0" && m.State == mulberryspool.InstanceLive && isWatcher(m.Identity, members, 2) {
			taken++
		}
	}
	if taken != 2 {
		t.Fatalf("%d others watch after both watchers left, want 2", taken)
	}
}
