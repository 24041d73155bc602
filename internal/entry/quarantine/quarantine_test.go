package quarantine

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

var epoch = time.Unix(1000, 0)

// TestMain sets rapid's seed unless it is given on the command line, so that every
// run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func at(d time.Duration) time.Time { return epoch.Add(d) }

// exchange passes the findings of each on to the other until none knows more.
func exchange(a, b *Quarantine, now time.Time) {
	for range 3 {
		b.Merge(a.Entry, a.Findings(now), now)
		a.Merge(b.Entry, b.Findings(now), now)
	}
}

// Guards against two entries that try a suspected part at the same time, and against
// requests that wait for a trial that has ended.
func TestOneTrialInAllEntries(t *testing.T) {
	a, b := &Quarantine{Entry: "a"}, &Quarantine{Entry: "b"}
	parts := []Part{"p"}
	a.RecordBroken(parts, 1, false, at(0))
	exchange(a, b, at(10*time.Millisecond))
	now := at(20 * time.Millisecond)
	if d := a.Decide("ra", parts, now); d.Verdict != Wait || !d.Announced {
		t.Fatalf("first decision of a is %+v, want an announced trial", d)
	}
	if d := b.Decide("rb", parts, now); d.Verdict != Wait || !d.Announced {
		t.Fatalf("first decision of b is %+v, want an announced trial", d)
	}
	exchange(a, b, at(30*time.Millisecond))
	now = at(20*time.Millisecond + trialSettleTime)
	if d := a.Decide("ra", parts, now); d.Verdict != Send || !d.Trial {
		t.Errorf("decision of a is %+v, want its trial to be sent", d)
	}
	if d := b.Decide("rb", parts, now); d.Verdict != Wait || d.Announced {
		t.Errorf("decision of b is %+v, want it to wait", d)
	}
	if d := a.Decide("other", parts, now); d.Verdict != Wait {
		t.Errorf("decision on another request of a is %+v, want it to wait", d)
	}
	if !a.EndTrial("ra", parts, now) || a.EndTrial("ra", parts, now) {
		t.Error("trial is not ended once")
	}
	now = now.Add(10 * time.Millisecond)
	exchange(a, b, now)
	if d := b.Decide("rb", parts, now); d.Verdict != Wait || !d.Announced {
		t.Errorf("decision of b after the trial is %+v, want a trial of its own", d)
	}
	now = now.Add(trialTimeout)
	if d := a.Decide("late", parts, now); !d.Announced {
		t.Errorf("decision after a trial without a result is %+v, want a new trial", d)
	}
}

// Guards against parts that are rejected because they were in flight when another
// part crashed their server.
func TestBystanderPartIsNotRejected(t *testing.T) {
	q := &Quarantine{Entry: "a"}
	q.RecordBegun([]Part{"proven"}, at(0))
	for i := range 2 {
		q.RecordBroken([]Part{"proven", "deadly"}, Server(i), false, at(time.Duration(i+1)*time.Second))
		q.RecordBroken([]Part{"new"}, Server(i), false, at(time.Duration(i+1)*time.Second))
	}
	now := at(2100 * time.Millisecond)
	if d := q.Decide("r", []Part{"proven"}, now); d.Verdict != Send {
		t.Errorf("decision on the proven part is %+v", d)
	}
	if d := q.Decide("r", []Part{"deadly", "new"}, now); d.Verdict != Reject {
		t.Errorf("decision on both ambiguous parts is %+v, want a rejection", d)
	}
	if d := q.Decide("r", []Part{"new"}, now); d.Verdict != Wait || !d.Announced {
		t.Errorf("decision on one ambiguous part is %+v, want a trial", d)
	}
	q.RecordBegun([]Part{"new"}, now)
	if d := q.Decide("r", []Part{"new"}, now); d.Verdict != Send {
		t.Errorf("decision on the refuted part is %+v", d)
	}
	if d := q.Decide("r", []Part{"proven", "deadly"}, now); d.Verdict != Reject || d.Part != "deadly" {
		t.Errorf("decision on the part that crashes servers is %+v", d)
	}
}

