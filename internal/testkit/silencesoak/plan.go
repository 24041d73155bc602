package silencesoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	entries = 3
	// minTimeout and maxTimeout bound the timeouts of routes. Those up to shortTimeout end
	// requests before their deadlines.
	minTimeout, shortTimeout, maxTimeout = 2 * time.Second, 3 * time.Second, 6 * time.Second
	minOutage, maxOutage                 = 300 * time.Millisecond, 3 * time.Second
	minSilence, maxSilence               = 300 * time.Millisecond, 2 * time.Second
)

// Actions.
const (
	silence   action = "silent: server"
	refuse    action = "refuses new requests: server"
	accept    action = "accepts requests: server"
	die       action = "dies: server"
	restart   action = "starts: server"
	configure action = "configuration"
	reload    action = "SIGHUP: entry"
	stop      action = "SIGTERM: entry"
)

type (
	action string

	// event is one step of a plan.
	event struct {
		at     time.Duration
		action action
		// target is the index of a server or an entry, length how long it takes.
		target int
		length time.Duration
		// timeout and extraRoute are those of a configuration.
		timeout    time.Duration
		extraRoute bool
		// keepWatches is that of a restore; held is set if the operator writes nothing until
		// what the store has lost is written again.
		keepWatches, held bool
		// changes is the number of changes of other objects after a copy or a rewrite.
		changes int
	}

	// plan is what a seed stands for.
	plan struct {
		length time.Duration
		// servers is their number, attempts that of the routes, and slack the number of
		// repeats beyond the ratio of the budget.
		servers, attempts, slack int
		grace                    time.Duration
		events                   []event

		// copies is the number of copies of the store, leavers that of the servers that are
		// added and leave.
		copies, leavers int

		random *rand.Rand
	}
)

// newPlan draws a plan. At any time, a server is left that neither refuses nor is dead.
func newPlan(seed uint64, length time.Duration) *plan {
	p := &plan{length: length, random: rand.New(rand.NewPCG(seed, 0))}
	p.servers = 3 + p.random.IntN(3)
	p.attempts = 2 + p.random.IntN(2)
	p.slack = []int{2, 200}[p.random.IntN(2)]
	p.grace = []time.Duration{5 * time.Second, 8 * time.Second}[p.random.IntN(2)]
	for range 2 {
		p.series(0, 10*time.Second, func(at time.Duration) time.Duration {
			d := p.between(minSilence, maxSilence)
			first, count := p.random.IntN(p.servers), 1
			if p.random.IntN(4) == 0 {
				count = p.servers
			}
			for i := range count {
				p.add(event{at: at, action: silence, target: (first + i) % p.servers, length: d})
			}
			return d
		})
	}
	p.series(time.Second, 6*time.Second, p.leaveOne)
	for _, a := range []action{refuse, die} {
		p.series(0, 4*time.Second, func(at time.Duration) time.Duration {
			return p.interrupt(a, p.random.IntN(p.servers), at, p.between(minOutage, maxOutage))
		})
	}
	p.series(time.Second, 4*time.Second, p.configurations)
	p.series(300*time.Millisecond, 3*time.Second, func(at time.Duration) time.Duration {
		p.add(event{at: at, action: reload, target: p.random.IntN(entries)})
		return 0
	})
	for _, target := range p.random.Perm(entries)[:1+p.random.IntN(2)] {
		p.add(event{at: p.between(length/10, length/2), action: stop, target: target})
	}
	p.addRestores(seed)
	p.events = slices.DeleteFunc(p.events, func(e event) bool { return e.at >= length && e.action != accept && e.action != restart })
	slices.SortStableFunc(p.events, func(a, b event) int { return int(a.at - b.at) })
	return p
}

// series calls draw, which returns how long its events take, with pauses in between.
func (p *plan) series(minPause, maxPause time.Duration, draw func(at time.Duration) time.Duration) {
	for at := p.between(minPause, maxPause); at < p.length; at += p.between(minPause, maxPause) {
		at += draw(at)
	}
}

func (p *plan) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.random.Int64N(int64(most-least)))
}

func (p *plan) add(e event) { p.events = append(p.events, e) }

// leaveOne makes all servers but one refuse requests or die, and that one silent.
func (p *plan) leaveOne(at time.Duration) time.Duration {
	left, length := p.random.IntN(p.servers), p.between(minOutage, maxOutage)
	p.add(event{at: at + p.between(0, length/2), action: silence, target: left, length: p.between(minSilence, maxSilence)})
	for i := range p.servers {
		if i != left {
			a := []action{refuse, refuse, die}[p.random.IntN(3)]
			p.interrupt(a, i, at+p.between(0, length/2), length)
		}
	}
	return length
}

// interrupt adds an outage, unless the server has one or no other server is left all the
// time. It returns its length.
func (p *plan) interrupt(a action, server int, at, length time.Duration) time.Duration {
	down := make(map[int]bool)
	for _, e := range p.events {
		if (e.action == refuse || e.action == die) && e.at < at+length && at < e.at+e.length {
			down[e.target] = true
		}
	}
	if down[server] || len(down) == p.servers-1 {
		return 0
	}
	end := accept
	if a == die {
		end = restart
	}
	if at < p.length {
		p.add(event{at: at, action: a, target: server, length: length})
		p.add(event{at: at + length, action: end, target: server})
	}
	return length
}

// configurations adds versions in series.
func (p *plan) configurations(at time.Duration) time.Duration {
	length, most := p.between(time.Second, 4*time.Second), []time.Duration{shortTimeout, maxTimeout}[p.random.IntN(2)]
	for offset := time.Duration(0); offset < length; offset += p.between(0, 600*time.Millisecond) {
		p.add(event{at: at + offset, action: configure, timeout: p.between(minTimeout, most), extraRoute: p.random.IntN(2) == 0})
	}
	return length
}

// String returns the plan with a line for each event.
func (p *plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d servers, %d entries, stops of %v, %d attempts, %d repeats beyond the ratio\n", p.servers, entries, p.grace, p.attempts, p.slack)
	for _, e := range p.events {
		fmt.Fprintf(&b, "%6.3f s: %s", e.at.Seconds(), e.action)
		switch e.action {
		case configure:
			fmt.Fprintf(&b, ", timeout %v, extra route %t\n", e.timeout.Round(time.Millisecond), e.extraRoute)
		case away:
			b.WriteByte('\n')
		case rewrite:
			fmt.Fprintf(&b, ", then %d other changes\n", e.changes)
		case restore:
			fmt.Fprintf(&b, " %d, watches cut off %t, writes held back %t\n", e.target, !e.keepWatches, e.held)
		case copyStore:
			fmt.Fprintf(&b, " %d, %d other changes\n", e.target, e.changes)
		case accept, restart, reload, stop, deny, admit, arrive, leave, remove:
			fmt.Fprintf(&b, " %d\n", e.target)
		default:
			fmt.Fprintf(&b, " %d for %.3f s\n", e.target, e.length.Seconds())
		}
	}
	return b.String()
}
