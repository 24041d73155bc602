package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	standin "github.com/mulberryspool/mulberryspool/internal/standin/instancelist"
	"github.com/mulberryspool/mulberryspool/internal/testkit/httpserver"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func start(t *testing.T, handler http.Handler) *Client {
	t.Helper()
	c := &Client{BaseURL: httpserver.Start(t, handler), Caller: "one", Clock: clockwork.NewRealClock()}
	t.Cleanup(c.Close)
	return c
}

// countingWriter counts the bytes of response bodies.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countingWriter) Write(body []byte) (int, error) {
	w.bytes.Add(int64(len(body)))
	return w.ResponseWriter.Write(body)
}

// Guards against polls that transfer an unchanged list again, and against a
// cached list that is returned after a change.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	const rows = 990
	s := &standin.Server{Clock: clockwork.NewFakeClock()}
	for i := range rows {
		s.Register(mulberryspool.Identity{Instance: mulberryspool.InstanceID(fmt.Sprintf("agent-%d", i)), Role: mulberryspool.RoleAgent, Pool: "p"})
	}
	var sent atomic.Int64
	handler := s.Handler()
	c := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(countingWriter{ResponseWriter: w, bytes: &sent}, r)
	}))
	for range 3 {
		if got, err := c.Instances(context.Background()); err != nil || len(got) != rows {
			t.Fatalf("list has %d rows, %v, want %d", len(got), err, rows)
		}
	}
	whole, err := json.Marshal(standin.Listing{Instances: s.Instances()})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d rows have %d bytes; three polls sent %d", rows, len(whole), sent.Load())
	if sent.Load() > int64(len(whole)) {
		t.Errorf("three polls of an unchanged list of %d bytes sent %d", len(whole), sent.Load())
	}
	s.MarkLeaving("agent-7")
	got, err := c.Instances(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	leaving := slices.IndexFunc(got, func(i mulberryspool.ListedInstance) bool { return i.State == mulberryspool.InstanceLeaving })
	if leaving < 0 || got[leaving].Instance != "agent-7" {
		t.Error("the list does not show that agent-7 is leaving")
	}
}

// Guards against changes that become visible before their configured lag, out
// of order or never.
func TestChangesAppearAfterLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &standin.Server{Clock: clock}
	c := start(t, s.Handler())
	expect := func(want ...mulberryspool.InstanceState) {
		t.Helper()
		got, err := c.Instances(context.Background())
		if err != nil || len(got) != len(want) {
			t.Fatalf("list is %+v, %v, want states %v", got, err, want)
		}
		for i := range want {
			if got[i].State != want[i] || got[i].Incarnation != "" || got[i].Pool != "p" {
				t.Fatalf("row %d is %+v, want state %s", i, got[i], want[i])
			}
		}
	}
	expect()
	s.Register(mulberryspool.Identity{Instance: "a", Incarnation: "x", Role: mulberryspool.RoleAgent, Pool: "p"})
	expect(mulberryspool.InstanceLive)
	s.SetLag(10 * time.Second)
	s.MarkLeaving("a")
	s.SetLag(time.Second)
	s.Register(mulberryspool.Identity{Instance: "b", Role: mulberryspool.RoleAgent, Pool: "p"})
	clock.Advance(9 * time.Second)
	expect(mulberryspool.InstanceLive)
	clock.Advance(time.Second)
	expect(mulberryspool.InstanceLeaving, mulberryspool.InstanceLive)
	s.Remove("a")
	expect(mulberryspool.InstanceLeaving, mulberryspool.InstanceLive)
	clock.Advance(time.Second)
	expect(mulberryspool.InstanceLive)
	if s.Remove("a") || s.MarkLeaving("a") {
		t.Fatal("a removed instance is still known")
	}
}

// Guards against an error or an answer that is not an instance list and that
// the client returns as an empty list.
func TestFailureIsNotAnEmptyList(t *testing.T) {
	s := &standin.Server{Clock: clockwork.NewRealClock()}
	c := start(t, s.Handler())
	c.Timeout = 100 * time.Millisecond
	for _, kind := range []fault.Kind{fault.Refuse, fault.Unavailable, fault.Hang} {
		if err := s.Faults.Add(fault.Rule{Kind: kind, Calls: 1}); err != nil {
			t.Fatal(err)
		}
		if got, err := c.Instances(context.Background()); err == nil {
			t.Errorf("%s: list is %+v, want an error", kind, got)
		}
	}
	for _, body := range []string{"", "{}", `{"instances":[{"instance":"a"}]}`, `{"instances":[{"state":"live"}]}`} {
		foreign := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		if got, err := foreign.Instances(context.Background()); err == nil {
			t.Errorf("body %q: list is %+v, want an error", body, got)
		}
	}
}
