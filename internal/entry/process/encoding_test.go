package process

import (
	"context"
	"testing"
	"time"
)

// Guards against bodies whose messages take more memory together than there is, against short ones
// that wait for long ones, and against a body that can never be sent because it is larger than the
// limit.
func TestEncodedBodiesAreBounded(t *testing.T) {
	const budget = 64 << 20
	limit := newEncodingLimit(budget)
	acquire := func(bytes int) (func(), error) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		return limit.acquire(ctx, bytes)
	}
	var sending []func()
	for {
		release, err := acquire(1 << 20)
		if err != nil {
			break
		}
		sending = append(sending, release)
	}
	if n, want := len(sending), limit.longBytes/(encodedCopies<<20); int64(n) != want {
		t.Errorf("%d bodies of 1 MiB are sent at a time, want %d", n, want)
	}
	if release, err := acquire(shortBodyBytes); err != nil {
		t.Errorf("a short body waits for long ones: %v", err)
	} else {
		release()
	}
	for _, release := range sending {
		release()
	}
	release, err := acquire(budget)
	if err != nil {
		t.Fatalf("a body larger than the limit is not sent: %v", err)
	}
	release()
}
