package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	loadDuration = 60 * time.Second
	loadTimeout  = 3 * time.Second
	// loadSlots requests run at once for loadService each.
	loadSlots   = 100
	loadService = time.Second
	loadTokens  = 500
)

type (
	// loadRun offers requests to a limiter in front of a modelled pool whose
	// requests take longer when more of them run than it has slots.
	loadRun struct {
		limiter *Limiter
		random  *rand.Rand
		now     time.Time
		events  loadEvents
		count   int
		running int
		// arrived and done are by workspace; done counts answers in time.
		arrived map[string]int
		done    map[string]int
		waiting map[mulberryspool.RequestID]loadRequest
	}

	loadRequest struct {
		workspace string
		deadline  time.Time
	}

	loadEvent struct {
		at    time.Time
		order int
		run   func()
	}

	loadEvents []loadEvent
)

func (e loadEvents) Len() int { return len(e) }
func (e loadEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e loadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// newLoadRun uses no limiter at all when limited is false.
func newLoadRun(limited bool) *loadRun {
	r := &loadRun{
		random: rand.New(rand.NewPCG(3, 1)), now: time.Unix(0, 0),
		arrived: make(map[string]int), done: make(map[string]int),
		waiting: make(map[mulberryspool.RequestID]loadRequest),
	}
	if limited {
		r.limiter = &Limiter{}
		r.limiter.SetCapacity(loadSlots*loadTokens, loadSlots*loadTokens/loadService.Seconds())
	}
	return r
}

func (r *loadRun) at(delay time.Duration, run func()) {
	r.count++
	heap.Push(&r.events, loadEvent{at: r.now.Add(delay), order: r.count, run: run})
}

// offer sends requests of a workspace at a rate, as a share of the pool's.
func (r *loadRun) offer(workspace string, share float64) {
	rate := share * loadSlots / loadService.Seconds()
	end := r.now.Add(loadDuration)
	var arrive func()
	arrive = func() {
		if !r.now.Before(end) {
			return
		}
		r.arrive(workspace)
		r.at(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	r.at(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), arrive)
}

func (r *loadRun) arrive(workspace string) {
	r.count++
	id := mulberryspool.RequestID(fmt.Sprint(r.count))
	r.arrived[workspace]++
	deadline := r.now.Add(loadTimeout)
	r.waiting[id] = loadRequest{workspace: workspace, deadline: deadline}
	if r.limiter == nil {
		r.start(id)
		return
	}
	decision := r.limiter.Offer(mulberryspool.AdmissionRequest{
		ID: id, Workspace: workspace, Tokens: loadTokens, Deadline: deadline,
	}, r.now)
	if decision.Admitted {
		r.start(id)
	}
	r.next()
}

func (r *loadRun) start(id mulberryspool.RequestID) {
	q := r.waiting[id]
	r.running++
	slowdown := max(1, float64(r.running)/loadSlots)
	service := time.Duration(float64(loadService) * slowdown * (0.75 + 0.5*r.random.Float64()))
	r.at(service, func() {
		r.running--
		if !r.now.After(q.deadline) {
			r.done[q.workspace]++
		}
		if r.limiter != nil {
			r.limiter.Release(id, r.now)
			r.next()
		}
	})
}

func (r *loadRun) next() {
	admitted, _ := r.limiter.Next(r.now)
	for _, id := range admitted {
		r.start(id)
	}
}

func (r *loadRun) run() {
	for r.events.Len() > 0 {
		event := heap.Pop(&r.events).(loadEvent)
		r.now = event.at
		event.run()
	}
}

// fairShare returns the lowest share of its requests that one of nine small
// workspaces gets answered while another offers ten times its fair share.
// Each small one offers just its fair share, a tenth of the pool.
func fairShare(limited bool) float64 {
	r := newLoadRun(limited)
	for i := range 9 {
		r.offer(fmt.Sprintf("small-%d", i), 0.1)
	}
	r.offer("large", 1)
	r.run()
	lowest := 1.0
	for i := range 9 {
		name := fmt.Sprintf("small-%d", i)
		// A small workspace's fair share is a tenth of what the pool can do,
		// or all that it offered if that is less.
		fair := min(float64(r.arrived[name]), 0.1*loadSlots*loadDuration.Seconds()/loadService.Seconds())
		lowest = min(lowest, float64(r.done[name])/fair)
	}
	return lowest
}

// goodput returns the answers in time for an offered share of the capacity.
func goodput(limited bool, share float64) int {
	r := newLoadRun(limited)
	for i := range 10 {
		r.offer(fmt.Sprint(i), share/10)
	}
	r.run()
	total := 0
	for _, done := range r.done {
		total += done
	}
	return total
}

// Guards against one large workspace that pushes out the small ones.
func TestSmallWorkspacesKeepTheirShare(t *testing.T) {
	if share := fairShare(true); share < 0.95 {
		t.Errorf("a small workspace got %.3f of its fair share, want at least 0.95", share)
	}
}

// Guards against overload that makes answers late instead of refusing some.
func TestGoodputHoldsAtTwiceTheCapacity(t *testing.T) {
	full, double := goodput(true, 1), goodput(true, 2)
	if float64(double) < 0.95*float64(full) {
		t.Errorf("goodput at 200%% is %d, want at least 95%% of the %d at 100%%", double, full)
	}
}

func BenchmarkAdmission(b *testing.B) {
	for _, limited := range []bool{true, false} {
		name := map[bool]string{true: "limiter", false: "unlimited"}[limited]
		b.Run("fairness/"+name, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(fairShare(limited), "lowest-share")
			}
		})
		b.Run("goodput/"+name, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(goodput(limited, 2))/float64(goodput(limited, 1)), "goodput-200/100")
			}
		})
	}
	for _, workspaces := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("offer/workspaces=%d", workspaces), func(b *testing.B) {
			l := &Limiter{}
			l.SetCapacity(workspaces*loadTokens/2, 1e6)
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for i := range b.N {
				id := mulberryspool.RequestID(names[i%workspaces])
				l.Release(id, now)
				l.Next(now)
				l.Offer(mulberryspool.AdmissionRequest{ID: id, Workspace: string(id), Tokens: loadTokens, Deadline: now.Add(time.Hour)}, now)
			}
		})
	}
}
