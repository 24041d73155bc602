// Package entry holds the settings of the entry role.
package entry

import (
	"fmt"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
	"github.com/mulberryspool/mulberryspool/internal/settings/shared"
)

// bodiesInMemory is how many bodies of the largest size must fit into the memory, so that one of them
// fits into the part for callers with its copies in messages.
const bodiesInMemory = 24

type (
	// Settings is the content of an entry's settings file.
	Settings struct {
		Instance      string              `yaml:"instance" validate:"required"`
		FailureDomain string              `yaml:"failureDomain" validate:"required"`
		Region        string              `yaml:"region" validate:"required"`
		Listen        Listen              `yaml:"listen"`
		ObjectAPI     shared.ObjectAPI    `yaml:"objectAPI"`
		InstanceList  shared.InstanceList `yaml:"instanceList"`
		Tables        shared.Tables       `yaml:"tables"`
		Limits        Limits              `yaml:"limits"`
		Timeouts      Timeouts            `yaml:"timeouts"`
		Telemetry     shared.Telemetry    `yaml:"telemetry"`
	}

	// Listen contains the listen addresses, each an IP address with a port.
	Listen struct {
		// Callers accepts the HTTP requests of callers.
		Callers string `yaml:"callers" validate:"required,address"`
		// Admin serves health checks, metrics, events and status.
		Admin string `yaml:"admin" validate:"required,address"`
	}

	// Limits contains the limits on the requests and connections of an entry.
	Limits struct {
		// MaxBodySize limits the body of one request.
		MaxBodySize decode.Size `yaml:"maxBodySize" validate:"gt=0"`
		// MaxInFlight limits the requests in flight in the whole process.
		MaxInFlight int `yaml:"maxInFlight" validate:"gt=0"`
		// Memory is that of the machine; 0 for what the operating system and the control group
		// allow. Clients of all listeners together may take a part of it.
		Memory decode.Size `yaml:"memory" validate:"gte=0"`
		// Descriptors is the number of files and sockets that the process may open; 0 for the
		// limit of the operating system. Connections to each listener may use a part of them.
		Descriptors int `yaml:"descriptors" validate:"gte=0"`
		// MaxQueuedTokens limits the estimated tokens of the queued requests per pool.
		MaxQueuedTokens int `yaml:"maxQueuedTokens" validate:"gt=0"`
		// SubsetSize limits the agents per pool that this entry connects to.
		SubsetSize int `yaml:"subsetSize" validate:"gt=0"`
		// RetryBudget is the fraction of live requests that may be retries.
		RetryBudget float64 `yaml:"retryBudget" validate:"gte=0,lte=1"`
	}

	// Timeouts contains the intervals and timeouts of an entry.
	Timeouts struct {
		// HeartbeatInterval is the interval between heartbeats to an agent.
		HeartbeatInterval time.Duration `yaml:"heartbeatInterval" validate:"gt=0"`
		// SuspicionTimeout is the minimum of the adaptive heartbeat timeout. An
		// agent that does not answer a heartbeat within the timeout is suspected
		// of having failed.
		SuspicionTimeout time.Duration `yaml:"suspicionTimeout" validate:"gt=0"`
		// DialTimeout limits the time to open a connection.
		DialTimeout time.Duration `yaml:"dialTimeout" validate:"gt=0"`
		// ResolveTimeout limits the time to find out the outcome of a request
		// whose agent does not answer.
		ResolveTimeout time.Duration `yaml:"resolveTimeout" validate:"gt=0"`
		// RequestTimeout applies to requests whose route has no timeout.
		RequestTimeout time.Duration `yaml:"requestTimeout" validate:"gt=0"`
		// GracefulStop limits the time from SIGTERM to exit.
		GracefulStop time.Duration `yaml:"gracefulStop" validate:"gt=0"`
	}
)

// Defaults returns the settings with all defaults filled in.
func Defaults() Settings {
	return Settings{
		ObjectAPI:    shared.DefaultObjectAPI(shared.DefaultEntryCallsPerSecond),
		InstanceList: shared.DefaultInstanceList(),
		Tables:       shared.DefaultTables(),
		Telemetry:    shared.DefaultTelemetry(),
		Limits: Limits{
			MaxBodySize:     shared.DefaultMaxBodySize,
			MaxInFlight:     shared.DefaultEntryMaxInFlight,
			MaxQueuedTokens: shared.DefaultMaxQueuedTokens,
			SubsetSize:      shared.DefaultSubsetSize,
			RetryBudget:     shared.DefaultRetryBudget,
		},
		Timeouts: Timeouts{
			HeartbeatInterval: shared.DefaultEntryHeartbeatInterval,
			SuspicionTimeout:  shared.DefaultSuspicionTimeout,
			DialTimeout:       shared.DefaultDialTimeout,
			ResolveTimeout:    shared.DefaultResolveTimeout,
			RequestTimeout:    shared.DefaultRequestTimeout,
			GracefulStop:      shared.DefaultGracefulStop,
		},
	}
}

// Load reads a settings file over the defaults. The overrides, such as those
// from command-line flags, are applied before the checks.
func Load(file string, overrides ...func(*Settings)) (Settings, error) {
	return decode.Load(file, Defaults(), (*Settings).check, overrides)
}

// Parse is like Load for content that is already in memory.
func Parse(file string, data []byte, overrides ...func(*Settings)) (Settings, error) {
	return decode.Parse(file, data, Defaults(), (*Settings).check, overrides)
}

// Identity returns the identity of the process without its incarnation, which
// is set when the process starts.
func (s *Settings) Identity() mulberryspool.Identity {
	return mulberryspool.Identity{
		Instance:      mulberryspool.InstanceID(s.Instance),
		Role:          mulberryspool.RoleEntry,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Admin:         s.Listen.Admin,
	}
}

func (s *Settings) check(report *decode.Report) {
	shared.CheckListeners(report,
		shared.Listener{Key: "listen.callers", Address: s.Listen.Callers},
		shared.Listener{Key: "listen.admin", Address: s.Listen.Admin})
	if least := bodiesInMemory * s.Limits.MaxBodySize; s.Limits.Memory > 0 && s.Limits.Memory < least {
		report.Add("limits.memory", fmt.Sprintf("%d bytes are too few to send a body of limits.maxBodySize, %d bytes, to an agent", s.Limits.Memory, s.Limits.MaxBodySize),
			fmt.Sprintf("%d bytes or more", least))
	}
	shared.CheckLonger(report, "timeouts.gracefulStop", s.Timeouts.GracefulStop,
		"timeouts.requestTimeout", s.Timeouts.RequestTimeout)
}
