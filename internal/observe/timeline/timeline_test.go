package timeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
)

func newRing(instance string, clock mulberryspool.Clock, capacity int) *Ring {
	return &Ring{
		Identity: mulberryspool.Identity{Instance: mulberryspool.InstanceID(instance), FailureDomain: "bagmati-a"},
		HLC:      &hlc.Clock{Wall: clock}, Capacity: capacity,
	}
}

// Guards against a ring that, under concurrent use, exceeds its capacity, drops
// newer instead of older events, counts dropped events wrongly or loses their
// order.
func TestRingKeepsTheNewestAndCountsTheRest(t *testing.T) {
	const writers, each, capacity = 8, 500, 64
	ring := newRing("entry-1", clockwork.NewRealClock(), capacity)
	var running sync.WaitGroup
	for w := range writers {
		running.Go(func() {
			for i := range each {
				ring.Record(mulberryspool.Event{Kind: mulberryspool.EventRequestEnded, Detail: fmt.Sprint(w, " ", i)})
			}
		})
	}
	running.Wait()
	ring.Record(mulberryspool.Event{Kind: mulberryspool.EventProcessStopping})
	dump := ring.Dump(Filter{})
	if len(dump.Events) != capacity || dump.Dropped != writers*each+1-capacity {
		t.Fatalf("%d events are held and %d dropped, want %d and %d", len(dump.Events), dump.Dropped, capacity, writers*each+1-capacity)
	}
	if last := dump.Events[capacity-1]; last.Kind != mulberryspool.EventProcessStopping || last.Instance != "entry-1" || last.FailureDomain != "bagmati-a" {
		t.Fatalf("last event is %+v", last)
	}
	for i := 1; i < capacity; i++ {
		if !dump.Events[i-1].Time.Before(dump.Events[i].Time) {
			t.Fatalf("event %d is not after the one before it", i)
		}
	}
}

// Guards against an effect that is ordered before its cause if the wall clocks
// of the processes disagree, and against events that are duplicated or lost in
// the merge.
func TestMergeSortsCauseBeforeEffect(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	behind, ahead := newRing("agent-1", clockwork.NewFakeClockAt(start.Add(-time.Hour)), 8), newRing("entry-1", clockwork.NewFakeClockAt(start), 8)
	ahead.Record(mulberryspool.Event{Kind: mulberryspool.EventRequestAdmitted})
	behind.HLC.Observe(ahead.HLC.Now())
	behind.Record(mulberryspool.Event{Kind: mulberryspool.EventRequestStarted})
	ahead.HLC.Observe(behind.HLC.Now())
	ahead.Record(mulberryspool.Event{Kind: mulberryspool.EventRequestEnded})
	merged := Merge(behind.Dump(Filter{}), ahead.Dump(Filter{}), ahead.Dump(Filter{}))
	var kinds []string
	for _, e := range merged.Events {
		kinds = append(kinds, string(e.Kind))
	}
	if got := strings.Join(kinds, " "); got != "requestAdmitted requestStarted requestEnded" {
		t.Fatalf("order is %s", got)
	}
}

// Guards against a filter that ignores a field, or that changes when it is
// encoded as query parameters and parsed.
func TestFilterSelectsByEveryField(t *testing.T) {
	event := mulberryspool.Event{
		Time: mulberryspool.Timestamp{Wall: 2000}, RequestID: "r-1", Pool: "p", Version: "v", Change: "c", Revision: 7,
		Kind: mulberryspool.EventRequestEnded,
	}
	matching := []Filter{
		{}, {Request: "r-1"}, {Pool: "p"}, {Version: "v"}, {Change: "c"}, {Change: "7"}, {Kind: mulberryspool.EventRequestEnded},
		{Since: time.Unix(0, 2000).UTC()}, {Request: "r-1", Pool: "p", Version: "v", Change: "c"},
	}
	others := []Filter{
		{Request: "r-2"}, {Pool: "q"}, {Version: "w"}, {Change: "d"}, {Change: "8"}, {Kind: mulberryspool.EventRequestStarted},
		{Since: time.Unix(0, 2001).UTC()}, {Request: "r-1", Pool: "q"},
	}
	for i, f := range append(matching, others...) {
		read, err := ParseFilter(f.Query())
		if err != nil || read != f {
			t.Errorf("filter %+v came back as %+v, error %v", f, read, err)
		}
		if f.Match(event) != (i < len(matching)) {
			t.Errorf("filter %+v matches: %v", f, f.Match(event))
		}
	}
	for _, bad := range []url.Values{{"poool": {"p"}}, {"since": {"yesterday"}}} {
		if _, err := ParseFilter(bad); err == nil {
			t.Errorf("query %v was accepted", bad)
		}
	}
}

// Guards against a page that loads something over the network, does not escape
// event texts, or omits an instance or an event.
func TestPageIsSelfContainedAndEscaped(t *testing.T) {
	merged := Merged{
		Events: []mulberryspool.Event{
			{Time: mulberryspool.Timestamp{Wall: 1}, Instance: "entry-1", Kind: mulberryspool.EventRequestAdmitted, Detail: "<script>alert(1)</script>"},
			{Time: mulberryspool.Timestamp{Wall: 3}, Instance: "agent-1", Kind: mulberryspool.EventTablesRejected, Pool: "p"},
		},
		Sources: []Source{
			{Instance: "agent-1", Dropped: 3}, {Instance: "entry-1"}, {Instance: "agent-2", Error: "no answer"},
		},
	}
	var page bytes.Buffer
	if err := merged.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	for _, unwanted := range []string{"http://", "https://", "src=", "@import", "<script>alert"} {
		if strings.Contains(page.String(), unwanted) {
			t.Errorf("page contains %q", unwanted)
		}
	}
	wanted := []string{
		`title="agent-1"`, `title="entry-1"`, `title="agent-2"`, `id="event1"`, `class="dot trouble" style="left:100%"`,
		"agent-1 no longer holds 3 older events", "events of agent-2 are missing: no answer", "pool=p", "2 events, 3 instances",
	}
	for _, part := range wanted {
		if !strings.Contains(page.String(), part) {
			t.Errorf("page lacks %q", part)
		}
	}
	if count := strings.Count(page.String(), `class="dot `); count != 2 {
		t.Errorf("page has %d dots, want 2", count)
	}
}

// Guards against output that omits fields, or sources whose events are missing.
func TestTextAndJSONShowAllFields(t *testing.T) {
	event := mulberryspool.Event{
		Time: mulberryspool.Timestamp{Wall: 1_700_000_000_000_000_000, Logical: 2}, Instance: "entry-1", Kind: "requestEnded",
		RequestID: "r", Route: "rt", Pool: "p", Version: "v", Revision: 7, Change: "c", Step: "s", Peer: "x", Detail: "two words",
	}
	merged := Merged{Events: []mulberryspool.Event{event}, Sources: []Source{{Instance: "a", Error: "no answer"}}}
	var text, encoded bytes.Buffer
	if err := merged.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	want := "2023-11-14T22:13:20.000000Z.002 entry-1                  requestEnded       " +
		"request=r route=rt pool=p version=v revision=7 change=c step=s peer=x detail=\"two words\"\n# events of a are missing: no answer\n"
	if text.String() != want {
		t.Errorf("got  %q\nwant %q", text.String(), want)
	}
	if err := merged.WriteJSON(&encoded); err != nil {
		t.Fatal(err)
	}
	var read Merged
	if err := json.Unmarshal(encoded.Bytes(), &read); err != nil || len(read.Events) != 1 || read.Events[0] != event {
		t.Errorf("read back %+v, error %v", read, err)
	}
}
