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

// runCounts counts executions by request.
type runCounts struct {
	mu        sync.Mutex
	byRequest map[mulberryspool.RequestID]int
}

func (r *runCounts) add(id mulberryspool.RequestID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byRequest == nil {
		r.byRequest = make(map[mulberryspool.RequestID]int)
	}
	r.byRequest[id]++
	return r.byRequest[id]
}

func (r *runCounts) count(id mulberryspool.RequestID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRequest[id]
}

func newQueue(store mulberryspool.ObjectStore, name string, execute func(sub dispatch.Submission) (Answer, *dispatch.Error)) *Queue {
	return &Queue{
		Self:  mulberryspool.Identity{Instance: mulberryspool.InstanceID(name), Incarnation: mulberryspool.Incarnation(name + "-1")},
		Store: store, Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(),
		Execute:      func(_ context.Context, sub dispatch.Submission) (Answer, *dispatch.Error) { return execute(sub) },
		Serving:      func(string) bool { return true },
		ScanInterval: 20 * time.Millisecond, RetryInterval: 10 * time.Millisecond, OutcomeTimeout: time.Minute,
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

// Guards against submissions that are run by two entries or never, when
// several entries scan the same records.
func TestEachSubmissionRunsOnce(t *testing.T) {
	store, counts := &fake.Store{}, &runCounts{}
	execute := func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		counts.add(sub.ID)
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
		if n := counts.count(id); n != 1 {
			t.Errorf("submission %s ran %d times", id, n)
		}
	}
}

// Guards against bodies and answers too large for the record being lost,
// reassembled in the wrong order or left behind after removal.
func TestLargeBodiesAreStoredSeparately(t *testing.T) {
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
	for _, kind := range []string{RecordKind, BodyKind, AnswerKind} {
		if left, err := store.List(context.Background(), kind, ""); err != nil || len(left) > 0 {
			t.Errorf("%d objects of kind %s were not deleted, %v", len(left), kind, err)
		}
	}
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "b", Body: large}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a body of %d bytes was answered %v", len(large), err)
	}
}

// Guards against running a submission again after the entry that claimed it
// crashed during the run.
func TestLostOutcomeIsUnknown(t *testing.T) {
	store := &fake.Store{}
	release := make(chan struct{})
	crashed := newQueue(store, "entry-1", func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		<-release
		return echo(sub)
	})
	start(t, crashed)
	t.Cleanup(func() { close(release) })
	if _, err := crashed.Accept(context.Background(), dispatch.Submission{ID: "a", Route: "orders"}); err != nil {
		t.Fatal(err)
	}
	awaitState(t, crashed, "a", StateClaimed)
	survivor := newQueue(store, "entry-2", func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		t.Errorf("submission %s runs again", sub.ID)
		return echo(sub)
	})
	survivor.OutcomeTimeout = 50 * time.Millisecond
	start(t, survivor)
	awaitState(t, survivor, "a", StateUnknown)
}

// Guards against losing a submission, or recording it as run, when agents
// refuse it at first.
func TestNotRunIsRetried(t *testing.T) {
	counts := &runCounts{}
	q := newQueue(&fake.Store{}, "entry-1", func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		if counts.add(sub.ID) < 3 {
			return Answer{}, &dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: dispatch.CodeOverload}
		}
		return echo(sub)
	})
	start(t, q)
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "a", Route: "orders"}); err != nil {
		t.Fatal(err)
	}
	awaitState(t, q, "a", StateDone)
	if n := counts.count("a"); n != 3 {
		t.Fatalf("submission was tried %d times", n)
	}
}

// Guards against a receipt for a submission that is not stored, and against
// refusing a stored submission because the response to its write was lost.
func TestAcceptReportsDurability(t *testing.T) {
	store := &fake.Store{}
	q := newQueue(store, "entry-1", echo)
	store.SetError(mulberryspool.ErrUnavailable)
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "a"}); !errors.Is(err, mulberryspool.ErrUnavailable) {
		t.Fatalf("accept in an outage answered %v", err)
	}
	store.SetError(nil)
	losses := 1
	store.AfterWrite = func(string, string, string) error {
		if losses--; losses == 0 {
			return mulberryspool.ErrUncertain
		}
		return nil
	}
	if receipt, err := q.Accept(context.Background(), dispatch.Submission{ID: "b"}); err != nil || receipt.State != StateAccepted {
		t.Fatalf("accept with a lost response answered %+v, %v", receipt, err)
	}
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "b"}); !errors.Is(err, mulberryspool.ErrConflict) {
		t.Fatalf("a second submission under the same ID answered %v", err)
	}
}

// Guards against creating a second submission for a repeated idempotency key.
func TestRepeatedKeyGetsTheFirstReceipt(t *testing.T) {
	q := newQueue(&fake.Store{}, "entry-1", echo)
	first, err := q.Accept(context.Background(), dispatch.Submission{ID: "a", IdempotencyKey: "k", Body: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	again, err := q.Accept(context.Background(), dispatch.Submission{ID: "b", IdempotencyKey: "k", Body: []byte("x")})
	if err != nil || again.ID != first.ID || again.RequestID != "a" {
		t.Fatalf("repeated key got %+v, %v", again, err)
	}
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "c", IdempotencyKey: "k", Body: []byte("y")}); !errors.Is(err, ErrKeyReused) {
		t.Fatalf("key with another body answered %v", err)
	}
}

// Guards against dropping the outcome because the object API is unavailable
// when the run ends.
func TestOutcomeIsRecordedAfterOutage(t *testing.T) {
	store := &fake.Store{}
	q := newQueue(store, "entry-1", func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		store.SetError(mulberryspool.ErrUnavailable)
		time.AfterFunc(100*time.Millisecond, func() { store.SetError(nil) })
		return echo(sub)
	})
	start(t, q)
	if _, err := q.Accept(context.Background(), dispatch.Submission{ID: "a", Route: "orders"}); err != nil {
		t.Fatal(err)
	}
	awaitState(t, q, "a", StateDone)
}

// Guards against ending a submission as unknown although it was not run: the
// response to the claim's write is lost, and so are the reads that would
// resolve it, but the claim is recorded.
func TestClaimWithLostResponseRunsOnce(t *testing.T) {
	store, counts := &fake.Store{}, &runCounts{}
	q := newQueue(store, "entry-1", func(sub dispatch.Submission) (Answer, *dispatch.Error) {
		counts.add(sub.ID)
		return echo(sub)
	})
	var mu sync.Mutex
	updates, reads := 0, 0
	store.AfterWrite = func(method, _, _ string) error {
		mu.Lock()
		defer mu.Unlock()
		if updates++; method == "Update" && updates == 2 {
			return mulberryspool.ErrUncertain
		}
		return nil
	}
	store.BeforeCall = func(method, _, _ string) error {
		mu.Lock()
		defer mu.Unlock()
		// Fail the reads that would resolve whether the claim is recorded.
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
		if counts.count("a") > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	awaitState(t, q, "a", StateDone)
	if n := counts.count("a"); n != 1 {
		t.Fatalf("submission ran %d times", n)
	}
}
