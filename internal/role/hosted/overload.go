package hosted

import (
	"strconv"

	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/shedding"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
)

const (
	// demandRounds is the number of rounds between two reports of what an overloaded pool is
	// asked for. The counts are those of half a second.
	demandRounds = 2
	// overloadLogRounds is the number of rounds between two log lines of one overload.
	overloadLogRounds = 10
)

// overloadLog writes log lines of the overloads of pools.
type overloadLog struct {
	logger zerolog.Logger
	// rounds holds the number of rounds for which each pool has been overloaded.
	rounds map[string]int
}

// record records the state of a pool in a round.
func (l *overloadLog) record(pool string, overloaded bool, shares []shedding.Share) {
	if l.rounds == nil {
		l.rounds = make(map[string]int)
	}
	rounds := l.rounds[pool]
	switch {
	case overloaded:
		if rounds%overloadLogRounds == 0 {
			admitted := zerolog.Dict()
			for _, s := range shares {
				admitted.Float64(strconv.Itoa(s.Priority), s.Share)
			}
			l.logger.Info().Str(logging.FieldPool, pool).Dict("admitted", admitted).Int("round", rounds).Msg("pool is overloaded; a part of the new requests is rejected early")
		}
		l.rounds[pool]++
	case rounds > 0:
		l.logger.Info().Str(logging.FieldPool, pool).Int("round", rounds).Msg("pool is not overloaded any more")
		delete(l.rounds, pool)
	}
}

// sendDemand sends the other entries what is asked of overloaded pools.
func (e *entryRole) sendDemand() {
	if demand := e.scheduler.Demand(); len(demand) > 0 {
		summary := &heartbeat.Summary{Summary: e.fleet.Summary(), Demand: demand}
		e.heartbeats.Send(heartbeat.Message{Summary: summary}, e.heartbeats.ActivePeers(mulberryspool.RoleEntry))
	}
}

// reportShares updates the gauges of the parts of new requests that are admitted.
func (e *entryRole) reportShares() {
	e.scheduler.Shares(func(pool string, _ bool, shares []shedding.Share) {
		for _, s := range shares {
			e.metrics.Tagged(map[string]string{"pool": pool, "priority": strconv.Itoa(s.Priority)}).Gauge("admitted_share").Update(s.Share)
		}
	})
}
