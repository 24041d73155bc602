package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
)

var builder process.Builder

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		if err := builder.Close(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
		os.Exit(code)
	}))
}

// Guards against writes to a suspended object API that are reported as without
// effect although they take effect when it resumes.
func TestFrozenAndKilledObjectAPI(t *testing.T) {
	p := process.Start(t, builder.Build(t, "github.com/mulberryspool/mulberryspool/cmd/standin"), "objectapi")
	var ready struct{ URL string }
	if err := json.Unmarshal([]byte(p.AwaitLine(t)), &ready); err != nil {
		t.Fatal(err)
	}
	c := newClient(t, ready.URL, "one", 11)
	c.AttemptTimeout, c.CallTimeout = time.Second, time.Minute
	ctx := context.Background()
	if _, err := c.Create(ctx, "kind", "before", nil); err != nil {
		t.Fatal(err)
	}
	p.Freeze(t)
	if _, err := c.Create(ctx, "kind", "frozen", nil); !errors.Is(err, mulberryspool.ErrUncertain) {
		t.Errorf("create at a suspended object API returned %v, want ErrUncertain", err)
	}
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	// The request waited in the process's socket, so it takes effect now.
	_, err := c.Get(ctx, "kind", "frozen")
	for errors.Is(err, mulberryspool.ErrNotFound) {
		time.Sleep(time.Millisecond)
		_, err = c.Get(ctx, "kind", "frozen")
	}
	if err != nil {
		t.Errorf("get of the created object: %v", err)
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	p.Wait()
	// A new client without open connections, because a write on a connection
	// that turns out to be closed is uncertain.
	c = newClient(t, ready.URL, "one", 12)
	c.CallTimeout = 100 * time.Millisecond
	if _, err := c.Create(ctx, "kind", "killed", nil); !errors.Is(err, mulberryspool.ErrUnavailable) || errors.Is(err, mulberryspool.ErrUncertain) {
		t.Errorf("create at a killed object API returned %v, want only ErrUnavailable", err)
	}
}
