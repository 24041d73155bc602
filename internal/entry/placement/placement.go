// Package placement decides which backend server of a pool a request is sent
// to, whether it waits for free capacity, or whether it is refused.
//
//	SetServers, SetPeer, SetNamedVersions ------------\
//	Offer, RecordFirstEvent, RecordEnd, DecideWaiting --> Placer --> Placed, Waiting or Refused
//
// It is built for pools that are offered more load than they can carry. An
// engine's batch is full when it holds as many requests as it has slots, a
// request beyond that only delays the others, and each entry sees only its own
// share of the load. Therefore every entry tracks what all entries have in
// flight, no backend server is given more than its batch holds, a request
// waits at the entry only while it can still meet its latency objective, and
// all others are refused at once.
//
// The named version of a model is the one that the platform's operators want
// served. After a change, the older version is still used for a limited time.
//
// A Placer does no I/O and reads no clock. It must be used by one goroutine at
// a time.
package placement

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/coldstart"
	"github.com/mulberryspool/mulberryspool/internal/entry/ingress"
	"github.com/mulberryspool/mulberryspool/internal/entry/pathdelay"
)

const (
	// Placed requests are sent to Decision.Server.
	Placed Verdict = iota
	// Waiting requests are decided by a later call of DecideWaiting.
	Waiting
	// Refused requests have not run and will not run.
	Refused
)

// Reasons of decisions, as they appear in logs and metrics.
const (
	ReasonFreeCapacity  Reason = "room"
	ReasonFull          Reason = "allServersFull"
	ReasonNoServer      Reason = "noServerServes"
	ReasonWaitTimeout   Reason = "waitedTooLong"
	ReasonNoOtherServer Reason = "noOtherServer"
	// ReasonOverload means that the slots are kept for more urgent requests, or for new ones.
	ReasonOverload Reason = "overload"
	// ReasonPaused means that all servers that could serve the request want none.
	ReasonPaused Reason = "serversPaused"
)

// Reasons why a placed request must not be sent any more.
const (
	ReasonServerPaused  Reason = "paused"
	ReasonServerLeaving Reason = "leaving"
	// ReasonServerGone means that the server is not listed, or has been replaced by
	// another incarnation.
	ReasonServerGone Reason = "gone"
	// ReasonServerCold means that this entry has sent the server its share of the requests
	// that a cold one may get.
	ReasonServerCold Reason = "cold"
)

// Outcomes of an exchange with a backend server.
const (
	// Answered includes errors that the request itself caused.
	Answered Outcome = iota
	// Failed is an error that the backend server reported.
	Failed
	// Full is a refusal because the backend server has no free capacity.
	Full
	// Misdirected is a refusal because the address belongs to another server,
	// or the server serves another version.
	Misdirected
	// Broken is a connection that was closed early, or an invalid response.
	Broken
	// TimedOut is a backend server that sent nothing before the read timeout.
	TimedOut
	// Unreachable is a backend server that accepts no connection.
	Unreachable
	// Cancelled is an exchange that the caller or the entry ended; it says nothing
	// about the backend server.
	Cancelled
)

type (
	// Verdict is the kind of a decision.
	Verdict int
	// Reason explains a decision.
	Reason string
	// Outcome is how an exchange ended.
	Outcome int
	// Ticket identifies an offered request.
	Ticket uint64

	// Config configures a Placer. Set before the first use.
	Config struct {
		// EntryName is the name of this entry among its peers.
		EntryName string
		// FailureDomain is the failure domain of this entry.
		FailureDomain string
		// CrossDomainDelay is added to the expected time at a backend server in another
		// failure domain. It covers the network latency and the cost of the
		// traffic between regions.
		CrossDomainDelay time.Duration
		// VersionGrace is how long responses of a version may still start after a
		// newer one became the named version.
		VersionGrace time.Duration
		// RegionOf returns the region of a failure domain, empty if it is not known.
		RegionOf func(failureDomain string) string
		// PathDelays holds how long messages to each backend server take; nil if that is
		// not known.
		PathDelays *pathdelay.Delays
		// Entries are those that share the limits of cold backend servers; nil if there are
		// no cold ones. A cold server may get at most its rate times ColdOvershoot, plus
		// ColdSlack, requests in a second.
		Entries                  *coldstart.Entries
		ColdOvershoot, ColdSlack float64
	}

	// Request is the input of a decision.
	Request struct {
		PromptTokens int
		// AnswerTokens is the expected length of the response; 0 means the mean
		// length in this pool.
		AnswerTokens int
		// Priority 0 is the most urgent.
		Priority int
		// CallerRetry is set for requests that were refused before and that the
		// caller has retried.
		CallerRetry bool
		// EarlyRetry is set for a retry that comes earlier than its caller was told.
		EarlyRetry bool
		// Workspace is the name of the caller's workspace; empty if there is none.
		Workspace        string
		LatencyObjective time.Duration
		// ArrivedAt is when the request arrived. After Deadline, a response is useless.
		ArrivedAt, Deadline time.Time
		// Exclude lists the backend servers that were tried already.
		Exclude []mulberryspool.InstanceID
		// Regions are the only regions whose backend servers may get the request; nil for
		// all, none if it is empty.
		Regions []string
		// Scope is what Regions follows from; zero if the request has no restriction.
		Scope ingress.Scope
		// Version is the only version that may serve the request; 0 allows any
		// whose grace has not ended.
		Version int64
		// Trial is set if the request may crash its backend server. It goes to one
		// with few requests.
		Trial bool
		// Reattempt is set if this entry tried another backend server before. Such
		// requests precede all others.
		Reattempt bool
		// PlacedBefore is set if the request was placed before, but not sent, as its server
		// must not get it any more.
		PlacedBefore bool
	}

	// Decision is the result for an offered request.
	Decision struct {
		Ticket  Ticket
		Verdict Verdict
		Reason  Reason
		// Server is set for placed requests, Version is the one it serves.
		Server  mulberryspool.BackendServer
		Version int64
		// Activity records when the server sends something; nil unless the request is placed.
		Activity *Activity
		// StartBy is when the request is given up unless its response has started,
		// because a newer version is named; zero if there is none.
		StartBy time.Time
		// InFlight is the number of requests known to be in flight at the server,
		// or at all usable servers for a refusal; Capacity is their capacity.
		InFlight, Capacity int
		// PendingPromptTokens is the number of prompt tokens that the server had to
		// process before this request.
		PendingPromptTokens int
		// RetryAfter is the expected time until capacity is free.
		RetryAfter time.Duration
	}

	// PeerReport is the state that another entry reports.
	PeerReport struct {
		// FailureDomain is the peer's failure domain; empty if this report omits it.
		FailureDomain string
		// Loads is what the peer has in flight; with Partial, only the servers
		// whose load changed.
		Loads   map[mulberryspool.InstanceID]Load
		Partial bool
		// Waiting is the number of the peer's requests that wait for capacity in
		// the pool, Urgent whether the most urgent ones of an overloaded pool are among them.
		Waiting int
		Urgent  bool
	}

	// Load is what an entry has in flight at a backend server.
	Load struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

		Requests int
		// PendingPromptTokens is the number of prompt tokens of requests that have
		// not produced their first event.
		PendingPromptTokens int
	}
)
