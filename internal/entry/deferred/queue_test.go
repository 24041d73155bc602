package deferred

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
	"github.com/mulberryspool/mulberryspool/internal/testkit/fake"
)

// runs counts executions by request.
type runs struct {
	mu sync.Mutex
	of map[mulberryspool.RequestID]int
}

func (r *runs) add(id mulberryspool.RequestID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.of == nil {
		r.of = make(map[mulberryspool.RequestID]int)
	}
	r.of[id]++
	return r.of[id]
}

func (r *runs) count(id mulberryspool.RequestID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of[id]
}

func newQueue(store mulberryspool.ObjectStore, name string, execute func(sub dispatch.Submission) (Answer, *dispatch.Error)) *Queue {
	return &Queue{
		Self:  mulberryspool.Identity{Instance: mulberryspool.InstanceID(name), Incarnation: mulberryspool.Incarnation(name + "-1")},
		Store: store, Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(),
		Execute:      func(_ context.Context, sub dispatch.Submission) (Answer, *dispatch.Error) { return execute(sub) },
		Serving:      func(string) bool { return true },
		ScanInterval: 20 * time.Millisecond, RetryAfter: 10 * time.Millisecond, RunBound: time.Minute,
	}
}

// start runs the queue until the end of the test.
func start(t *testing.T, q *Queue) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- q.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func awaitState(t *testing.T, q *Queue, id string, state State) Receipt {
	t.Helper()
	var receipt Receipt
	for range 1000 {
		var err error
		if receipt, err = q.Receipt(context.Background(), id); err == nil && receipt.State == state {
			return receipt
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("submission %s is %s, want %s", id, receipt.State, state)
	return receipt
}

func echo(sub dispatch.Submission) (Answer, *dispatch.Error) {
	return Answer{Status: 200, Body: sub.Body}, nil
}

// Guards against a submission that two entries run, and one that nobody runs.
func TestEachSubmissionRunsOnce(t *testing.T) {
	store, counted := &fake.Store{}, &runs{}
	execute := func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		counted.add(sub.ID)
		return echo(sub)
	}
	var queues []*Queue
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		q := newQueue(store, name, execute)
		queues = append(queues, q)
		start(t, q)
	}
	ids := []mulberryspool.RequestID{"a", "b", "c", "d", "e", "f"}
	for i, id := range ids {
		if _, err := queues[i%3].Accept(context.Background(), dispatch.Submission{ID: id, Route: "orders", Body: []byte(id)}); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range ids {
		if receipt := awaitState(t, queues[0], string(id), StateDone); string(receipt.Answer.Body) != string(id) {
			t.Errorf("answer of %s is %q", id, receipt.Answer.Body)
		}
		if n := counted.count(id); n != 1 {
			t.Errorf("submission %s ran %d times", id, n)
		}
	}
}

// Guards against bodies and answers that don't fit into the record or are mixed up.
func TestLargeBodiesAreKeptApart(t *testing.T) {
	store := &fake.Store{}
	large := bytes.Repeat([]byte("0123456789abcdef"), 100<<10)
	q := newQueue(store, "entry-1", func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		return Answer{Status: 200, Body: append(bytes.Clone(sub.Body), large...)}, nil
	})
	start(t, q)
	body := large[:100<<10]
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "a", Route: "orders", Body: body}); err != nil {
		t.Fatal(err)
	}
	receipt := awaitState(t, q, "a", StateDone)
	if !bytes.Equal(receipt.Answer.Body, append(bytes.Clone(body), large...)) {
		t.Fatalf("answer has %d bytes", len(receipt.Answer.Body))
	}
	if err := q.Remove(context.Background(), "a"); err != nil {
		t.Fatal(err)
	}
	for _, kind := range []string{Kind, BodyKind, AnswerKind} {
		if left, err := store.List(context.Background(), kind, ""); err != nil || len(left) > 0 {
			t.Errorf("%d objects of kind %s stay behind, %v", len(left), kind, err)
		}
	}
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "b", Body: large}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a body of %d bytes was answered %v", len(large), err)
	}
}

// Guards against a second run of a submission whose entry died while it ran.
func TestLostOutcomeIsUnknown(t *testing.T) {
	store := &fake.Store{}
	release := make(chan struct{})
	dying := newQueue(store, "entry-1", func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		<-release
		return echo(sub)
	})
	start(t, dying)
	t.Cleanup(func() { close(release) })
	if _, err := dying.Accept(context.Background(), dispatch.Submission{ID: "a", Route: "orders"}); err != nil {
		t.Fatal(err)
	}
	awaitState(t, dying, "a", StateClaimed)
	next := newQueue(store, "entry-2", func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		t.Errorf("submission %s runs again", sub.ID)
		return echo(sub)
	})
	next.RunBound = 50 * time.Millisecond
	start(t, next)
	awaitState(t, next, "a", StateUnknown)
}

