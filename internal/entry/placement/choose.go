package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// freeTail is how long answers may go on without a charge.
	freeTail = 300 * time.Millisecond
	// tailCharge is the part of the time beyond it that counts as delay.
	tailCharge = 0.15
	// beginFactor and beginMargin make sure that an answer begins sooner than
	// is reckoned here, slotWait that a queued one does.
	beginFactor = 2
	beginMargin = 150 * time.Millisecond
	slotWait    = 300 * time.Millisecond
	// longestTail bounds the time that is charged.
	longestTail = 2 * time.Second
	// turnStep is the time between two turns; a placement is told to the
	// others within it.
	turnStep = 9 * time.Millisecond
)

// choose returns the backend server at which the first event is expected
// soonest, nil if none has room or none would be on time.
func (p *Placer) choose(w *waiter, now time.Time) *server {
	r := w.request
	var (
		best      *server
		bestScore time.Duration
		reserve   *server
	)
	avoid := p.avoidable(now)
	for _, s := range p.ordered {
		if !p.usable(s, r, now) || now.Before(s.fullUntil) || s.inFlight() >= p.places(s) || !w.late && !p.onTime(s, r, now) {
			continue
		}
		if !r.Resumed && now.Before(p.turn(s, now)) {
			continue
		}
		if avoid && s.health.avoided(now) {
			if reserve == nil || s.health.suspicion < reserve.health.suspicion {
				reserve = s
			}
			continue
		}
		score := p.score(s, now) + p.tail(s, r, now)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil && r.Resumed {
		return reserve
	}
	return best
}

// usable says whether a backend server may be given the request at all.
func (p *Placer) usable(s *server, r Request, now time.Time) bool {
	if s.Leaving || slices.Contains(r.Exclude, s.Instance) {
		return false
	}
	if p.pool.Model == "" {
		return true
	}
	if s.version == 0 || now.Before(s.misdirectedUntil) || r.Version != 0 && s.version != r.Version {
		return false
	}
	return p.allowed(s, r, now)
}

// allowed says whether the answer will begin before a newer version has been
// named for too long.
func (p *Placer) allowed(s *server, r Request, now time.Time) bool {
	if len(p.named) == 0 {
		return true
	}
	begins := now.Add(beginFactor*(2*p.pass()+p.reading(s.unread()+r.PromptTokens)) + beginMargin)
	if s.inFlight() >= s.slots() {
		begins = begins.Add(slotWait)
	}
	for newer, at := range p.named {
		if newer > s.version && !begins.Before(at.Add(p.Figures.VersionGrace)) {
			return false
		}
	}
	return true
}

// score is the expected time to the first event.
func (p *Placer) score(s *server, now time.Time) time.Duration {
	n := s.inFlight()
	places := p.places(s)
	var expected time.Duration
	if p.pool.Engine != nil {
		expected = p.pass() + p.reading(s.unread())
		// A fuller batch leaves less room for what comes in the next moment.
		expected += time.Duration(float64(p.serviceTime()) * float64(n) / float64(2*places))
	} else {
		expected = time.Duration(float64(p.serviceTime()) * float64(n+1) / float64(max(1, s.slots())))
	}
	expected = time.Duration(float64(expected) * s.health.pace())
	if s.FailureDomain != p.Figures.Domain {
		expected += p.Figures.Delay
	}
	expected += s.health.penalty(now)
	// Entries that see the same numbers must not all take the same server.
	return expected + time.Duration(p.Random.Float64()*float64(jitter))
}

// onTime says whether the prompts that the server still has to read leave the
// request its objective. A server that comes back empty would otherwise be
// given all that waits at once, and all of it would be late.
func (p *Placer) onTime(s *server, r Request, now time.Time) bool {
	unread := s.unread()
	if p.pool.Engine == nil || unread == 0 || r.Resumed || r.Returning {
		return true
	}
	expected := 2*p.pass() + p.reading(unread+r.PromptTokens)
	return now.Add(expected).Before(r.Offered.Add(r.Objective - lateMargin))
}

// tail is a charge for an answer that would go on after the server takes
// nothing new: all its other places stay empty until the last answer ends.
func (p *Placer) tail(s *server, r Request, now time.Time) time.Duration {
	e := p.pool.Engine
	if e == nil || s.closesAt.IsZero() {
		return 0
	}
	tokens := cmp.Or(r.AnswerTokens, e.UsualAnswer)
	lasts := time.Duration(float64(p.serviceTime()) * float64(tokens) / float64(max(1, e.UsualAnswer)))
	over := now.Add(lasts).Sub(s.closesAt.Add(freeTail))
	return time.Duration(tailCharge * float64(min(max(0, over), longestTail)))
}

// places is the number of requests that a backend server is given at once.
func (p *Placer) places(s *server) int {
	if p.pool.Engine == nil {
		return plainQueue * s.slots()
	}
	// A request beyond the slots begins only when another one ends, and would
	// have been on time at the server that has a slot next.
	return s.slots()
}

// capacity counts the usable servers, their places and what is in flight there.
func (p *Placer) capacity(r Request, now time.Time) (usable, places, inFlight int) {
	for _, s := range p.ordered {
		if !p.usable(s, r, now) {
			continue
		}
		usable++
		places += p.places(s)
		inFlight += s.inFlight()
	}
	return usable, places, inFlight
}

// avoidable says whether suspects may be left out: never more than half of
// the servers, because a fault of the entry's own looks the same.
func (p *Placer) avoidable(now time.Time) bool {
	suspects := 0
	for _, s := range p.ordered {
		if s.health.avoided(now) {
			suspects++
		}
	}
	return 2*suspects <= len(p.ordered)
}

// Expire forgets entries that have been silent.
func (p *Placer) Expire(now time.Time) {
	for name, l := range p.peers {
		if now.Sub(l.at) > peerTimeout {
			delete(p.peers, name)
		}
	}
	p.sumPeers(now)
}

// sumPeers adds up what the peers have in flight, and notes at which full
// servers they have left a place. Without a time, nothing is noted.
func (p *Placer) sumPeers(now time.Time) {
	for _, s := range p.ordered {
		s.before, s.others = s.inFlight(), Load{}
	}
	for _, l := range p.peers {
		for id, load := range l.loads {
			if s := p.servers[id]; s != nil {
				s.others.Requests += load.Requests
				s.others.Unread += load.Unread
			}
		}
	}
	for _, s := range p.ordered {
		if places := p.places(s); !now.IsZero() && s.before >= places && s.inFlight() < places {
			s.freedAt = now
		}
	}
}

// turn is when this entry may take a place that another entry has left. All
// entries hear of it at the same moment, so those with waiting requests take
// turns: first those in the server's failure domain, then in an order that
// differs from server to server.
func (p *Placer) turn(s *server, now time.Time) time.Time {
	if now.Sub(s.freedAt) > time.Duration(len(p.peers))*turnStep {
		return time.Time{}
	}
	rank := 0
	near, place := p.Figures.Domain == s.FailureDomain, turnPlace(p.Figures.Self, s)
	for name, l := range p.peers {
		if l.waiting == 0 {
			continue
		}
		peerNear := l.domain == s.FailureDomain
		if peerNear && !near || peerNear == near && turnPlace(name, s) < place {
			rank++
		}
	}
	return s.freedAt.Add(time.Duration(rank) * turnStep)
}

func turnPlace(entry string, s *server) uint64 {
	return xxhash.Sum64String(entry + "@" + string(s.Instance))
}

// Summary describes the pool in metrics and logs.
func (p *Placer) Summary(now time.Time) (usable, places, inFlight int) {
	return p.capacity(Request{}, now)
}

func (s *server) inFlight() int {
	return s.own.Requests + s.others.Requests
}

// unread is the number of prompt tokens that the server still has to read.
func (s *server) unread() int {
	return s.own.Unread + s.others.Unread
}

func (s *server) slots() int {
	return cmp.Or(max(0, s.Slots), defaultSlots)
}

func mean(old, value time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(value-old))
}