// Guards against a part that is rejected because its requests were in flight at crashes
// that two other parts explain.
func TestBystanderOfTwoPartsIsNotRejected(t *testing.T) {
	q := &Quarantine{Entry: "a"}
	for i, parts := range [][]Part{{"first"}, {"first", "bystander"}, {"second", "bystander"}, {"second"}} {
		for _, p := range parts {
			q.RecordBroken([]Part{p}, Server(i), false, at(time.Duration(i)*time.Second))
		}
	}
	want := map[Part]Level{"first": Rejected, "second": Rejected}
	if levels := q.Levels(at(4 * time.Second)); !reflect.DeepEqual(levels, want) {
		t.Errorf("levels are %v, want %v", levels, want)
	}
}

// Guards against a part that is rejected for a crash which follows from a request that
// was cancelled just before.
func TestCrashAfterCancelledRequestIsExplained(t *testing.T) {
	for name, at2 := range map[string]time.Duration{"cancelled before": 2 * time.Second, "cancelled after": 2200 * time.Millisecond} {
		a, b := &Quarantine{Entry: "a"}, &Quarantine{Entry: "b"}
		for i := range 2 {
			a.RecordBroken([]Part{"deadly"}, Server(i), false, at(time.Duration(i)*time.Second))
		}
		b.RecordBroken([]Part{"bystander"}, 1, false, at(time.Second))
		cancel := func() { a.RecordAbandoned([]Part{"deadly"}, 2, false, at(at2)) }
		crash := func() { b.RecordBroken([]Part{"bystander"}, 2, false, at(2100*time.Millisecond)) }
		if at2 < 2100*time.Millisecond {
			cancel()
			crash()
			exchange(a, b, at(2110*time.Millisecond))
		} else {
			crash()
			exchange(a, b, at(2110*time.Millisecond))
			cancel()
		}
		now := at(2210 * time.Millisecond)
		exchange(a, b, now)
		want := map[Part]Level{"deadly": Rejected}
		for _, q := range []*Quarantine{a, b} {
			if levels := q.Levels(now); !reflect.DeepEqual(levels, want) {
				t.Errorf("%s: levels at %s are %v, want %v", name, q.Entry, levels, want)
			}
		}
	}
}

// Guards against a cancelled request that counts against its parts although its server
// does not crash, or does much later.
func TestCancelledRequestWithoutCrashDoesNotCount(t *testing.T) {
	q := &Quarantine{Entry: "a"}
	for i := range 2 * maxAbandoned {
		q.RecordAbandoned([]Part{"p"}, Server(i), false, at(0))
	}
	if len(q.abandoned) > maxAbandoned {
		t.Errorf("%d abandoned exchanges are kept, want at most %d", len(q.abandoned), maxAbandoned)
	}
	for i := range 2 * maxAbandoned {
		q.RecordBroken([]Part{"other"}, Server(i), false, at(abandonTime+time.Duration(i+1)*crashInterval))
	}
	if level := q.Levels(at(time.Minute))["p"]; level != Clear {
		t.Errorf("level is %s, want %s", level, Clear)
	}
	q.Expire(at(time.Minute))
	if len(q.abandoned) > 0 {
		t.Errorf("%d abandoned exchanges are kept for a minute", len(q.abandoned))
	}
}

