package shared

import "time"

// Default values of settings. Sizes are in bytes, rates in bytes per second.
const (
	// DefaultCallsPerSecond only limits bursts of calls to the object API. The
	// API serves 2,000 reads per second, which 990 processes (requirement R24)
	// would reach at about 2 calls per second each, so their usual load has to
	// stay far below that.
	DefaultCallsPerSecond = 5
	DefaultCallTimeout    = 2 * time.Second
	// DefaultEntryCallsPerSecond leaves room for the claims that an entry writes
	// for requests with an idempotency key; a write counts as 5 calls.
	DefaultEntryCallsPerSecond = 50
	// DefaultWatchDeadline limits how long a process relies on a watch that
	// returns nothing. It is below the 6 s within which a change has to be in
	// force (requirement R8).
	DefaultWatchDeadline = 3 * time.Second

	DefaultInstancePollInterval = 2 * time.Second

	DefaultWatchersPerDomain = 2
	// DefaultTablesPollInterval is long because heartbeats carry the revision
	// of the tables; only a process that receives no heartbeats depends on polling.
	DefaultTablesPollInterval = 30 * time.Second

	DefaultLogLevel       = "info"
	DefaultTimelineEvents = 8192

	// DefaultHeartbeatInterval applies between agents. An agent has one or two
	// such connections, and a heartbeat with its answer takes about 450 bytes.
	DefaultHeartbeatInterval = time.Second
	// DefaultEntryHeartbeatInterval is the shortest interval. Entries raise it
	// with their number of connections, up to 5 s, to stay within the 2 KB/s of
	// requirement R28.
	DefaultEntryHeartbeatInterval = 2 * time.Second
	// DefaultStartFreshness is twice the longest heartbeat interval of an entry.
	DefaultStartFreshness = 10 * time.Second
	// DefaultAnswerRetention is longer than the minute during which an entry
	// accepts an agent's report that it has never seen a request.
	DefaultAnswerRetention = 2 * time.Minute
	DefaultMaxBodySize     = 8 << 20
	// DefaultMaxMessageSize is twice DefaultMaxBodySize, which base64 lengthens by a third.
	DefaultMaxMessageSize   = 16 << 20
	DefaultMaxInFlight      = 256
	DefaultEntryMaxInFlight = 4096
	// DefaultGracefulStop is longer than DefaultRequestTimeout, so that a
	// shutdown does not abort a request that is still within its timeout.
	DefaultGracefulStop = 3 * time.Minute

	// DefaultSubsetSize keeps the heartbeats for one pool within the 2 KB/s of
	// requirement R28: 16 agents every 5 s take 1.5 KB/s.
	DefaultSubsetSize      = 16
	DefaultRequestTimeout  = 2 * time.Minute
	DefaultMaxQueuedTokens = 200_000
	DefaultRetryBudget     = 0.1
	DefaultDialTimeout     = time.Second
	DefaultResolveTimeout  = 10 * time.Second
	// DefaultSuspicionTimeout is the minimum of the timeout that adapts to the
	// measured delay. It is far above the delays within and between regions
	// (requirement R22).
	DefaultSuspicionTimeout = 250 * time.Millisecond

	DefaultStagingLimit = 4 << 30
	// DefaultMachineRate is 10 Gbit/s.
	DefaultMachineRate = 1250 * 1000 * 1000
	// DefaultRegionRate is 20 Mbit/s, the rate of the link between two regions
	// (requirement R22).
	DefaultRegionRate = 2500 * 1000
	DefaultLiveShare  = 0.2
	DefaultOriginBias = 0.5
	// DefaultOriginPatience is the longest wait for a peer before a chunk is
	// fetched from the origin; it applies in full at originBias 1.
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

// DefaultObjectAPI returns the default section; the URL is left empty.
func DefaultObjectAPI(callsPerSecond float64) ObjectAPI {
	return ObjectAPI{CallsPerSecond: callsPerSecond, Timeout: DefaultCallTimeout, WatchDeadline: DefaultWatchDeadline}
}

// DefaultInstanceList returns the default section; the URL is left empty.
func DefaultInstanceList() InstanceList {
	return InstanceList{PollInterval: DefaultInstancePollInterval, Timeout: DefaultCallTimeout}
}

// DefaultTables returns the default section.
func DefaultTables() Tables {
	return Tables{WatchersPerDomain: DefaultWatchersPerDomain, PollInterval: DefaultTablesPollInterval}
}

// DefaultTelemetry returns the default section.
func DefaultTelemetry() Telemetry {
	return Telemetry{LogLevel: DefaultLogLevel, TimelineEvents: DefaultTimelineEvents}
}
