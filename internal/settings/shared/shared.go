// Package shared holds the sections of the settings that both roles have, and
// every default.
package shared

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
)

type (
	// ObjectAPI says how a process reaches the platform's object API.
	ObjectAPI struct {
		URL string `yaml:"url" validate:"required,http_url"`
		// CallsPerSecond bounds the calls of this process; each watch counts as one.
		CallsPerSecond float64 `yaml:"callsPerSecond" validate:"gt=0"`
		// Timeout bounds one call.
		Timeout time.Duration `yaml:"timeout" validate:"gt=0"`
		// WatchDeadline is the time after which a watch is armed again.
		WatchDeadline time.Duration `yaml:"watchDeadline" validate:"gt=0"`
	}

	// InstanceList says how a process reaches the platform's instance list.
	InstanceList struct {
		URL          string        `yaml:"url" validate:"required,http_url"`
		PollInterval time.Duration `yaml:"pollInterval" validate:"gt=0"`
		// Timeout bounds one call.
		Timeout time.Duration `yaml:"timeout" validate:"gt=0"`
	}

	// Tables says how a process follows the tables.
	Tables struct {
		// WatchersPerDomain is how many processes of a failure domain hold a watch.
		WatchersPerDomain int `yaml:"watchersPerDomain" validate:"gte=1"`
		// PollInterval is the mean time between reads of the other processes.
		PollInterval time.Duration `yaml:"pollInterval" validate:"gt=0"`
	}

	// Telemetry bounds what a process keeps for operators.
	Telemetry struct {
		LogLevel string `yaml:"logLevel" validate:"oneof=debug info warn error"`
		// TimelineEvents bounds the ring of events in memory.
		TimelineEvents int `yaml:"timelineEvents" validate:"gte=16"`
	}

	// Listener is a named listener address of a process.
	Listener struct {
		Key     string
		Address string
	}
)

// CheckListeners reports addresses that are used twice. Port 0 lets the
// operating system choose, so it never counts as used twice.
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

// CheckAbove reports a duration that is not above another one.
func CheckAbove(report *decode.Report, key string, value time.Duration, otherKey string, other time.Duration) {
	if value <= other {
		report.Add(key, fmt.Sprintf("%v is not above %s, which is %v", value, otherKey, other), "a longer time than "+otherKey)
	}
}
