// Package claims records submissions with an idempotency key in the object
// API, so that every entry recognises a repeated key.
//
//	Store.CompareAndSwap --> read or conditional write --> recorded, taken, unavailable or uncertain
//
// A claim is recorded before its request is dispatched and names the agent
// incarnation that may run it. Moving the request to another agent replaces
// the claim by compare-and-swap, so at most one entry may run a key at a time.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// ObjectKind is the kind of the objects that store claims.
const ObjectKind = "claims"

// keyNameBytes is the length to which a key's SHA-256 hash is truncated.
// Collisions of 128-bit hashes are negligible.
const keyNameBytes = 16

// ErrTaken reports that the key's claim differs from the expected one.
var ErrTaken = errors.New("key is claimed by another request")

type (
	// Claim is the record of one keyed submission.
	Claim struct {
		// Key consists of route, workspace and the caller's Idempotency-Key.
		Key       string                  `json:"key"`
		RequestID mulberryspool.RequestID `json:"requestID"`
		// Attempt is incremented each time the claim names another agent.
		Attempt int `json:"attempt"`
		// RequestHash is the XXH64 hash of method, path and body.
		RequestHash uint64                   `json:"body,string"`
		Entry       mulberryspool.InstanceID `json:"entry"`
		// Agent and Incarnation identify the only process that may run the request.
		Agent       mulberryspool.InstanceID  `json:"agent,omitempty"`
		Incarnation mulberryspool.Incarnation `json:"incarnation,omitempty"`
		// AgentTime is the time on the agent's clock that the start message carries.
		AgentTime time.Duration `json:"agentTime,omitempty"`
		// Outcome is empty while the request is in progress.
		Outcome mulberryspool.Outcome `json:"outcome,omitempty"`
		// AnswerSum is the XXH64 hash of the answer's body, AnswerLength its size in
		// bytes.
		AnswerSum    uint64 `json:"answer,string,omitempty"`
		AnswerLength int64  `json:"length,omitempty"`
		// ChangedAt is the writer's wall-clock time of the last change; expiry is
		// computed from it.
		ChangedAt time.Time `json:"changed"`
	}

	// Store stores claims.
	Store interface {
		// CompareAndSwap replaces the key's claim by next if the stored claim
		// equals expected; a nil expected means that no claim exists. It
		// returns the claim stored afterwards. It fails with ErrTaken and the
		// stored claim on a mismatch, with mulberryspool.ErrUnavailable if
		// next is certainly not recorded, and with
		// mulberryspool.ErrUncertain if next may be recorded.
		CompareAndSwap(ctx context.Context, expected *Claim, next Claim) (Claim, error)
	}
)

// SameState reports whether c and other are the same state of the same claim.
func (c Claim) SameState(other Claim) bool {
	return c.Key == other.Key && c.RequestID == other.RequestID && c.Attempt == other.Attempt &&
		c.Entry == other.Entry && c.Agent == other.Agent && c.Incarnation == other.Incarnation &&
		c.AgentTime == other.AgentTime && c.Outcome == other.Outcome
}

// keyName returns the name under which a key's claim is stored: a
// fixed-length hash that is also valid as an object name.
func keyName(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:keyNameBytes])
}

// matches reports whether the stored claim equals the expected one; nil means
// no claim.
func matches(present *Claim, expected *Claim) bool {
	if present == nil || expected == nil {
		return present == nil && expected == nil
	}
	return present.SameState(*expected)
}
