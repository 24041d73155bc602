package fleet

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
	"github.com/mulberryspool/mulberryspool/internal/platform/namedversion"
)

// MergeNamedVersions adds the named versions of a peer. The argument boot identifies the
// peer's incarnation. It returns how long the summary was delayed, as far as known.
func (f *Fleet) MergeNamedVersions(s Summary, peer string, boot int64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named.AssumedAge, f.named.Bound = f.AssumedAge, f.VersionBound
	now := f.Clock.Now()
	var delay namedversion.Delay
	if s.SentMillis > 0 {
		sent := time.Duration(s.SentMillis) * time.Millisecond
		delay.Beyond, delay.Known = f.delays.Record(peer, boot, sent, now)
	}
	for model, versions := range s.Named {
		for _, r := range versions {
			r.Era = f.assignEra(mulberryspool.Position{Era: r.Era, Revision: r.Revision}).Era
			if change, ok := f.named.Merge(peer, model, r, delay, now); ok {
				f.publishVersion(change, fromPeer, peer)
			}
		}
	}
	return delay.Beyond
}

// NamedVersion returns the newest named version of a model, 0 for none, and when it was
// named at the earliest.
func (f *Fleet) NamedVersion(model string) (int64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.named.Newest(model)
}

// NamedVersions returns when each version of a model that is kept was named at the
// earliest.
func (f *Fleet) NamedVersions(model string) map[int64]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.named.Since(model)
}

func (f *Fleet) setVersions(items map[string]mulberryspool.NamedVersion, d listwatch.Delta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named.AssumedAge, f.named.Bound = f.AssumedAge, f.VersionBound
	for _, name := range d.Updated {
		v, ok := items[name]
		if !ok {
			continue
		}
		if change, ok := f.named.RecordVersion(v.Model, v.Version, position(v, d), f.Clock.Now()); ok {
			f.publishVersion(change, fromStore, "")
		}
	}
}

// position returns the position of a named version's object, or else that of the list with it.
func position(v mulberryspool.NamedVersion, d listwatch.Delta) mulberryspool.Position {
	if v.Revision == 0 {
		return d.At
	}
	return mulberryspool.Position{Era: v.Era, Revision: v.Revision}
}

// publishVersion logs a change of the named versions and calls NamedVersionChanged. It
// requires the mutex.
func (f *Fleet) publishVersion(c namedversion.Change, source, peer string) {
	newest, _ := f.named.Newest(c.Model)
	e := f.Logger.Info().Str("step", "apply named version").Str("source", source).Str("peer", peer).Str("model", c.Model).
		Int64("version", c.Version).Int64("newest", newest).Int64("namedAt", c.Since.UnixMilli()).
		Dur("age", f.Clock.Since(c.Since)).Dur("ageUncertainty", c.Seen.Sub(c.Since))
	if !c.Before.IsZero() {
		e.Dur("ageBefore", f.Clock.Since(c.Before))
	}
	e.Msg("named version added or its age corrected")
	f.NamedVersionChanged(c.Model, c.Version, c.Since)
}

// recordAnswer records that the store answered at a position after the given time, and whether the
// answer showed the named versions. Versions with a later position were named after that time as
// well.
func (f *Fleet) recordAnswer(after time.Time, at mulberryspool.Position, listed bool) {
	f.observeEra(at.Era, fromStore, "")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named.RecordAnswer(after, at, listed)
}
