package quarantine

import (
	"slices"
	"time"
)

// RecordBegun records that an answer to a prompt with the parts has begun. It
// returns the parts that are no longer under suspicion.
func (q *Quarantine) RecordBegun(parts []Part, now time.Time) []Part {
	q.rotateProven(now)
	var cleared []Part
	for _, p := range parts {
		q.proven[p.hash()] = struct{}{}
		if s := q.suspects[p]; s != nil && s.refute() {
			s.changedAt = now
			cleared = append(cleared, p)
		}
	}
	if len(cleared) > 0 {
		q.recount()
	}
	return cleared
}

// RecordBroken records that an exchange broke before the answer to a prompt with
// the parts had begun; isTrial means that the request was sent as a trial. It returns
// the parts for which that was not known.
func (q *Quarantine) RecordBroken(parts []Part, server Server, isTrial bool, now time.Time) []Part {
	added := q.addCrash(parts, crash{server: server, at: now, trial: isTrial}, now)
	added = append(added, q.addAbandoned(now)...)
	q.recount()
	q.limit()
	return added
}

// RecordAbandoned is RecordBroken for an exchange that the entry ended itself. It counts
// only if the server crashes at about this time, which other exchanges show: a server
// may still process a request that was just cancelled.
func (q *Quarantine) RecordAbandoned(parts []Part, server Server, isTrial bool, now time.Time) []Part {
	q.abandoned = append(q.abandoned, abandoned{parts: parts, server: server, isTrial: isTrial, at: now})
	if len(q.abandoned) > maxAbandoned {
		q.abandoned = slices.Delete(q.abandoned, 0, len(q.abandoned)-maxAbandoned)
	}
	added := q.addAbandoned(now)
	if len(added) > 0 {
		q.recount()
		q.limit()
	}
	return added
}

// addCrash adds a crash to the parts and returns those for which it is new.
func (q *Quarantine) addCrash(parts []Part, c crash, now time.Time) []Part {
	var added []Part
	for _, p := range parts {
		s := q.suspect(p)
		of := c
		of.trial = c.trial && s.level(now) != Clear
		if s.add(of) {
			s.changedAt = now
			added = append(added, p)
		}
	}
	return added
}

// addAbandoned adds the crashes that are known by now to the parts of abandoned
// exchanges, and returns those for which one is new.
func (q *Quarantine) addAbandoned(now time.Time) []Part {
	var added []Part
	q.abandoned = slices.DeleteFunc(q.abandoned, func(a abandoned) bool {
		if at, ok := q.crashedAt(a.server); ok && at.Sub(a.at).Abs() <= abandonTime {
			added = append(added, q.addCrash(a.parts, crash{server: a.server, at: at, trial: a.isTrial}, now)...)
			return true
		}
		return now.Sub(a.at) > abandonTime
	})
	return added
}

// crashedAt returns when the server crashed, and false if no exchange shows that it did.
func (q *Quarantine) crashedAt(server Server) (at time.Time, ok bool) {
	for _, s := range q.suspects {
		for _, c := range s.crashes {
			if c.server == server && (!ok || c.at.Before(at)) {
				at, ok = c.at, true
			}
		}
	}
	return at, ok
}
