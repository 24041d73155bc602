package decode

// Load reads a settings file over the given defaults. The overrides, such as
// those from command-line flags, are applied before the check.
func Load[S any](file string, settings S, check func(*S, *Report), overrides []func(*S)) (S, error) {
	err := File(file, &settings, newOptions(&settings, check, overrides))
	return settings, err
}

// Parse is like Load for content that is already in memory.
func Parse[S any](file string, data []byte, settings S, check func(*S, *Report), overrides []func(*S)) (S, error) {
	err := Bytes(file, data, &settings, newOptions(&settings, check, overrides))
	return settings, err
}

func newOptions[S any](settings *S, check func(*S, *Report), overrides []func(*S)) Options {
	return Options{
		Override: func() {
			for _, override := range overrides {
				override(settings)
			}
		},
		Checks: []Check{func(report *Report) { check(settings, report) }},
	}
}
