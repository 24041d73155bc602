package engine

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/content"
	standin "github.com/mulberryspool/mulberryspool/internal/standin/engine"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/origin"
	"github.com/mulberryspool/mulberryspool/internal/testkit/httpserver"
)

// startOrigin starts a simulated origin with the weights of v2 and returns the
// order to load them.
func startOrigin(t *testing.T, size int64) (order mulberryspool.LoadOrder, manifest mulberryspool.Manifest) {
	t.Helper()
	s := &origin.Server{Clock: clockwork.NewRealClock()}
	weights := content.Generate(2, size)
	manifest, err := content.Manifest("v2", "v2", weights, 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	s.Put("v2", weights, manifest.Chunks)
	source := httpserver.Start(t, s.Handler()) + origin.PathPrefix + "v2"
	return mulberryspool.LoadOrder{Version: "v2", Source: source, Size: size, Fencing: 2}, manifest
}

// Checks that a failed or refused load leaves the served weights unchanged, and
// that the engine reports the digest of the content that it loaded.
func TestLoad(t *testing.T) {
	ctx := context.Background()
	s := &standin.Server{RefusesStaleOrders: true}
	c := startEngine(t, s)
	order, manifest := startOrigin(t, 300_000)
	before, err := c.Loaded(ctx)
	if err != nil || before.Version != "v1" || before.Digest != firstDigest {
		t.Fatalf("loaded is %+v, %v", before, err)
	}
	stale, short, remote := order, order, order
	stale.Fencing, short.Size, remote.Source = 0, 299_999, "http://192.0.2.1/v2"
	if err := c.Load(ctx, stale); !errors.Is(err, mulberryspool.ErrConflict) {
		t.Errorf("stale order returned %v, want ErrConflict", err)
	}
	if err := c.Load(ctx, short); !errors.Is(err, ErrLoadFailed) {
		t.Errorf("order with a wrong size returned %v, want ErrLoadFailed", err)
	}
	if err := c.Load(ctx, remote); err == nil {
		t.Error("an order with a source on another machine was carried out")
	}
	if err := s.Faults.Add(fault.Rule{Kind: fault.Fail, Operations: []string{standin.OperationLoad}, Calls: 1}); err != nil {
		t.Fatal(err)
	}
	if err := c.Load(ctx, order); !errors.Is(err, ErrLoadFailed) {
		t.Errorf("failing load returned %v, want ErrLoadFailed", err)
	}
	if got, err := c.Loaded(ctx); err != nil || got.Version != "v1" || got.Digest != firstDigest {
		t.Errorf("after failed loads, loaded is %+v, %v", got, err)
	}
	order.Role, order.Adapter, order.AdapterSource = "decode", "a1", order.Source
	if err := c.Load(ctx, order); err != nil {
		t.Fatal(err)
	}
	want := mulberryspool.Loaded{Version: "v2", Digest: manifest.Digest, Role: "decode", Adapter: "a1", Fencing: 2}
	if got, err := c.Loaded(ctx); err != nil || got != want {
		t.Errorf("loaded is %+v, %v, want %+v", got, err, want)
	}
	order.Source, order.AdapterSource, order.Adapter, order.Role, order.Fencing = "", "", "", "prefill", 3
	if err := c.Load(ctx, order); err != nil {
		t.Errorf("load that only changes the role: %v", err)
	}
	if orders := s.Orders(); len(orders) != 6 || orders[4].AdapterDigest != manifest.Digest {
		t.Errorf("orders are %+v", orders)
	}
}

// Checks that a cancelled order counts as uncertain, because it can still take
// effect after its sender is gone, and that an engine that checks fencing numbers
// refuses such a late order once it has received a newer one.
func TestLateOrder(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		clock := clockwork.NewFakeClock()
		s := &standin.Server{Clock: clock, RefusesStaleOrders: refuses}
		c := startEngine(t, s)
		order, manifest := startOrigin(t, 1000)
		rule := fault.Rule{Kind: fault.ApplyLate, Operations: []string{standin.OperationLoad}, Calls: 1, Delay: time.Minute}
		if err := s.Faults.Add(rule); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- c.Load(ctx, order) }()
		if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
			t.Fatal(err)
		}
		cancel()
		if err := <-ended; !errors.Is(err, mulberryspool.ErrUncertain) {
			t.Errorf("cancelled order returned %v, want ErrUncertain", err)
		}
		if refuses {
			// A newer order arrives before the late one takes effect. It only
			// raises the fencing number.
			newer := mulberryspool.LoadOrder{Version: "v1", Fencing: order.Fencing + 1}
			go func() { ended <- c.Load(context.Background(), newer) }()
			for s.Loaded().Fencing < newer.Fencing {
				time.Sleep(time.Millisecond)
			}
		}
		clock.Advance(time.Minute)
		if refuses {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
		for s.Orders()[0].Status == 0 {
			time.Sleep(time.Millisecond)
		}
		want := manifest.Digest
		if refuses {
			want = firstDigest
		}
		if got := s.Loaded().Digest; got != want {
			t.Errorf("refuses %v: digest %s is loaded, want %s", refuses, got, want)
		}
	}
}

// Checks that the simulated engine reveals two faults to other tests: an order
// that is carried out in spite of its old fencing number, and an answer that was
// generated with two versions.
func TestSwapDuringAnswer(t *testing.T) {
	ctx := context.Background()
	s := &standin.Server{TokensPerSecond: 2}
	c := startEngine(t, s)
	order, manifest := startOrigin(t, 1000)
	order.Fencing = 0
	request := chatRequest("r", "x", 100, true)
	answer, err := c.Submit(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	first := make([]byte, 10)
	if _, err := io.ReadFull(answer.Body, first); err != nil {
		t.Fatal(err)
	}
	if err := c.Load(ctx, order); err != nil {
		t.Fatalf("engine that ignores fencing refused an old order: %v", err)
	}
	s.SetSettings(standin.Settings{})
	rest, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	got := generatedText(t, bytes.Join([][]byte{first, rest}, nil))
	for _, digest := range []mulberryspool.Digest{firstDigest, manifest.Digest} {
		if want, _ := standin.ExpectedAnswer(request.Body, digest); got == want {
			t.Errorf("answer during a swap is the answer of digest %s alone", digest)
		}
	}
	if e := s.Executions("r")[0]; e.StartDigest != firstDigest || e.EndDigest != manifest.Digest {
		t.Errorf("execution is %+v", e)
	}
}
