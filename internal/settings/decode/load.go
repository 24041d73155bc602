package decode

// Load reads a settings file over the defaults. Amendments, such as those
// from command-line flags, are made before the checks.
func Load[S any](file string, settings S, check func(*S, *Report), amend []func(*S)) (S, error) {
	err := File(file, &settings, amended(&settings, check, amend))
	return settings, err
}

// Parse does what Load does for content that has been read already.
func Parse[S any](file string, data []byte, settings S, check func(*S, *Report), amend []func(*S)) (S, error) {
	err := Bytes(file, data, &settings, amended(&settings, check, amend))
	return settings, err
}

func amended[S any](settings *S, check func(*S, *Report), amend []func(*S)) Options {
	return Options{
		Amend: func() {
			for _, change := range amend {
				change(settings)
			}
		},
		Checks: []Check{func(report *Report) { check(settings, report) }},
	}
}
