package fleet

import "github.com/mulberryspool/mulberryspool"

// observeEra begins an era of the store unless it is known.
func (f *Fleet) observeEra(era mulberryspool.Era) {
	f.init()
	if !f.beginEra(era) {
		return
	}
	f.configFollower.ObserveEra(era)
	f.serverFollower.ObserveEra(era)
	f.versionFollower.ObserveEra(era)
}

// beginEra reports whether the store was restored since the latest known era.
func (f *Fleet) beginEra(era mulberryspool.Era) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.era
	if !f.eraKnown {
		f.eraKnown, f.era = true, era
		return false
	}
	if era <= before {
		return false
	}
	f.era = era
	f.Logger.Warn().Str("step", "begin era").Uint64("eraBefore", uint64(before)).Uint64("era", uint64(era)).
		Msg("store was restored from a copy; its objects are listed again")
	if f.EraChanged != nil {
		f.EraChanged(before, era)
	}
	return true
}
