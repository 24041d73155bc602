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

	// Listen contains the listen addresses, each an IP address with a port.
	Listen struct {
		// Control accepts jsonrpc2 connections from entries and other agents.
		Control string `yaml:"control" validate:"required,address"`
		// Chunks serves chunks to other agents and the whole weights to the engine.
		Chunks string `yaml:"chunks" validate:"required,address"`
		// Admin serves health checks, metrics, events and status.
		Admin string `yaml:"admin" validate:"required,address"`
	}

	// Backend configures the backend server whose requests go through this agent.
	Backend struct {
		Kind mulberryspool.PoolKind `yaml:"kind" validate:"required,oneof=engine plain"`
		URL  string                 `yaml:"url" validate:"required,http_url"`
		// ReportInterval is the interval between reads of the backend server's load.
		ReportInterval time.Duration `yaml:"reportInterval" validate:"gt=0"`
	}

	// Weights configures the distribution of new weights. Only agents of
	// engines use it.
	Weights struct {
		// Origin and WeightStore are base URLs. Origin is required for engines.
		Origin      string `yaml:"origin" validate:"omitempty,http_url"`
		WeightStore string `yaml:"weightStore" validate:"omitempty,http_url"`
		// OriginBias ranges from 0, which minimizes the time until all replicas
		// have the weights, to 1, which minimizes the bytes read from the origin.
		OriginBias float64 `yaml:"originBias" validate:"gte=0,lte=1"`
		// OriginPatience is the longest wait for a peer before a chunk is fetched
		// from the origin, at OriginBias 1.
		OriginPatience time.Duration `yaml:"originPatience" validate:"gt=0"`
		// StagingLimit limits the memory for staged chunks.
		StagingLimit decode.Size `yaml:"stagingLimit" validate:"gt=0"`
		// OriginRate is the part of the bandwidth of the origin's link that
		// rollouts may use. The requests of all agents together are paced to it;
		// 0 turns pacing off.
		OriginRate decode.Rate `yaml:"originRate" validate:"gte=0"`
		// MachineRate is the bandwidth of this machine's link in each direction.
		MachineRate decode.Rate `yaml:"machineRate" validate:"gt=0"`
		// RegionRate is the bandwidth of the link between two regions, which all
		// traffic shares.
		RegionRate decode.Rate `yaml:"regionRate" validate:"gt=0"`
		// LiveShare is the fraction of each link's bandwidth that is reserved for
		// live requests.
		LiveShare float64 `yaml:"liveShare" validate:"gte=0,lt=1"`
		// UploadSlots and DownloadSlots limit the concurrent transfers.
		UploadSlots   int `yaml:"uploadSlots" validate:"gt=0"`
		DownloadSlots int `yaml:"downloadSlots" validate:"gt=0"`
		// ChunkDeadline is the time after which a transfer without progress is aborted.
		ChunkDeadline time.Duration `yaml:"chunkDeadline" validate:"gt=0"`
	}

	// Limits contains the limits on the requests of an agent.
	Limits struct {
		// MaxInFlight limits the requests that are at the backend server at one time.
		MaxInFlight int `yaml:"maxInFlight" validate:"gt=0"`
		// MaxMessageSize limits a message of another process. A request's body takes 4/3 of its
		// size there.
		MaxMessageSize decode.Size `yaml:"maxMessageSize" validate:"gt=0"`
		// Memory is that of the machine; 0 for what the operating system and the control group
		// allow. Clients of all listeners together may take a part of it.
		Memory decode.Size `yaml:"memory" validate:"gte=0"`
		// Descriptors is the number of files and sockets that the process may open; 0 for the
		// limit of the operating system. Connections to each listener may use a part of them.
		Descriptors int `yaml:"descriptors" validate:"gte=0"`
	}

	// Timeouts contains the intervals and timeouts of an agent.
	Timeouts struct {
		// HeartbeatInterval is the interval between heartbeats to another agent.
		HeartbeatInterval time.Duration `yaml:"heartbeatInterval" validate:"gt=0"`
		// StartFreshness limits the age of the agent time in a request's start;
		// the agent refuses older ones.
		StartFreshness time.Duration `yaml:"startFreshness" validate:"gt=0"`
		// AnswerRetention is how long an answer is kept that no entry has fetched.
		AnswerRetention time.Duration `yaml:"answerRetention" validate:"gt=0"`
		// LeaseDuration is the validity of a lease on an engine that ignores
		// fencing numbers.
		LeaseDuration time.Duration `yaml:"leaseDuration" validate:"gt=0"`
		// MaxOrderDelay is the longest time that a load order can take to reach
		// the engine.
		MaxOrderDelay time.Duration `yaml:"maxOrderDelay" validate:"gt=0"`
		// LoadTimeout limits the time that the engine may take to load a version.
		LoadTimeout time.Duration `yaml:"loadTimeout" validate:"gt=0"`
		// BackendTimeout limits the control calls to the backend server, such as a cancel.
		BackendTimeout time.Duration `yaml:"backendTimeout" validate:"gt=0"`
		// GracefulStop limits the time from SIGTERM to exit.
		GracefulStop time.Duration `yaml:"gracefulStop" validate:"gt=0"`
	}
)

// Defaults returns the settings with all defaults filled in.
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
		Limits: Limits{MaxInFlight: shared.DefaultMaxInFlight, MaxMessageSize: shared.DefaultMaxMessageSize},
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
	shared.CheckLonger(report, "timeouts.startFreshness", s.Timeouts.StartFreshness,
		"timeouts.heartbeatInterval", s.Timeouts.HeartbeatInterval)
	shared.CheckLonger(report, "timeouts.answerRetention", s.Timeouts.AnswerRetention,
		"timeouts.startFreshness", s.Timeouts.StartFreshness)
	shared.CheckLonger(report, "timeouts.leaseDuration", s.Timeouts.LeaseDuration,
		"timeouts.maxOrderDelay", s.Timeouts.MaxOrderDelay)
	if s.Backend.Kind == mulberryspool.PoolEngine && s.Weights.Origin == "" {
		report.Add("weights.origin", "is missing", "the origin's URL, because backend.kind is engine")
	}
}
