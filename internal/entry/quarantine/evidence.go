package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// recount assigns each crash to the part that explains it best, and counts the crashes
// of each part that no other part explains. Parts that were present in the same crashes
// explain them together.
func (q *Quarantine) recount() {
	first := q.firstReports()
	unassigned := make(map[Part]*suspect, len(q.suspects))
	for p, s := range q.suspects {
		s.open = nil
		for i := range s.crashes {
			s.crashes[i].incidental = s.isIncidental(s.crashes[i], first)
			if s.crashes[i].counts() {
				s.open = append(s.open, s.crashes[i])
			}
		}
		s.count()
		s.ambiguous = false
		unassigned[p] = s
	}
	for best := bestExplanation(unassigned); best != nil; best = bestExplanation(unassigned) {
		explained := best.open
		var equals []*suspect
		maps.DeleteFunc(unassigned, func(_ Part, s *suspect) bool {
			equal := s.proven == best.proven && sameServers(s.open, explained)
			if equal {
				equals = append(equals, s)
			}
			return equal
		})
		for _, s := range equals {
			s.ambiguous = len(equals) > 1
		}
		for _, s := range unassigned {
			s.open = slices.DeleteFunc(s.open, func(c crash) bool { return hasServer(explained, c.server) })
			s.count()
		}
	}
}

// bestExplanation returns the part that explains the most crashes, nil if none would be
// rejected for them. A part that is not proven precedes those that are. Of several with
// as many crashes, the one that was rejected first precedes the others.
func bestExplanation(suspects map[Part]*suspect) *suspect {
	var (
		best     *suspect
		bestPart Part
	)
	for p, s := range suspects {
		if !s.isRejectable() {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(s.allowance(), best.allowance()),
			cmp.Compare(best.crashCount, s.crashCount),
			s.rejectedAt().Compare(best.rejectedAt()),
			cmp.Compare(p, bestPart),
		) < 0 {
			best, bestPart = s, p
		}
	}
	return best
}

// firstReports returns the earliest report of each server's crash, in the order of
// time.
func (q *Quarantine) firstReports() []crash {
	byServer := make(map[Server]crash)
	for _, s := range q.suspects {
		for _, c := range s.crashes {
			if known, ok := byServer[c.server]; !ok || c.at.Before(known.at) {
				byServer[c.server] = c
			}
		}
	}
	return slices.SortedFunc(maps.Values(byServer), func(a, b crash) int { return a.at.Compare(b.at) })
}

// add adds a crash and reports whether it is new, or known now to be a failed trial. Of
// two reports of a crash the earlier time counts, since a report can only be late.
func (s *suspect) add(c crash) bool {
	i := slices.IndexFunc(s.crashes, func(known crash) bool { return known.server == c.server })
	isNew := i < 0
	if isNew {
		s.crashes = append(s.crashes, c)
		if !c.refuted {
			s.trial = trial{}
		}
	} else {
		known := &s.crashes[i]
		isNew = c.trial && !known.trial
		known.refuted, known.trial = known.refuted || c.refuted, known.trial || c.trial
		if c.at.Before(known.at) {
			known.at = c.at
		}
	}
	slices.SortStableFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, len(s.crashes)-maxCrashes)
	}
	return isNew
}

// refute marks all crashes as refuted and reports whether any was not.
func (s *suspect) refute() bool {
	changed := false
	for i := range s.crashes {
		changed = changed || !s.crashes[i].refuted
		s.crashes[i].refuted = true
	}
	s.proven, s.trial = true, trial{}
	return changed
}

// isIncidental reports whether other servers without the part crashed together with
// that of the crash.
func (s *suspect) isIncidental(c crash, firstReports []crash) bool {
	from, _ := slices.BinarySearchFunc(firstReports, c.at.Add(1-crashInterval), func(c crash, at time.Time) int { return c.at.Compare(at) })
	together, with := 0, 0
	for _, other := range firstReports[from:] {
		if other.at.Sub(c.at) >= crashInterval {
			break
		}
		together++
		if hasServer(s.crashes, other.server) {
			with++
		}
	}
	return float64(with) < crashShare*float64(together)
}

// count counts the crashes that no other part explains.
func (s *suspect) count() {
	s.crashCount, s.lastCrash = countCrashes(s.open)
}

// rejectedAt returns the time of the crash for which the part is rejected. The part
// must have as many.
func (s *suspect) rejectedAt() time.Time {
	for i := range s.open {
		if count, last := countCrashes(s.open[:i+1]); count >= s.allowance()+rejectCrashes {
			return last
		}
	}
	return time.Time{}
}

// level returns how much speaks against the part.
func (s *suspect) level(now time.Time) Level {
	if now.Before(s.rejectedUntil()) {
		return Rejected
	}
	if s.crashCount >= s.allowance()+suspectCrashes {
		return Suspected
	}
	return Clear
}

func (s *suspect) allowance() int {
	if s.proven {
		return provenAllowance
	}
	return 0
}

func (s *suspect) rejectedUntil() time.Time { return s.lastCrash.Add(s.rejectTime()) }

// rejectTime is how long the part is rejected after the last crash; 0 if it is not.
func (s *suspect) rejectTime() time.Duration {
	if !s.isRejectable() {
		return 0
	}
	return min(rejectTime<<(s.crashCount-s.allowance()-rejectCrashes), maxRejectTime)
}

// isRejectable reports whether the crashes are enough to reject the part. A part that is
// proven was probably in flight at the crashes of others, so it must have failed alone.
func (s *suspect) isRejectable() bool {
	if s.crashCount < s.allowance()+rejectCrashes {
		return false
	}
	return !s.proven || slices.ContainsFunc(s.open, func(c crash) bool { return c.trial })
}

// countCrashes returns the number of crashes, and the time of the last one. Those that
// follow another one within crashInterval are not counted.
func countCrashes(crashes []crash) (count int, last time.Time) {
	for _, c := range crashes {
		if count == 0 || c.at.Sub(last) >= crashInterval {
			count++
			last = c.at
		}
	}
	return count, last
}

func hasServer(crashes []crash, server Server) bool {
	return slices.ContainsFunc(crashes, func(c crash) bool { return c.server == server })
}

func sameServers(a, b []crash) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(c crash) bool { return !hasServer(b, c.server) })
}

func (c crash) counts() bool { return !c.refuted && !c.incidental }
