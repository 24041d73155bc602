package swarm

import (
	"cmp"
	"time"
)

// Defaults of Limits.
const (
	DefaultOriginBias       = 0.5
	DefaultNeighbours       = 5
	DefaultPipeline         = 6
	DefaultPerPeer          = 2
	DefaultRegionPipeline   = 3
	DefaultOriginPipeline   = 2
	DefaultTellInterval     = 2 * time.Second
	DefaultStartWait        = time.Second
	DefaultProbeWait        = 3 * time.Second
	DefaultTakeoverShortest = 2 * time.Second
	DefaultTakeoverLongest  = 60 * time.Second
	DefaultProgressTimeout  = 5 * time.Second
	DefaultBusyWait         = 200 * time.Millisecond
	DefaultAvoidFor         = 30 * time.Second
	DefaultSuspectFor       = 15 * time.Second
	DefaultOriginRetry      = time.Second
	DefaultOriginRetryMax   = 30 * time.Second
	DefaultSecondSource     = 3
)

const (
	// maximumBackoff bounds every wait that doubles.
	maximumBackoff = 10 * time.Minute
	// busyFactor bounds the growth of BusyWait with repeated refusals.
	busyFactor = 8
	// knownPerNeighbour bounds the agents whose chunks are remembered, as a
	// multiple of Neighbours: those chosen, those that chose this agent, and
	// the heads that were asked.
	knownPerNeighbour = 6
	// cutFailures is the number of agents of a region that have to be
	// unreachable, with none reachable, before the region counts as cut off.
	cutFailures = 3
	// rareFactor is how much sooner agents are told of rare chunks, which are
	// those that at most rareHolders known agents of the region hold.
	rareFactor  = 4
	rareHolders = 2
	// rareTells bounds the agents that are told sooner in each such interval.
	// It is the number of uploads at one time: more could not fetch at once.
	rareTells = 4
	// poolProbes is the number of agents of each other pool that are asked
	// whether they want the manifest.
	poolProbes = 2
	// slowFactor is how many times the usual duration an attempt near the
	// end lasts before a second source is asked.
	slowFactor = 2
)

// Limits bounds what a Planner does. A zero field, except OriginBias, means its default.
type Limits struct {
	// OriginBias is how long an agent waits for others before it asks the
	// origin itself: 0 is TakeoverShortest and favours the time to N replicas, 1 is
	// TakeoverLongest and favours origin bytes.
	OriginBias float64
	// TakeoverShortest and TakeoverLongest are the waits of the first successor of a
	// fetcher that brings nothing, for OriginBias 0 and 1.
	TakeoverShortest, TakeoverLongest time.Duration
	// OriginBytesPerSecond is what the origin's link gives to transfers. Chunks
	// are asked for at this pace in one order, so that the first ones arrive
	// early instead of all at the same late time. 0 means no pace.
	OriginBytesPerSecond int64
	// OriginRegions are the regions that read from the origin; the others get
	// all chunks from them. Empty means all regions.
	OriginRegions []string
	// DirectRegions makes every region fetch from the region that read from
	// the origin, instead of passing each chunk on from region to region. It
	// loads the links of one region only and exists for comparison.
	DirectRegions bool
	// Neighbours is the number of agents of the own region that this agent chooses.
	Neighbours int
	// Pipeline, RegionPipeline and OriginPipeline bound the fetches at one time
	// from the own region, from other regions, and from origin and weight store.
	Pipeline, RegionPipeline, OriginPipeline int
	// Total bounds the fetches at one time from all sources; 0 means no bound
	// beside the others.
	Total int
	// SlowFetch is the mean duration of a fetch above which only one runs at a
	// time, because what waits on a narrow link delays live traffic; 0 means
	// that fetches never give way.
	SlowFetch time.Duration
	// PerPeer bounds the fetches at one time from one agent.
	PerPeer int
	// TellInterval is the least time between two messages to one agent.
	TellInterval time.Duration
	// StartWait is the longest wait for the neighbours' first answers before
	// the origin is asked.
	StartWait time.Duration
	// ProbeWait is the time after which the first successor asks a fetcher.
	ProbeWait time.Duration
	// ProgressTimeout ends a fetch without a byte in this time.
	ProgressTimeout time.Duration
	// BusyWait is the mean wait after a refusal for lack of an upload slot.
	BusyWait time.Duration
	// AvoidFor is the first time without requests to an agent that sent bad
	// data; it doubles with each further one.
	AvoidFor time.Duration
	// SuspectFor is the time in which an unreachable agent counts as gone; it
	// doubles with each further failure.
	SuspectFor time.Duration
	// OriginRetry is the first wait after a failure of origin or weight store.
	OriginRetry time.Duration
	// OriginRetryMax bounds the wait between two requests to an origin that is
	// down, or for a chunk that is wrong there.
	OriginRetryMax time.Duration
	// SecondSource is the number of missing chunks at which a slow fetch is
	// repeated at a second agent.
	SecondSource int
}

// WithDefaults returns the limits with defaults in place of zero fields.
func (l Limits) WithDefaults() Limits {
	l.TakeoverShortest = cmp.Or(l.TakeoverShortest, DefaultTakeoverShortest)
	l.TakeoverLongest = cmp.Or(l.TakeoverLongest, DefaultTakeoverLongest)
	l.Neighbours = cmp.Or(l.Neighbours, DefaultNeighbours)
	l.Pipeline = cmp.Or(l.Pipeline, DefaultPipeline)
	l.RegionPipeline = cmp.Or(l.RegionPipeline, DefaultRegionPipeline)
	l.OriginPipeline = cmp.Or(l.OriginPipeline, DefaultOriginPipeline)
	l.PerPeer = cmp.Or(l.PerPeer, DefaultPerPeer)
	l.TellInterval = cmp.Or(l.TellInterval, DefaultTellInterval)
	l.StartWait = cmp.Or(l.StartWait, DefaultStartWait)
	l.ProbeWait = cmp.Or(l.ProbeWait, DefaultProbeWait)
	l.ProgressTimeout = cmp.Or(l.ProgressTimeout, DefaultProgressTimeout)
	l.BusyWait = cmp.Or(l.BusyWait, DefaultBusyWait)
	l.AvoidFor = cmp.Or(l.AvoidFor, DefaultAvoidFor)
	l.SuspectFor = cmp.Or(l.SuspectFor, DefaultSuspectFor)
	l.OriginRetry = cmp.Or(l.OriginRetry, DefaultOriginRetry)
	l.OriginRetryMax = cmp.Or(l.OriginRetryMax, DefaultOriginRetryMax)
	l.SecondSource = cmp.Or(l.SecondSource, DefaultSecondSource)
	return l
}

// takeoverWait returns the wait of the first successor.
func (l Limits) takeoverWait() time.Duration {
	bias := min(1, max(0, l.OriginBias))
	return l.TakeoverShortest + time.Duration(bias*float64(l.TakeoverLongest-l.TakeoverShortest))
}
