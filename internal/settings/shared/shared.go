// Package shared defines the settings sections that several roles have in
// common, and default values.
package shared

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
)

type (
	// ObjectAPI configures the client of the platform's object API.
	ObjectAPI struct {
		URL string `yaml:"url" validate:"required,http_url"`
		// CallsPerSecond limits the call rate of this process; starting a watch counts as one call.
		CallsPerSecond float64 `yaml:"callsPerSecond" validate:"gt=0"`
		// Timeout limits the duration of one call.
		Timeout time.Duration `yaml:"timeout" validate:"gt=0"`
		// WatchDeadline is the time after which a watch without a result is restarted.
		WatchDeadline time.Duration `yaml:"watchDeadline" validate:"gt=0"`
	}

	// InstanceList configures the client of the platform's instance list.
	InstanceList struct {
		URL          string        `yaml:"url" validate:"required,http_url"`
		PollInterval time.Duration `yaml:"pollInterval" validate:"gt=0"`
		// Timeout limits the duration of one call.
		Timeout time.Duration `yaml:"timeout" validate:"gt=0"`
	}

	// Tables configures how a process learns of changes to the tables.
	Tables struct {
		// WatchersPerDomain is the number of processes per failure domain that
		// watch the tables; the others poll.
		WatchersPerDomain int `yaml:"watchersPerDomain" validate:"gte=1"`
		// PollInterval is the mean interval between two polls of a process
		// that does not watch.
		PollInterval time.Duration `yaml:"pollInterval" validate:"gt=0"`
	}

	// Telemetry configures logs and the timeline of events.
	Telemetry struct {
		LogLevel string `yaml:"logLevel" validate:"oneof=debug info warn error"`
		// TimelineEvents is the capacity of the in-memory ring buffer of timeline events.
		TimelineEvents int `yaml:"timelineEvents" validate:"gte=16"`
	}

	// Listener is a listen address and the key of the setting that contains it.
	Listener struct {
		Key     string
		Address string
	}
)

// CheckListeners reports listen addresses that occur more than once. Port 0 is
// exempt, because the operating system then picks a free port.
func CheckListeners(report *decode.Report, listeners ...Listener) {
	used := make(map[netip.AddrPort]string)
	for _, l := range listeners {
		address, err := netip.ParseAddrPort(l.Address)
		if err != nil || address.Port() == 0 {
			continue
		}
		if other, ok := used[address]; ok {
			report.Add(l.Key, fmt.Sprintf("address %s is also used by %s", address, other), "a different address for each listener")
			continue
		}
		used[address] = l.Key
	}
}

// CheckLonger reports a duration that is not longer than another setting.
func CheckLonger(report *decode.Report, key string, value time.Duration, otherKey string, other time.Duration) {
	if value <= other {
		report.Add(key, fmt.Sprintf("%v is not above %s, which is %v", value, otherKey, other), "a longer time than "+otherKey)
	}
}