// Guards against a part with many sound requests that is rejected because some of these
// were in flight at several crashes.
func TestProvenPartIsRejectedOnlyAfterFailedTrial(t *testing.T) {
	q := &Quarantine{Entry: "a"}
	parts := []Part{"p"}
	q.RecordBegun(parts, at(0))
	for i := range 4 {
		q.RecordBroken(parts, Server(i), false, at(time.Duration(i+1)*time.Second))
	}
	now := at(5 * time.Second)
	if d := q.Decide("r", parts, now); d.Verdict != Wait || !d.Announced {
		t.Fatalf("decision is %+v, want a trial", d)
	}
	q.RecordBroken(parts, 4, q.IsTrial("r", parts), now.Add(time.Second))
	if d := q.Decide("other", parts, now.Add(time.Second)); d.Verdict != Reject || d.Crashes != 5 {
		t.Errorf("decision after the failed trial is %+v, want a rejection", d)
	}
	peer := &Quarantine{Entry: "b"}
	peer.Merge("a", q.Findings(now.Add(time.Second)), now.Add(time.Second))
	if d := peer.Decide("other", parts, now.Add(time.Second)); d.Verdict != Reject {
		t.Errorf("decision of a peer is %+v, want a rejection", d)
	}
}

// Guards against a failed trial that the other entries don't learn of, because one of
// them has reported the crash before.
func TestFailedTrialOfKnownCrashIsReported(t *testing.T) {
	q, peer := &Quarantine{Entry: "a"}, &Quarantine{Entry: "b"}
	parts := []Part{"p"}
	q.RecordBegun(parts, at(0))
	for i := range 3 {
		peer.RecordBroken(parts, Server(i), false, at(time.Duration(i+1)*time.Second))
	}
	now := at(4 * time.Second)
	q.Merge("b", peer.Findings(now), now)
	if added := q.RecordBroken(parts, 2, true, now); len(added) != 1 {
		t.Errorf("%d parts have changed, want 1", len(added))
	}
	peer.Merge("a", q.ChangedFindings(now, now), now)
	if d := peer.Decide("r", parts, now); d.Verdict != Reject {
		t.Errorf("decision of the peer is %+v, want a rejection", d)
	}
}

// Guards against servers that crash together, for a reason other than a prompt, and
// count as several crashes.
func TestServersThatCrashTogetherCountOnce(t *testing.T) {
	q := &Quarantine{Entry: "a"}
	for i := range 9 {
		q.RecordBroken([]Part{"p"}, Server(i), false, at(time.Duration(i)*time.Millisecond))
	}
	if level := q.Levels(at(time.Second))["p"]; level != Suspected {
		t.Errorf("level is %s, want %s", level, Suspected)
	}
}

// Guards against a part that is rejected because it was at one of many servers that
// crashed together, twice.
func TestPartAtOneOfServersThatCrashTogetherDoesNotCount(t *testing.T) {
	q := &Quarantine{Entry: "a"}
	for round := range 2 {
		now := at(time.Duration(round) * time.Second)
		for i := range 9 {
			parts := []Part{Part(fmt.Sprintf("other-%d-%d", round, i))}
			if i == 0 {
				parts = []Part{"rare"}
			}
			q.RecordBroken(parts, Server(9*round+i), false, now.Add(time.Duration(i)*time.Millisecond))
		}
	}
	if levels := q.Levels(at(2 * time.Second)); len(levels) > 0 {
		t.Errorf("levels are %v, want none", levels)
	}
}

// Guards against a rejection without end, and against one that ends for all requests
// at once.
func TestRejectionEndsWithTrial(t *testing.T) {
	q := &Quarantine{Entry: "a"}
	parts := []Part{"p"}
	q.RecordBroken(parts, 1, false, at(0))
	q.RecordBroken(parts, 2, false, at(time.Second))
	d := q.Decide("r", parts, at(2*time.Second))
	if d.Verdict != Reject || !d.Until.Equal(at(time.Second+rejectTime)) || d.Crashes != 2 {
		t.Fatalf("decision is %+v", d)
	}
	now := d.Until
	if d := q.Decide("r1", parts, now); d.Verdict != Wait || !d.Announced {
		t.Errorf("decision after the rejection is %+v, want a trial", d)
	}
	if d := q.Decide("r2", parts, now); d.Verdict != Wait || d.Announced {
		t.Errorf("second decision after the rejection is %+v, want it to wait", d)
	}
	q.RecordBroken(parts, 3, false, now.Add(time.Second))
	if d := q.Decide("r2", parts, now.Add(time.Second)); d.Verdict != Reject || d.Until.Sub(now.Add(time.Second)) != 2*rejectTime {
		t.Errorf("decision after the failed trial is %+v, want a rejection of twice the time", d)
	}
	q.Expire(now.Add(time.Second + 2*rejectTime + memoryTime))
	if len(q.suspects) != 1 {
		t.Error("part is forgotten too early")
	}
	q.Expire(now.Add(time.Second + 2*rejectTime + memoryTime + time.Millisecond))
	if len(q.suspects) != 0 {
		t.Error("part is never forgotten")
	}
}

