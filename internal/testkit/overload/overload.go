// Package overload simulates load above the capacity of a pool behind an
// admission limiter, and counts the requests that finish within their deadline.
package overload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/testkit/schedule"
)

const (
	duration = 60 * time.Second
	timeout  = 3 * time.Second
	// slots is the number of requests that the pool runs concurrently without
	// slowing down.
	slots = 100
	// serviceTime is the mean time of a request while the pool is not overloaded.
	serviceTime = time.Second
	// tokensPerRequest is the admission cost of each request.
	tokensPerRequest = 500
)

type (
	// simulation models a pool behind a limiter. A request that starts while more
	// requests run than the pool has slots takes proportionally longer.
	simulation struct {
		// limiter is nil if all requests are admitted.
		limiter mulberryspool.Admission
		random  *rand.Rand
		events  *schedule.Schedule
		count   int
		running int
		// arrived and inTime are numbers of requests by workspace; inTime counts
		// those that finished within their deadline.
		arrived map[string]int
		inTime  map[string]int
		// requests holds all requests by ID.
		requests map[mulberryspool.RequestID]request
	}

	request struct {
		workspace string
		deadline  time.Time
	}
)

func newSimulation(limiter mulberryspool.Admission) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(3, 1)), events: schedule.New(), limiter: limiter,
		arrived: make(map[string]int), inTime: make(map[string]int),
		requests: make(map[mulberryspool.RequestID]request),
	}
	if limiter != nil {
		limiter.SetCapacity(slots*tokensPerRequest, slots*tokensPerRequest/serviceTime.Seconds())
	}
	return s
}

// offer schedules the requests of a workspace, with a mean rate that is the
// given share of the pool's capacity.
func (s *simulation) offer(workspace string, share float64) {
	rate := share * slots / serviceTime.Seconds()
	end := s.events.Now().Add(duration)
	var arrive func()
	arrive = func() {
		if !s.events.Now().Before(end) {
			return
		}
		s.arrive(workspace)
		s.events.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	s.events.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
}

// arrive offers one request to the limiter.
func (s *simulation) arrive(workspace string) {
	s.count++
	id := mulberryspool.RequestID(fmt.Sprint(s.count))
	s.arrived[workspace]++
	deadline := s.events.Now().Add(timeout)
	s.requests[id] = request{workspace: workspace, deadline: deadline}
	if s.limiter == nil {
		s.start(id)
		return
	}
	decision := s.limiter.Offer(mulberryspool.AdmissionRequest{
		ID: id, Workspace: workspace, Tokens: tokensPerRequest, Deadline: deadline,
	}, s.events.Now())
	if decision.Admitted {
		s.start(id)
	}
	s.startAdmitted()
}

// start runs an admitted request.
func (s *simulation) start(id mulberryspool.RequestID) {
	q := s.requests[id]
	s.running++
	slowdown := max(1, float64(s.running)/slots)
	took := time.Duration(float64(serviceTime) * slowdown * (0.75 + 0.5*s.random.Float64()))
	s.events.After(took, func() {
		s.running--
		if !s.events.Now().After(q.deadline) {
			s.inTime[q.workspace]++
		}
		if s.limiter != nil {
			s.limiter.Release(id, s.events.Now())
			s.startAdmitted()
		}
	})
}

// startAdmitted starts the queued requests that the limiter admits now.
func (s *simulation) startAdmitted() {
	admitted, _ := s.limiter.Next(s.events.Now())
	for _, id := range admitted {
		s.start(id)
	}
}

// MinFairShareAnswered returns the lowest fraction of its fair share that any of
// nine small workspaces gets answered in time, while a tenth workspace offers ten
// times its own. Each small workspace offers exactly its fair share, a tenth of
// the pool.
func MinFairShareAnswered(limiter mulberryspool.Admission) float64 {
	s := newSimulation(limiter)
	for i := range 9 {
		s.offer(fmt.Sprintf("small-%d", i), 0.1)
	}
	s.offer("large", 1)
	s.events.Run()
	lowest := 1.0
	for i := range 9 {
		name := fmt.Sprintf("small-%d", i)
		// The fair share is a tenth of the pool's capacity, or the offered load if
		// that is less.
		fair := min(float64(s.arrived[name]), 0.1*slots*duration.Seconds()/serviceTime.Seconds())
		lowest = min(lowest, float64(s.inTime[name])/fair)
	}
	return lowest
}

// Goodput returns the number of requests that finish within their deadline when
// ten workspaces together offer the given share of the pool's capacity.
func Goodput(limiter mulberryspool.Admission, share float64) int {
	s := newSimulation(limiter)
	for i := range 10 {
		s.offer(fmt.Sprint(i), share/10)
	}
	s.events.Run()
	total := 0
	for _, done := range s.inTime {
		total += done
	}
	return total
}
