package platform

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against a request that hangs and keeps a stopping process for good,
// and against a stop that cuts off requests before its limit.
func TestBoundedGivesUpAtItsLimit(t *testing.T) {
	for _, test := range []struct {
		name  string
		takes time.Duration
		fails bool
	}{
		{"in time", 59 * time.Second, false},
		{"too long", 61 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				role := Bounded(clockwork.NewRealClock(), time.Minute, func(ctx context.Context) error {
					<-ctx.Done()
					time.Sleep(test.takes)
					return nil
				})
				time.AfterFunc(time.Second, stop)
				if err := role(ctx); (err != nil) != test.fails {
					t.Errorf("a role that takes %v to stop returned %v", test.takes, err)
				}
				time.Sleep(test.takes)
			})
		})
	}
}
