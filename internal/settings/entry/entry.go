// Package entry holds the settings of the entry role.
package entry

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
	"github.com/mulberryspool/mulberryspool/internal/settings/shared"
)

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

	// Listen holds IP addresses with ports.
	Listen struct {
		// Callers is the HTTP listener for callers' requests.
		Callers string `yaml:"callers" validate:"required,address"`
		// Admin serves health, metrics, events and status.
		Admin string `yaml:"admin" validate:"required,address"`
	}

	// Limits bounds what an entry takes in.
	Limits struct {
		// MaxBodySize bounds the body of one request.
		MaxBodySize decode.Size `yaml:"maxBodySize" validate:"gt=0"`
		// MaxInFlight bounds the requests in flight of the whole process.
		MaxInFlight int `yaml:"maxInFlight" validate:"gt=0"`
		// MaxQueuedTokens bounds the estimated tokens that wait per pool.
		MaxQueuedTokens int `yaml:"maxQueuedTokens" validate:"gt=0"`
		// SubsetSize bounds the agents that this entry keeps connections to, per pool.
		SubsetSize int `yaml:"subsetSize" validate:"gt=0"`
		// RetryBudget is the share of live requests that may be retries.
		RetryBudget float64 `yaml:"retryBudget" validate:"gte=0,lte=1"`
	}

	// Timeouts bounds every wait of an entry.
	Timeouts struct {
		// HeartbeatInterval is the time between heartbeats to an agent.
		HeartbeatInterval time.Duration `yaml:"heartbeatInterval" validate:"gt=0"`
		// SuspicionTimeout is the lowest value of the adaptive timeout for the
		// answer to a heartbeat, after which an agent is suspected.
		SuspicionTimeout time.Duration `yaml:"suspicionTimeout" validate:"gt=0"`
		// DialTimeout bounds the opening of a connection.
		DialTimeout time.Duration `yaml:"dialTimeout" validate:"gt=0"`
		// ResolveTimeout bounds the search for the outcome of a request whose agent is silent.
		ResolveTimeout time.Duration `yaml:"resolveTimeout" validate:"gt=0"`
		// RequestTimeout bounds requests whose route has no timeout.
		RequestTimeout time.Duration `yaml:"requestTimeout" validate:"gt=0"`
		// GracefulStop bounds the time from SIGTERM to exit.
		GracefulStop time.Duration `yaml:"gracefulStop" validate:"gt=0"`
	}
)

// Defaults returns all settings that have a default.
func Defaults() Settings {
	return Settings{
		ObjectAPI:    shared.DefaultObjectAPI(shared.DefaultEntryCallsPerSecond),
		InstanceList: shared.DefaultInstanceList(),
		Tables:       shared.DefaultTables(),
		Telemetry:    shared.DefaultTelemetry(),
		Limits: Limits{
			MaxBodySize:     shared.DefaultMaxBodySize,
			MaxInFlight:     shared.DefaultEntryInFlight,
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

// Load reads a settings file over the defaults. Amendments, such as those
// from command-line flags, are made before the checks.
func Load(file string, amend ...func(*Settings)) (Settings, error) {
	return decode.Load(file, Defaults(), (*Settings).check, amend)
}

// Parse does what Load does for content that has been read already.
func Parse(file string, data []byte, amend ...func(*Settings)) (Settings, error) {
	return decode.Parse(file, data, Defaults(), (*Settings).check, amend)
}

// Identity returns who the process is; the incarnation is set at start.
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
	shared.CheckAbove(report, "timeouts.gracefulStop", s.Timeouts.GracefulStop,
		"timeouts.requestTimeout", s.Timeouts.RequestTimeout)
}
