package platform

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against a request that hangs and keeps a stopping process running
// forever, and against a stop that cuts off requests before its timeout.
func TestStopTimeoutIsEnforced(t *testing.T) {
	for _, test := range []struct {
		name         string
		stopDuration time.Duration
		wantErr      bool
	}{
		{"in time", 59 * time.Second, false},
		{"too long", 61 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				role := WithStopTimeout(clockwork.NewRealClock(), time.Minute, func(ctx context.Context) error {
					<-ctx.Done()
					time.Sleep(test.stopDuration)
					return nil
				})
				time.AfterFunc(time.Second, stop)
				if err := role(ctx); (err != nil) != test.wantErr {
					t.Errorf("a role that takes %v to stop returned %v", test.stopDuration, err)
				}
				time.Sleep(test.stopDuration)
			})
		})
	}
}
