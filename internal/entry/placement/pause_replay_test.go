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
	random *rand.Rand
	now    time.Time
	events []pauseEvent
	// refusing reports whether a server refuses, offers counts the requests.
	refusing  func(server mulberryspool.InstanceID, since time.Duration) bool
	arrivals  map[mulberryspool.InstanceID][]time.Time
	refusals  map[mulberryspool.InstanceID][]pauseRefusal
	served    int
	decisions map[Reason]int
}

type pauseEvent struct {
	at  time.Time
	run func()
}

type pauseRefusal struct{ at, until time.Time }

func (r *pauseReplay) after(least, most time.Duration, run func()) {
	r.events = append(r.events, pauseEvent{r.now.Add(least + time.Duration(r.random.Float64()*float64(most-least))), run})
}

func (r *pauseReplay) offer(q Request, waiting map[Ticket]Request) {
	r.decide(r.Offer(q, r.now), q, waiting)
}

func (r *pauseReplay) decide(d Decision, q Request, waiting map[Ticket]Request) {
	switch d.Verdict {
	case Waiting:
		waiting[d.Ticket] = q
		return
	case Refused:
		r.decisions[d.Reason]++
		return
	case Placed:
	}
	dial := time.Duration(0)
	if r.random.IntN(8) == 0 {
		dial = 2 * time.Second
	}
	r.after(0, dial, func() {
		if r.Withheld(d.Server, r.now) != "" {
			r.RecordEnd(d.Server.Instance, 0, false, Cancelled, 0, r.now)
			r.offer(q, waiting)
			return
		}
		r.after(5*time.Millisecond, 200*time.Millisecond, func() { r.arrive(d.Server, q, waiting) })
	})
}

func (r *pauseReplay) arrive(b mulberryspool.BackendServer, q Request, waiting map[Ticket]Request) {
	r.arrivals[b.Instance] = append(r.arrivals[b.Instance], r.now)
	if !r.refusing(b.Instance, r.now.Sub(start)) {
		r.after(20*time.Millisecond, 60*time.Millisecond, func() {
			r.served++
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
			r.offer(q, waiting)
		}
	})
}

func (r *pauseReplay) run(seed uint64, rate float64, length time.Duration) {
	r.random, r.now = rand.New(rand.NewPCG(seed, 3)), start
	r.arrivals, r.refusals = make(map[mulberryspool.InstanceID][]time.Time), make(map[mulberryspool.InstanceID][]pauseRefusal)
	r.decisions = make(map[Reason]int)
	waiting := make(map[Ticket]Request)
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
			r.offer(Request{LatencyObjective: 400 * time.Millisecond, ArrivedAt: r.now, Deadline: r.now.Add(3 * time.Second)}, waiting)
		}
		for _, d := range r.DecideWaiting(r.now) {
			q := waiting[d.Ticket]
			delete(waiting, d.Ticket)
			r.decide(d, q, waiting)
		}
	}
}

// Guards against a server that gets requests although it refuses them in series and
// each refusal says that it wants none for a time, and against one that gets none
// afterwards.
func TestServerGetsRequestsDuringItsPauses(t *testing.T) {
	const length = 30 * time.Second
	one := func(id mulberryspool.InstanceID, since time.Duration) bool {
		return id == "i-0" && (since%(10*time.Second) > 3*time.Second && since%(10*time.Second) < 6*time.Second)
	}
	for name, refusing := range map[string]func(mulberryspool.InstanceID, time.Duration) bool{
		"one of three": one,
		"all":          func(_ mulberryspool.InstanceID, since time.Duration) bool { return one("i-0", since) },
	} {
		for seed := range uint64(5) {
			p := newPlacer(3)
			p.SetPool(mulberryspool.IngressPool{Name: "plain"})
			r := &pauseReplay{Placer: p, refusing: refusing}
			r.run(seed, 40, length)
			for id, refusals := range r.refusals {
				for _, refusal := range refusals {
					in := 0
					for _, at := range r.arrivals[id] {
						if at.After(refusal.at.Add(500*time.Millisecond)) && at.Before(refusal.until) {
							in++
						}
					}
					if in > 2 {
						t.Fatalf("%s, seed %d: %s got %d requests from 0.5 s after a refusal to the end of its pause of %s, want at most 2", name, seed, id, in, refusal.until.Sub(refusal.at))
					}
				}
			}
			last := 0
			for _, at := range r.arrivals["i-0"] {
				if at.Sub(start) > length-time.Second {
					last++
				}
			}
			t.Logf("%s, seed %d: %d refusals of %d requests at i-0, %d in the last second; %d served, refused %v", name, seed, len(r.refusals["i-0"]), len(r.arrivals["i-0"]), last, r.served, r.decisions)
			if len(r.refusals["i-0"]) < 3 || last < 5 {
				t.Errorf("%s, seed %d: %d refusals, %d requests in the last second, want at least 3 and 5", name, seed, len(r.refusals["i-0"]), last)
			}
		}
	}
}
