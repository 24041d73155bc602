package hosted

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

// Guards against an entry that starts just before a restore and is never registered again: the era in
// which it was registered is not the first one that its fleet knows.
func TestRegistrationOfEarlierEraThanFirstKnownIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &entryRole{process: &process{}, eraChanged: make(chan struct{}, 1)}
		e.clock = clockwork.NewRealClock()
		e.fleet = &fleet.Fleet{
			Clock: e.clock, Logger: zerolog.Nop(),
			IngressChanged:      func(mulberryspool.Ingress) {},
			ServersChanged:      func(fleet.Servers) {},
			NamedVersionChanged: func(string, int64, time.Time) {},
			EraChanged:          func(mulberryspool.Era, mulberryspool.Era) { wake(e.eraChanged) },
		}
		done := make(chan struct{})
		ctx := t.Context()
		go func() {
			defer close(done)
			// The store has listed the registration in era 1.
			e.awaitEra(ctx, 1)
		}()
		synctest.Wait()
		// The first answer to the fleet, or the first heartbeat of a peer, is of era 2.
		e.fleet.ObserveEra(2, "peer")
		select {
		case <-done:
		case <-time.After(time.Minute):
			t.Error("the registration was not checked within 1m after the restore")
		}
	})
}
