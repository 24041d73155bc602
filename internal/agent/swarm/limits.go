package swarm

import (
	"cmp"
	"time"
)

// Defaults of the fields of Limits.
const (
	DefaultOriginBias         = 0.5
	DefaultNeighbours         = 5
	DefaultPipeline           = 6
	DefaultMaxPerPeer         = 2
	DefaultRegionPipeline     = 3
	DefaultOriginPipeline     = 2
	DefaultAnnounceInterval   = 2 * time.Second
	DefaultInitialSyncTimeout = time.Second
	DefaultQueryInterval      = 3 * time.Second
	DefaultMinTakeoverDelay   = 2 * time.Second
	DefaultMaxTakeoverDelay   = 60 * time.Second
	DefaultProgressTimeout    = 5 * time.Second
	DefaultBusyBackoff        = 200 * time.Millisecond
	DefaultCorruptBackoff     = 30 * time.Second
	DefaultUnreachableBackoff = 15 * time.Second
	DefaultOriginBackoff      = time.Second
	DefaultOriginBackoffMax   = 30 * time.Second
	DefaultEndgameChunks      = 3
)

const (
	// maxBackoff limits every delay that doubles after a failure.
	maxBackoff = 10 * time.Minute
	// maxBusyFactor limits the growth of the delay after repeated refusals, as a
	// multiple of the first delay.
	maxBusyFactor = 8
	// maxKnownPerNeighbour limits the number of peers whose chunks are tracked, as a
	// multiple of Neighbours: the chosen neighbours, the agents that chose this one,
	// and the chunk owners that were queried.
	maxKnownPerNeighbour = 6
	// partitionFailures is the number of consecutive failures to reach agents of a
	// region after which the region counts as partitioned from the local one.
	partitionFailures = 3
	// rareFactor divides the announcement interval for rare chunks, which are those
	// that at most rareHolders known agents of the region hold.
	rareFactor  = 4
	rareHolders = 2
	// maxRareAnnouncements limits the announcements of rare chunks in each of the
	// shorter intervals. It equals the number of upload slots: more agents could not
	// fetch at the same time.
	maxRareAnnouncements = 4
	// outageFailures is the number of failed requests to the origin in a row after which
	// it counts as unavailable, and its link as unused.
	outageFailures = 3
	// overdueAfter is how long after a chunk could be requested from the origin it counts as
	// unavailable if no agent of the region is known to hold it. In the replay of
	// internal/role/hosted, 98 of 100 are known within 1.2 s.
	overdueAfter = 1200 * time.Millisecond
	// recoveryAfter is the time without a new chunk in the local region after which the
	// next one means that the origin has recovered.
	recoveryAfter = time.Second
	// recoveryPace is by how much slower than its link the origin is read after it has
	// recovered, so that the requests that were made at the same time end soon.
	recoveryPace = 1.2
	// queriesPerPool is the number of agents of each other pool that are asked
	// whether they want the manifest.
	queriesPerPool = 2
	// slowFetchFactor is how many times the mean fetch time an attempt may take in
	// endgame mode before the chunk is requested from a second agent too.
	slowFetchFactor = 2
)

