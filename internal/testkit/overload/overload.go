// Package overload offers more requests than a modelled pool can answer, and
// counts those that are answered in time.
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
	// slots requests run at once for service each.
	slots   = 100
	service = time.Second
	tokens  = 500
)

type (
	// run offers requests to a limiter in front of a modelled pool whose
	// requests take longer when more of them run than it has slots.
	run struct {
		// limiter is nil for no limit at all.
		limiter mulberryspool.Admission
		random  *rand.Rand
		events  *schedule.Schedule
		count   int
		running int
		// arrived and done are by workspace; done counts answers in time.
		arrived map[string]int
		done    map[string]int
		waiting map[mulberryspool.RequestID]request
	}

	request struct {
		workspace string
		deadline  time.Time
	}
)

func newRun(limiter mulberryspool.Admission) *run {
	r := &run{
		random: rand.New(rand.NewPCG(3, 1)), events: schedule.New(), limiter: limiter,
		arrived: make(map[string]int), done: make(map[string]int),
		waiting: make(map[mulberryspool.RequestID]request),
	}
	if limiter != nil {
		limiter.SetCapacity(slots*tokens, slots*tokens/service.Seconds())
	}
	return r
}

// offer sends requests of a workspace at a rate, as a share of the pool's.
func (r *run) offer(workspace string, share float64) {
	rate := share * slots / service.Seconds()
	end := r.events.Now().Add(duration)
	var arrive func()
	arrive = func() {
		if !r.events.Now().Before(end) {
			return
		}
		r.arrive(workspace)
		r.events.After(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	r.events.After(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), arrive)
}

func (r *run) arrive(workspace string) {
	r.count++
	id := mulberryspool.RequestID(fmt.Sprint(r.count))
	r.arrived[workspace]++
	deadline := r.events.Now().Add(timeout)
	r.waiting[id] = request{workspace: workspace, deadline: deadline}
	if r.limiter == nil {
		r.start(id)
		return
	}
	decision := r.limiter.Offer(mulberryspool.AdmissionRequest{
		ID: id, Workspace: workspace, Tokens: tokens, Deadline: deadline,
	}, r.events.Now())
	if decision.Admitted {
		r.start(id)
	}
	r.next()
}

func (r *run) start(id mulberryspool.RequestID) {
	q := r.waiting[id]
	r.running++
	slowdown := max(1, float64(r.running)/slots)
	took := time.Duration(float64(service) * slowdown * (0.75 + 0.5*r.random.Float64()))
	r.events.After(took, func() {
		r.running--
		if !r.events.Now().After(q.deadline) {
			r.done[q.workspace]++
		}
		if r.limiter != nil {
			r.limiter.Release(id, r.events.Now())
			r.next()
		}
	})
}

func (r *run) next() {
	admitted, _ := r.limiter.Next(r.events.Now())
	for _, id := range admitted {
		r.start(id)
	}
}

// FairShare returns the lowest share of its requests that one of nine small
// workspaces gets answered while another offers ten times its fair share.
// Each small one offers just its fair share, a tenth of the pool.
func FairShare(limiter mulberryspool.Admission) float64 {
	r := newRun(limiter)
	for i := range 9 {
		r.offer(fmt.Sprintf("small-%d", i), 0.1)
	}
	r.offer("large", 1)
	r.events.Run()
	lowest := 1.0
	for i := range 9 {
		name := fmt.Sprintf("small-%d", i)
		// A small workspace's fair share is a tenth of what the pool can do,
		// or all that it offered if that is less.
		fair := min(float64(r.arrived[name]), 0.1*slots*duration.Seconds()/service.Seconds())
		lowest = min(lowest, float64(r.done[name])/fair)
	}
	return lowest
}

// Goodput returns the answers in time for an offered share of the capacity.
func Goodput(limiter mulberryspool.Admission, share float64) int {
	r := newRun(limiter)
	for i := range 10 {
		r.offer(fmt.Sprint(i), share/10)
	}
	r.events.Run()
	total := 0
	for _, done := range r.done {
		total += done
	}
	return total
}