// Guards against a refused submission that is lost or counted as run.
func TestNotRunIsTriedAgain(t *testing.T) {
	counted := &runs{}
	q := newQueue(&fake.Store{}, "entry-1", func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		if counted.add(sub.ID) < 3 {
			return Answer{}, &dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: dispatch.CodeOverload}
		}
		return echo(sub)
	})
	start(t, q)
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "a", Route: "orders"}); err != nil {
		t.Fatal(err)
	}
	awaitState(t, q, "a", StateDone)
	if n := counted.count("a"); n != 3 {
		t.Fatalf("submission was tried %d times", n)
	}
}

// Guards against a receipt for a submission that is not durable, and against
// a lost answer that makes a durable one look refused.
func TestAcceptTellsTheTruth(t *testing.T) {
	store := &fake.Store{}
	q := newQueue(store, "entry-1", echo)
	store.Refuse(mulberryspool.ErrUnavailable)
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "a"}); !errors.Is(err, mulberryspool.ErrUnavailable) {
		t.Fatalf("accept in an outage answered %v", err)
	}
	store.Refuse(nil)
	losses := 1
	store.After = func(string, string, string) error {
		if losses--; losses == 0 {
			return mulberryspool.ErrUncertain
		}
		return nil
	}
	if receipt, err := q.Accept(context.Background(), dispatch.Submission{ID: "b"}); err != nil || receipt.State != StateAccepted {
		t.Fatalf("accept with a lost answer answered %+v, %v", receipt, err)
	}
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "b"}); !errors.Is(err, mulberryspool.ErrConflict) {
		t.Fatalf("a second submission under the same ID answered %v", err)
	}
}

// Guards against a repeated key that makes a second submission.
func TestRepeatedKeyGetsTheFirstReceipt(t *testing.T) {
	q := newQueue(&fake.Store{}, "entry-1", echo)
	first, err := q.Accept(context.Background(), dispatch.Submission{ID: "a", Key: "k", Body: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	again, err := q.Accept(context.Background(), dispatch.Submission{ID: "b", Key: "k", Body: []byte("x")})
	if err != nil || again.ID != first.ID || again.RequestID != "a" {
		t.Fatalf("repeated key got %+v, %v", again, err)
	}
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "c", Key: "k", Body: []byte("y")}); !errors.Is(err, ErrKeyReused) {
		t.Fatalf("key with another body answered %v", err)
	}
}

// Guards against an outcome that is dropped because the object API is down
// when the run ends.
func TestOutcomeOutlastsOutage(t *testing.T) {
	store := &fake.Store{}
	q := newQueue(store, "entry-1", func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		store.Refuse(mulberryspool.ErrUnavailable)
		time.AfterFunc(100*time.Millisecond, func() { store.Refuse(nil) })
		return echo(sub)
	})
	start(t, q)
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "a", Route: "orders"}); err != nil {
		t.Fatal(err)
	}
	awaitState(t, q, "a", StateDone)
}

// Guards against a submission that ends as unknown although its claim was
// never used, because only the answer to the claim was lost.
func TestUnusedClaimRuns(t *testing.T) {
	store, counted := &fake.Store{}, &runs{}
	q := newQueue(store, "entry-1", func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		counted.add(sub.ID)
		return echo(sub)
	})
	var mu sync.Mutex
	updates, reads := 0, 0
	store.After = func(method, _, _ string) error {
		mu.Lock()
		defer mu.Unlock()
		if updates++; method == "Update" && updates == 2 {
			return mulberryspool.ErrUncertain
		}
		return nil
	}
	store.Before = func(method, _, _ string) error {
		mu.Lock()
		defer mu.Unlock()
		// The reads that would settle the claim fail.
		if reads++; method == "Get" && updates == 2 && reads < 12 {
			return mulberryspool.ErrUnavailable
		}
		return nil
	}
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "a", Route: "orders"}); err != nil {
		t.Fatal(err)
	}
	start(t, q)
	for range 1000 {
		if counted.count("a") > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	awaitState(t, q, "a", StateDone)
	if n := counted.count("a"); n != 1 {
		t.Fatalf("submission ran %d times", n)
	}
}
