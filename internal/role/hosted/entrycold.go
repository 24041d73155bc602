package hosted

import (
	"github.com/mulberryspool/mulberryspool/internal/entry/coldstart"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
)

// logColdChanges logs which backend servers have become cold, or are not any more.
func (e *entryRole) logColdChanges() {
	e.scheduler.ColdChanges(func(pool string, c coldstart.Change) {
		e.logger.Info().Str(logging.FieldStep, "observe cold servers").Str(logging.FieldPeer, string(c.Instance)).Str("pool", pool).
			Int64("born", c.Born).Bool("cold", c.Cold).Dur("left", c.Left).Int("share", c.Share).Msg("coldness of a backend server has changed")
	})
}

// reportServerMetrics reports what is known of the state of backend servers.
func (e *entryRole) reportServerMetrics() {
	e.scheduler.Reported(func(pool string, foreign, slow int) {
		scope := e.metrics.Tagged(map[string]string{"pool": pool})
		scope.Gauge("foreign_requests").Update(float64(foreign))
		scope.Gauge("slow_servers").Update(float64(slow))
	})
	e.scheduler.Cold(func(pool string, servers int, heldBack int64) {
		scope := e.metrics.Tagged(map[string]string{"pool": pool})
		scope.Gauge("cold_servers").Update(float64(servers))
		scope.Counter("cold_requests_held_back").Inc(heldBack)
	})
}
