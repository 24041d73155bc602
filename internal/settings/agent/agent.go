// Package agent holds the settings of the agent role.
package agent

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
	"github.com/mulberryspool/mulberryspool/internal/settings/shared"
)

type (
	// Settings is the content of an agent's settings file.
	Settings struct {
		Instance      string              `yaml:"instance" validate:"required"`
		FailureDomain string              `yaml:"failureDomain" validate:"required"`
		Region        string              `yaml:"region" validate:"required"`
		Pool          string              `yaml:"pool" validate:"required"`
		Listen        Listen              `yaml:"listen"`
		ObjectAPI     shared.ObjectAPI    `yaml:"objectAPI"`
		InstanceList  shared.InstanceList `yaml:"instanceList"`
		Tables        shared.Tables       `yaml:"tables"`
		Backend       Backend             `yaml:"backend"`
		Weights       Weights             `yaml:"weights"`
		Limits        Limits              `yaml:"limits"`
		Timeouts      Timeouts            `yaml:"timeouts"`
		Telemetry     shared.Telemetry    `yaml:"telemetry"`
	}

	// Listen holds IP addresses with ports.
	Listen struct {
		// Control is the jsonrpc2 listener for entries and other agents.
		Control string `yaml:"control" validate:"required,address"`
		// Chunks serves chunks to other agents and the content to the engine.
		Chunks string `yaml:"chunks" validate:"required,address"`
		// Admin serves health, metrics, events and status.
		Admin string `yaml:"admin" validate:"required,address"`
	}

	// Backend is the backend server that this agent gates.
	Backend struct {
		Kind mulberryspool.PoolKind `yaml:"kind" validate:"required,oneof=engine plain"`
		URL  string                 `yaml:"url" validate:"required,http_url"`
		// ReportInterval is the time between reads of the load.
		ReportInterval time.Duration `yaml:"reportInterval" validate:"gt=0"`
	}

	// Weights says how new weights are brought here. Only agents of engines use it.
	Weights struct {
		// Origin and WeightStore are base URLs; engines need an origin.
		Origin      string `yaml:"origin" validate:"omitempty,http_url"`
		WeightStore string `yaml:"weightStore" validate:"omitempty,http_url"`
		// OriginBias is from 0, which favours time to N replicas, to 1, which
		// favours few origin bytes.
		OriginBias float64 `yaml:"originBias" validate:"gte=0,lte=1"`
		// OriginPatience is how long a peer is waited for at OriginBias 1.
		OriginPatience time.Duration `yaml:"originPatience" validate:"gt=0"`
		// StagingLimit bounds the memory of staged chunks.
		StagingLimit decode.Size `yaml:"stagingLimit" validate:"gt=0"`
		// OriginRate is the part of the origin's link that rollouts may use; it
		// spaces the requests of all agents. 0 means no spacing.
		OriginRate decode.Rate `yaml:"originRate" validate:"gte=0"`
		// MachineRate is the rate of this machine's link in each direction.
		MachineRate decode.Rate `yaml:"machineRate" validate:"gt=0"`
		// RegionRate is the rate of a region pair's link, shared by all traffic.
		RegionRate decode.Rate `yaml:"regionRate" validate:"gt=0"`
		// LiveShare is the part of each link kept for live requests.
		LiveShare float64 `yaml:"liveShare" validate:"gte=0,lt=1"`
		// UploadSlots and DownloadSlots bound the transfers at once.
		UploadSlots   int `yaml:"uploadSlots" validate:"gt=0"`
		DownloadSlots int `yaml:"downloadSlots" validate:"gt=0"`
		// ChunkDeadline bounds the time without progress of one transfer.
		ChunkDeadline time.Duration `yaml:"chunkDeadline" validate:"gt=0"`
	}

	// Limits bounds what an agent takes in.
	Limits struct {
		// MaxInFlight bounds the requests at the backend server.
		MaxInFlight int `yaml:"maxInFlight" validate:"gt=0"`
	}

	// Timeouts bounds every wait of an agent.
	Timeouts struct {
		// HeartbeatInterval is the time between heartbeats to other agents.
		HeartbeatInterval time.Duration `yaml:"heartbeatInterval" validate:"gt=0"`
		// StartFreshness is the age of agent time above which a start is refused.
		StartFreshness time.Duration `yaml:"startFreshness" validate:"gt=0"`
		// AnswerRetention is how long an answer is kept that no entry has taken.
		AnswerRetention time.Duration `yaml:"answerRetention" validate:"gt=0"`
		// LeaseDuration is the life of a lease on an engine that ignores fencing numbers.
		LeaseDuration time.Duration `yaml:"leaseDuration" validate:"gt=0"`
		// MaxOrderDelay is the longest time that an order can be under way to the engine.
		MaxOrderDelay time.Duration `yaml:"maxOrderDelay" validate:"gt=0"`
		// LoadTimeout bounds one load of the engine.
		LoadTimeout time.Duration `yaml:"loadTimeout" validate:"gt=0"`
		// BackendTimeout bounds the short calls to the backend server.
		BackendTimeout time.Duration `yaml:"backendTimeout" validate:"gt=0"`
		// GracefulStop bounds the time from SIGTERM to exit.
		GracefulStop time.Duration `yaml:"gracefulStop" validate:"gt=0"`
	}
)

