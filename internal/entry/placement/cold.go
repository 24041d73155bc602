package placement

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/coldstart"
)

const (
	// coldLateCost is added to the score of a cold server for a request that can't be in
	// time. A request that can be is worth more there, as the server gets few.
	coldLateCost = time.Second
	// coldLengthFactor is the share of the time beyond the mean one that a long response adds
	// to the score of a cold server: short ones free its slots for the load that follows.
	coldLengthFactor = 0.15
)

// ObserveCold records the objects of the listed backend servers. Call it after SetServers.
func (p *Placer) ObserveCold(list []mulberryspool.BackendServer, now time.Time) {
	if p.Config.Entries == nil {
		return
	}
	p.cold.Entries = p.Config.Entries
	p.cold.SetList(list, now)
	for _, s := range p.ordered {
		s.cold = p.cold.Server(s.Instance, s.Born)
	}
}

// RecordCold records for how long a backend server is still cold by its answer to a request
// that was sent at the given time.
func (p *Placer) RecordCold(id mulberryspool.InstanceID, born int64, coldFor time.Duration, sentAt, now time.Time) {
	p.cold.Server(id, born).RecordAnswer(coldFor, sentAt, now)
}

// RecordAlive records a response of a backend server on a connection that was opened at a time.
func (p *Placer) RecordAlive(b mulberryspool.BackendServer, openedAt time.Time) {
	p.cold.Server(b.Instance, b.Born).RecordAlive(openedAt)
}

// EvacuationEnded records that the backend servers of a failure domain get requests again
// since a change of the store; zero if its position is not known.
func (p *Placer) EvacuationEnded(failureDomain string, at mulberryspool.Position, now time.Time) {
	p.cold.EvacuationEnded(failureDomain, at, now)
}

// RecordWrite counts a request that is about to be written to the backend server, and reports
// false if it must not be written, as the server is cold and has got this entry's share.
func (p *Placer) RecordWrite(b mulberryspool.BackendServer, now time.Time) bool {
	return p.cold.Server(b.Instance, b.Born).Write(now)
}

// ColdChanges returns the backend servers that have become cold, or are not any more, since
// the last call.
func (p *Placer) ColdChanges(now time.Time) []coldstart.Change { return p.cold.Changes(now) }

// Cold returns the number of cold backend servers, and the number of requests so far that
// found no place although cold servers had free capacity.
func (p *Placer) Cold(now time.Time) (servers int, heldBack int64) {
	return p.cold.Cold(now), p.heldBack
}

// recordHeldBack counts a request once.
func (p *Placer) recordHeldBack(q *queuedRequest) {
	if !q.heldBack {
		q.heldBack = true
		p.heldBack++
	}
}

// effectiveCapacity is how many requests may be in flight at a backend server, by its present
// speed and by the requests per second that this entry may send to it while it is cold. It
// assumes that the shares of all entries are equal, as expectedWait does.
func (p *Placer) effectiveCapacity(s *server, now time.Time) float64 {
	capacity := float64(p.capacity(s)) / s.load.Work(now)
	if s.cold.Until(now).IsZero() {
		return capacity
	}
	return min(capacity, float64(s.cold.Share(now)*(1+len(p.peers)))*p.serviceTime().Seconds())
}

// coldCost is added to the score of a cold server, so that it gets short requests that can
// be in time while other servers have capacity for the rest.
func (p *Placer) coldCost(s *server, r Request, now time.Time) time.Duration {
	if s.cold.Until(now).IsZero() {
		return 0
	}
	var cost time.Duration
	if r.CallerRetry || now.Add(p.timeToFirstEvent(r.PromptTokens)).After(r.ArrivedAt.Add(r.LatencyObjective)) {
		cost = coldLateCost
	}
	if e := p.pool.Engine; e != nil && r.AnswerTokens > e.MeanAnswerTokens {
		excess := float64(r.AnswerTokens-e.MeanAnswerTokens) / float64(max(1, e.MeanAnswerTokens))
		cost += time.Duration(coldLengthFactor * excess * float64(p.serviceTime()))
	}
	return cost
}