// Limits configures a Planner. A zero field, except OriginBias, means its default.
type Limits struct {
	// OriginBias selects how long an agent waits for other agents before it reads
	// from the origin itself, on a linear scale between the two takeover delays: 0 is
	// the shorter one and minimizes the time to N replicas, 1 is the longer one and
	// minimizes the bytes read from the origin.
	OriginBias float64
	// MinTakeoverDelay and MaxTakeoverDelay are the times after which the first
	// successor takes over a chunk from an owner that makes no progress, for an
	// OriginBias of 0 and 1.
	MinTakeoverDelay, MaxTakeoverDelay time.Duration
	// OriginBytesPerSecond is the capacity of the origin's link for transfers. Chunks
	// are requested at this rate, in the same order on all agents, so that the first
	// chunks arrive early instead of all chunks late at the same time. 0 means no
	// rate limit.
	OriginBytesPerSecond int64
	// OriginRegions are the regions that read from the origin; the others get all
	// chunks from these regions. Empty means all regions.
	OriginRegions []string
	// DirectRegions makes every region fetch directly from the region that read a
	// chunk from the origin, instead of passing the chunk along the chain of regions.
	// Chunks arrive earlier. If OriginRegions names a single region, all of them cross its
	// links.
	DirectRegions bool
	// Neighbours is the number of agents of the local region that this agent chooses
	// to exchange chunks with.
	Neighbours int
	// Pipeline, RegionPipeline and OriginPipeline limit the concurrent fetches from
	// the local region, from other regions, and from the origin and the weight store
	// together.
	Pipeline, RegionPipeline, OriginPipeline int
	// MaxFetches limits the concurrent fetches from all sources; 0 means no limit
	// other than those of the pipelines.
	MaxFetches int
	// SlowFetchThreshold is the mean fetch time above which fetches run one at a
	// time, because data queued on a narrow link delays live traffic. 0 means that
	// fetches are never serialized.
	SlowFetchThreshold time.Duration
	// MaxPerPeer limits the concurrent fetches from one agent.
	MaxPerPeer int
	// AnnounceInterval is the minimum time between two announcements to the same
	// agent.
	AnnounceInterval time.Duration
	// InitialSyncTimeout limits the wait for the first answers of the neighbours
	// before the origin is asked.
	InitialSyncTimeout time.Duration
	// QueryInterval is the minimum time between two queries to the same owner, and the
	// maximum time after which the first successor queries an owner that has not
	// delivered a chunk.
	QueryInterval time.Duration
	// ProgressTimeout cancels a fetch that receives no bytes for this time.
	ProgressTimeout time.Duration
	// BusyBackoff is the mean delay before an agent is asked again that refused a
	// request because it had no free upload slot.
	BusyBackoff time.Duration
	// CorruptBackoff is the time for which no chunk is requested from an agent that
	// sent corrupt data. It doubles with each further corrupt chunk.
	CorruptBackoff time.Duration
	// UnreachableBackoff is the time for which an agent that could not be reached
	// is assumed to be gone. It doubles with each further failure.
	UnreachableBackoff time.Duration
	// OriginBackoff is the first delay after a failed request to the origin or the
	// weight store.
	OriginBackoff time.Duration
	// OriginBackoffMax limits the delay between two requests to an origin that does
	// not answer.
	OriginBackoffMax time.Duration
	// EndgameChunks is the number of missing chunks at which endgame mode begins: a
	// slow fetch is then repeated at a second agent.
	EndgameChunks int
}

// WithDefaults returns the limits with the defaults in place of zero fields.
func (l Limits) WithDefaults() Limits {
	l.MinTakeoverDelay = cmp.Or(l.MinTakeoverDelay, DefaultMinTakeoverDelay)
	l.MaxTakeoverDelay = cmp.Or(l.MaxTakeoverDelay, DefaultMaxTakeoverDelay)
	l.Neighbours = cmp.Or(l.Neighbours, DefaultNeighbours)
	l.Pipeline = cmp.Or(l.Pipeline, DefaultPipeline)
	l.RegionPipeline = cmp.Or(l.RegionPipeline, DefaultRegionPipeline)
	l.OriginPipeline = cmp.Or(l.OriginPipeline, DefaultOriginPipeline)
	l.MaxPerPeer = cmp.Or(l.MaxPerPeer, DefaultMaxPerPeer)
	l.AnnounceInterval = cmp.Or(l.AnnounceInterval, DefaultAnnounceInterval)
	l.InitialSyncTimeout = cmp.Or(l.InitialSyncTimeout, DefaultInitialSyncTimeout)
	l.QueryInterval = cmp.Or(l.QueryInterval, DefaultQueryInterval)
	l.ProgressTimeout = cmp.Or(l.ProgressTimeout, DefaultProgressTimeout)
	l.BusyBackoff = cmp.Or(l.BusyBackoff, DefaultBusyBackoff)
	l.CorruptBackoff = cmp.Or(l.CorruptBackoff, DefaultCorruptBackoff)
	l.UnreachableBackoff = cmp.Or(l.UnreachableBackoff, DefaultUnreachableBackoff)
	l.OriginBackoff = cmp.Or(l.OriginBackoff, DefaultOriginBackoff)
	l.OriginBackoffMax = cmp.Or(l.OriginBackoffMax, DefaultOriginBackoffMax)
	l.EndgameChunks = cmp.Or(l.EndgameChunks, DefaultEndgameChunks)
	return l
}

// takeoverDelay returns the delay before the first successor takes over.
func (l Limits) takeoverDelay() time.Duration {
	bias := min(1, max(0, l.OriginBias))
	return l.MinTakeoverDelay + time.Duration(bias*float64(l.MaxTakeoverDelay-l.MinTakeoverDelay))
}
