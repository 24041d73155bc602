package shared

import "time"

// Defaults of all settings. Sizes are in bytes, rates in bytes a second.
const (
	// Limits of the object API per process: at 990 processes (R24) 2 calls a
	// second each would reach its 2,000 reads a second, so the usual load has
	// to stay far below; the budget only bounds bursts.
	DefaultCallsPerSecond = 5
	DefaultCallTimeout    = 2 * time.Second
	// DefaultEntryCallsPerSecond leaves room for the claims of keyed
	// submissions; a write costs 5 calls.
	DefaultEntryCallsPerSecond = 50
	// DefaultWatchDeadline bounds how long a watch that has gone silent is
	// trusted; it stays below the 6 s in which a change is in force (R8).
	DefaultWatchDeadline = 3 * time.Second

	DefaultInstancePoll = 2 * time.Second

	DefaultWatchersPerDomain = 2
	// DefaultTablesPoll is low because heartbeats carry the revision; polling
	// only helps a process that no peer talks to.
	DefaultTablesPoll = 30 * time.Second

	DefaultLogLevel       = "info"
	DefaultTimelineEvents = 8192

	// DefaultHeartbeatInterval is between agents, which keep one or two such
	// connections. An exchange takes about 450 bytes.
	DefaultHeartbeatInterval = time.Second
	// DefaultEntryHeartbeatInterval grows with the number of connections, up
	// to 5 s, to keep within the 2 KB/s of R28.
	DefaultEntryHeartbeatInterval = 2 * time.Second
	// DefaultStartFreshness is twice the longest time between two heartbeats
	// of an entry.
	DefaultStartFreshness = 10 * time.Second
	// DefaultAnswerRetention is above the minute in which an entry trusts an
	// agent that has never seen a request.
	DefaultAnswerRetention = 2 * time.Minute
	DefaultMaxBodySize     = 8 << 20
	DefaultMaxInFlight     = 256
	DefaultEntryInFlight   = 4096
	// DefaultGracefulStop is above DefaultRequestTimeout, so that a stop cuts
	// off no request that is within its time.
	DefaultGracefulStop = 3 * time.Minute

	// DefaultSubsetSize keeps the heartbeats of one pool within R28: 16 agents
	// every 5 s cost 1.5 KB/s.
	DefaultSubsetSize      = 16
	DefaultRequestTimeout  = 2 * time.Minute
	DefaultMaxQueuedTokens = 200_000
	DefaultRetryBudget     = 0.1
	DefaultDialTimeout     = time.Second
	DefaultResolveTimeout  = 10 * time.Second
	// DefaultSuspicionTimeout is the floor of the timeout that adapts to the
	// measured delay; it is far above the delays within and between regions (R22).
	DefaultSuspicionTimeout = 250 * time.Millisecond

	DefaultStagingLimit = 4 << 30
	// DefaultMachineRate is 10 Gbit/s.
	DefaultMachineRate = 1250 * 1000 * 1000
	// DefaultRegionRate is the 20 Mbit/s of a region pair (R22).
	DefaultRegionRate = 2500 * 1000
	DefaultLiveShare  = 0.2
	DefaultOriginBias = 0.5
	// DefaultOriginPatience is the longest wait for a peer, at originBias 1.
	DefaultOriginPatience = 10 * time.Second
	DefaultUploadSlots    = 8
	DefaultDownloadSlots  = 16
	DefaultChunkDeadline  = 5 * time.Second

	DefaultLeaseDuration  = 15 * time.Second
	DefaultMaxOrderDelay  = 5 * time.Second
	DefaultLoadTimeout    = 5 * time.Minute
	DefaultBackendTimeout = 5 * time.Second
	DefaultReportInterval = time.Second
)

// DefaultObjectAPI returns the section without its URL.
func DefaultObjectAPI(callsPerSecond float64) ObjectAPI {
	return ObjectAPI{CallsPerSecond: callsPerSecond, Timeout: DefaultCallTimeout, WatchDeadline: DefaultWatchDeadline}
}

// DefaultInstanceList returns the section without its URL.
func DefaultInstanceList() InstanceList {
	return InstanceList{PollInterval: DefaultInstancePoll, Timeout: DefaultCallTimeout}
}

// DefaultTables returns the section.
func DefaultTables() Tables {
	return Tables{WatchersPerDomain: DefaultWatchersPerDomain, PollInterval: DefaultTablesPoll}
}

// DefaultTelemetry returns the section.
func DefaultTelemetry() Telemetry {
	return Telemetry{LogLevel: DefaultLogLevel, TimelineEvents: DefaultTimelineEvents}
}