// Guards against prompts without end that fill the memory and the heartbeats.
func TestSuspectsAndFindingsAreBounded(t *testing.T) {
	q := &Quarantine{Entry: "a"}
	now := epoch
	for i := range 4 * maxProven {
		now = now.Add(time.Millisecond)
		part := PartOf("a model with a long name, longer than those in use", fmt.Sprint(i))
		q.RecordBegun([]Part{part + "x"}, now)
		if i%256 == 0 {
			for j := range 2 * maxCrashes {
				q.RecordBroken([]Part{part}, Server(i+j), false, now.Add(time.Duration(j)*time.Second))
			}
		}
	}
	if len(q.suspects) > maxSuspects || len(q.proven)+len(q.provenBefore) > 2*maxProven {
		t.Errorf("%d suspects and %d proven parts are kept", len(q.suspects), len(q.proven)+len(q.provenBefore))
	}
	findings := q.Findings(now)
	encoded, err := msgpack.Marshal(findings)
	if err != nil {
		t.Fatal(err)
	}
	const maxBytes = 24 << 10
	if len(findings) > maxFindings || len(encoded) > maxBytes {
		t.Errorf("%d findings take %d bytes, want at most %d", len(findings), len(encoded), maxBytes)
	}
}

// Guards against entries that come to different verdicts from the same reports.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at(time.Minute)
		var reports []Finding
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			reports = append(reports, Finding{
				Part:   rapid.SampledFrom([]Part{"a", "b", "c"}).Draw(t, "part"),
				Proven: rapid.Bool().Draw(t, "proven"),
				Crashes: []CrashFinding{{
					Server:    Server(rapid.IntRange(1, 5).Draw(t, "server")),
					AgeMillis: int64(rapid.IntRange(0, 20).Draw(t, "age") * 100),
					Refuted:   rapid.IntRange(0, 3).Draw(t, "refuted") == 0,
				}},
			})
		}
		first, second := &Quarantine{Entry: "e"}, &Quarantine{Entry: "f"}
		first.Merge("s", reports, now)
		for _, f := range rapid.Permutation(reports).Draw(t, "order") {
			second.Merge("s", []Finding{f}, now)
			second.Merge("s", []Finding{f}, now)
		}
		if a, b := first.Levels(now), second.Levels(now); !reflect.DeepEqual(a, b) {
			t.Fatalf("levels are %v and %v", a, b)
		}
		for _, parts := range [][]Part{{"a"}, {"a", "b"}, {"b", "c"}} {
			a, b := first.Decide("r", parts, now), second.Decide("r", parts, now)
			if a.Verdict != b.Verdict || a.Until != b.Until {
				t.Fatalf("decisions on %v are %+v and %+v", parts, a, b)
			}
		}
	})
}

// Guards against two incarnations of a server that count as one.
func TestIncarnationsAreDifferentServers(t *testing.T) {
	first := mulberryspool.BackendServer{Instance: "i-1", Born: 1}
	same, next := first, mulberryspool.BackendServer{Instance: "i-1", Born: 2}
	if ServerOf(first) == ServerOf(next) || ServerOf(first) != ServerOf(same) {
		t.Error("incarnations are not told apart")
	}
}
