package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// pauseReplay plays requests of many callers through one entry to servers, of which
// some refuse for a time, each refusal with its own pause.
type pauseReplay struct {
	*Placer
	// refusing is the number of servers that refuse while pausing.
	refusing int
	random   *rand.Rand
	now      time.Time
	events   []pauseEvent
	waiting  map[Ticket]Request
	arrivals map[mulberryspool.InstanceID][]time.Time
	refusals map[mulberryspool.InstanceID][]pauseRefusal
}

type (
	pauseEvent struct {
		at  time.Time
		run func()
	}

	pauseRefusal struct{ at, until time.Time }
)

// refuses reports whether the server refuses now: from 3 s to 6 s of each 10 s.
func (r *pauseReplay) refuses(id mulberryspool.InstanceID) bool {
	phase := r.now.Sub(start) % (10 * time.Second)
	return phase > 3*time.Second && phase < 6*time.Second && int(id[len(id)-1]-'0') < r.refusing
}

func (r *pauseReplay) after(least, most time.Duration, run func()) {
	r.events = append(r.events, pauseEvent{r.now.Add(least + time.Duration(r.random.Float64()*float64(most-least))), run})
}

func (r *pauseReplay) offer(q Request) { r.decide(r.Offer(q, r.now), q) }

func (r *pauseReplay) decide(d Decision, q Request) {
	if d.Verdict == Waiting {
		r.waiting[d.Ticket] = q
	}
	if d.Verdict != Placed {
		return
	}
	dial := time.Duration(0)
	if r.random.IntN(8) == 0 {
		dial = 2 * time.Second
	}
	r.after(0, dial, func() {
		if r.Withheld(d.Server, nil, r.now) != "" {
			r.RecordEnd(d.Server.Instance, 0, false, Cancelled, 0, r.now)
			r.offer(q)
			return
		}
		r.after(5*time.Millisecond, 200*time.Millisecond, func() { r.arrive(d.Server, q) })
	})
}

func (r *pauseReplay) arrive(b mulberryspool.BackendServer, q Request) {
	r.arrivals[b.Instance] = append(r.arrivals[b.Instance], r.now)
	if !r.refuses(b.Instance) {
		r.after(20*time.Millisecond, 60*time.Millisecond, func() {
			r.RecordEnd(b.Instance, 0, false, Answered, 40*time.Millisecond, r.now)
		})
		return
	}
	pause := 200*time.Millisecond + time.Duration(r.random.Float64()*float64(3*time.Second))
	r.refusals[b.Instance] = append(r.refusals[b.Instance], pauseRefusal{r.now, r.now.Add(pause)})
	r.after(5*time.Millisecond, 100*time.Millisecond, func() {
		r.RecordPause(b, pause, r.now)
		r.RecordEnd(b.Instance, 0, false, Full, 0, r.now)
		if !q.Reattempt {
			q.Reattempt, q.Exclude = true, []mulberryspool.InstanceID{b.Instance}
			r.offer(q)
		}
	})
}

func (r *pauseReplay) run(seed uint64, rate float64, length time.Duration) {
	r.random, r.now = rand.New(rand.NewPCG(seed, 3)), start
	r.arrivals, r.refusals = make(map[mulberryspool.InstanceID][]time.Time), make(map[mulberryspool.InstanceID][]pauseRefusal)
	r.waiting = make(map[Ticket]Request)
	for r.now.Sub(start) < length {
		r.now = r.now.Add(time.Millisecond)
		due := r.events
		r.events = nil
		for _, e := range due {
			if e.at.After(r.now) {
				r.events = append(r.events, e)
			} else {
				e.run()
			}
		}
		if r.random.Float64() < rate/1000 {
			r.offer(Request{LatencyObjective: 400 * time.Millisecond, ArrivedAt: r.now, Deadline: r.now.Add(3 * time.Second)})
		}
		for _, d := range r.DecideWaiting(r.now) {
			r.decide(d, r.waiting[d.Ticket])
			delete(r.waiting, d.Ticket)
		}
	}
}

// arrived returns the number of requests that reached the server between two times.
func (r *pauseReplay) arrived(id mulberryspool.InstanceID, from, until time.Time) int {
	in := 0
	for _, at := range r.arrivals[id] {
		if at.After(from) && at.Before(until) {
			in++
		}
	}
	return in
}

// Guards against a server that gets requests although it refuses them in series and
// each refusal says that it wants none for a time, and against one that gets none
// afterwards.
func TestServerGetsRequestsDuringItsPauses(t *testing.T) {
	const length = 30 * time.Second
	for _, refusing := range []int{1, 3} {
		for seed := range uint64(5) {
			r := &pauseReplay{Placer: newPlacer(3), refusing: refusing}
			r.SetPool(mulberryspool.IngressPool{Name: "plain"})
			r.run(seed, 40, length)
			for id, refusals := range r.refusals {
				for _, refusal := range refusals {
					if in := r.arrived(id, refusal.at.Add(500*time.Millisecond), refusal.until); in > 2 {
						t.Fatalf("%d servers refuse, seed %d: %s got %d requests from 0.5 s after a refusal to the end of its pause of %s, want at most 2", refusing, seed, id, in, refusal.until.Sub(refusal.at))
					}
				}
			}
			last := r.arrived("i-0", start.Add(length-time.Second), start.Add(length))
			if n := len(r.refusals["i-0"]); n < 3 || last < 5 {
				t.Errorf("%d servers refuse, seed %d: %d refusals, %d requests in the last second, want at least 3 and 5", refusing, seed, n, last)
			}
		}
	}
}