// Defaults returns all settings that have a default.
func Defaults() Settings {
	return Settings{
		ObjectAPI:    shared.DefaultObjectAPI(shared.DefaultCallsPerSecond),
		InstanceList: shared.DefaultInstanceList(),
		Tables:       shared.DefaultTables(),
		Telemetry:    shared.DefaultTelemetry(),
		Backend:      Backend{ReportInterval: shared.DefaultReportInterval},
		Weights: Weights{
			OriginBias:     shared.DefaultOriginBias,
			OriginPatience: shared.DefaultOriginPatience,
			StagingLimit:   shared.DefaultStagingLimit,
			MachineRate:    shared.DefaultMachineRate,
			RegionRate:     shared.DefaultRegionRate,
			LiveShare:      shared.DefaultLiveShare,
			UploadSlots:    shared.DefaultUploadSlots,
			DownloadSlots:  shared.DefaultDownloadSlots,
			ChunkDeadline:  shared.DefaultChunkDeadline,
		},
		Limits: Limits{MaxInFlight: shared.DefaultMaxInFlight},
		Timeouts: Timeouts{
			HeartbeatInterval: shared.DefaultHeartbeatInterval,
			StartFreshness:    shared.DefaultStartFreshness,
			AnswerRetention:   shared.DefaultAnswerRetention,
			LeaseDuration:     shared.DefaultLeaseDuration,
			MaxOrderDelay:     shared.DefaultMaxOrderDelay,
			LoadTimeout:       shared.DefaultLoadTimeout,
			BackendTimeout:    shared.DefaultBackendTimeout,
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
		Role:          mulberryspool.RoleAgent,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Pool:          s.Pool,
		Control:       s.Listen.Control,
		Chunks:        s.Listen.Chunks,
		Admin:         s.Listen.Admin,
	}
}

func (s *Settings) check(report *decode.Report) {
	shared.CheckListeners(report,
		shared.Listener{Key: "listen.control", Address: s.Listen.Control},
		shared.Listener{Key: "listen.chunks", Address: s.Listen.Chunks},
		shared.Listener{Key: "listen.admin", Address: s.Listen.Admin})
	shared.CheckAbove(report, "timeouts.startFreshness", s.Timeouts.StartFreshness,
		"timeouts.heartbeatInterval", s.Timeouts.HeartbeatInterval)
	shared.CheckAbove(report, "timeouts.answerRetention", s.Timeouts.AnswerRetention,
		"timeouts.startFreshness", s.Timeouts.StartFreshness)
	shared.CheckAbove(report, "timeouts.leaseDuration", s.Timeouts.LeaseDuration,
		"timeouts.maxOrderDelay", s.Timeouts.MaxOrderDelay)
	if s.Backend.Kind == mulberryspool.PoolEngine && s.Weights.Origin == "" {
		report.Add("weights.origin", "is missing", "the origin's URL, because backend.kind is engine")
	}
}
