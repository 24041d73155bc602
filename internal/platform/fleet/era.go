package fleet

import "github.com/mulberryspool/mulberryspool"

// observeEra begins an era of the store unless it is known.
func (f *Fleet) observeEra(era mulberryspool.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.era
	if !f.eraKnown {
		f.eraKnown, f.era = true, era
		return
	}
	if era <= before {
		return
	}
	f.era = era
	f.Logger.Warn().Str("step", "begin era").Uint64("eraBefore", uint64(before)).Uint64("era", uint64(era)).
		Msg("store was restored from a copy")
	if f.EraChanged != nil {
		f.EraChanged(before, era)
	}
}
