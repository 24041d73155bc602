// Package placement decides which backend server of a pool a request goes to,
// whether it waits for a place, or whether it is refused.
//
//	Servers, Peers, Named ---------\
//	Offer, Began, Ended, Tick ------> Placer --> Place, Wait or Refuse with a reason
//
// It answers the pattern of a pool that is offered more than it carries: an
// engine's batch is fullest with as many requests as it has slots, a request
// beyond that only makes others late, and each entry sees only its own share.
// So every entry knows what all entries have in flight, no backend server is
// given more than its batch holds, a request waits at the entry only while it
// can still be on time, and all others are refused at once.
//
// A Placer does no I/O and reads no clock. It is used by one goroutine.
package placement

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// Placed requests are sent to Decision.Server.
	Placed Verdict = iota
	// Waiting requests are decided by a later call.
	Waiting
	// Refused requests have not run and will not run.
	Refused
)

// Reasons of decisions, as they stand in logs and metrics.
const (
	ReasonRoom     Reason = "room"
	ReasonFull     Reason = "allServersFull"
	ReasonNoServer Reason = "noServerServes"
	ReasonTooLate  Reason = "waitedTooLong"
	ReasonNoOther  Reason = "noOtherServer"
)

// How an exchange with a backend server ended.
const (
	// Answered includes failures of the request's own.
	Answered Outcome = iota
	// Failed is a failure that the backend server reported.
	Failed
	// Full is a refusal for lack of room.
	Full
	// Misdirected is a refusal because the server or its version is another one.
	Misdirected
	// Broken is a connection that ended, or bytes that are no answer.
	Broken
	// Silent is a backend server that sent nothing for too long.
	Silent
	// Unreached is a backend server that takes no connection.
	Unreached
	// Abandoned is an exchange that the caller gave up; it says nothing.
	Abandoned
)

type (
	// Verdict says what becomes of a request.
	Verdict int
	// Reason says why.
	Reason string
	// Outcome says how an exchange ended.
	Outcome int
	// Ticket names an offered request.
	Ticket uint64

	// Figures bounds what a Placer does. Set before the first use.
	Figures struct {
		// Self names the entry among its peers.
		Self string
		// Domain is the entry's own failure domain.
		Domain string
		// Delay is the extra way to a backend server in another failure domain;
		// it stands for the bytes between regions as well.
		Delay time.Duration
		// VersionGrace is how long answers of a version may begin after a newer
		// one was named.
		VersionGrace time.Duration
	}

	// Request is what the decision looks at.
	Request struct {
		PromptTokens int
		// AnswerTokens is how long the answer is expected to be; 0 means as usual.
		AnswerTokens int
		// Priority 0 is the most urgent.
		Priority int
		// Returning requests were refused before and came back.
		Returning bool
		// Objective is the time within which the answer is on time.
		Objective time.Duration
		// Offered is when the request arrived, Deadline when it is of no use.
		Offered, Deadline time.Time
		// Exclude lists backend servers that were tried already.
		Exclude []mulberryspool.InstanceID
		// Version is the only version that will do; 0 for any in force.
		Version int64
		// Resumed requests go before all others.
		Resumed bool
	}

	// Decision is the answer to an offer.
	Decision struct {
		Ticket  Ticket
		Verdict Verdict
		Reason  Reason
		// Server is set for placed requests, with the version that it serves.
		Server  mulberryspool.BackendServer
		Version int64
		// InFlight is what was known to be in flight at the server, or at all
		// usable servers for a refusal; Places is their number of places.
		InFlight, Places int
		// Unread is the number of prompt tokens that the server had to read before.
		Unread int
		// RetryAfter is when a place is expected.
		RetryAfter time.Duration
	}

	// Peer is what another entry says of itself.
	Peer struct {
		// Domain is its failure domain; empty when not said this time.
		Domain string
		// Loads is what it has in flight; with Partial, the servers that changed.
		Loads   map[mulberryspool.InstanceID]Load
		Partial bool
		// Waiting is the number of its requests that wait for a place of the pool.
		Waiting int
	}

	// Load is what an entry has in flight at a backend server.
	Load struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

		Requests int
		// Unread counts the prompt tokens of requests without a first event.
		Unread int
	}
)
