// Package claims records keyed submissions in the object API, so that a
// repeated idempotency key is recognised by every entry.
//
//	Book.Swap --> read or conditional write --> recorded, taken, unavailable or uncertain
//
// A claim is recorded before its request is dispatched and names the agent
// incarnation that may run it. Moving the request to another agent is a swap
// of the claim, so two entries never hold the right to run the same key.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// Kind is the kind of the objects that hold claims.
const Kind = "claims"

// keyBytes of a key's SHA-256 sum name it; collisions are out of reach.
const keyBytes = 16

// ErrTaken says that the key's claim is not the expected one.
var ErrTaken = errors.New("key is claimed by another request")

type (
	// Claim is the record of one keyed submission.
	Claim struct {
		// Key holds route, workspace and the caller's Idempotency-Key.
		Key       string                  `json:"key"`
		RequestID mulberryspool.RequestID `json:"requestID"`
		// Attempt rises each time the claim names another agent.
		Attempt int `json:"attempt"`
		// Body is the XXH64 sum of method, path and body.
		Body  uint64                   `json:"body,string"`
		Entry mulberryspool.InstanceID `json:"entry"`
		// Agent and Incarnation name the only process that may run the request.
		Agent       mulberryspool.InstanceID  `json:"agent,omitempty"`
		Incarnation mulberryspool.Incarnation `json:"incarnation,omitempty"`
		// AgentTime is the agent's time that the start carries.
		AgentTime time.Duration `json:"agentTime,omitempty"`
		// Outcome is empty while the request is in progress.
		Outcome mulberryspool.Outcome `json:"outcome,omitempty"`
		// Answer is the XXH64 sum of the answer's bytes, and Length their number.
		Answer uint64 `json:"answer,string,omitempty"`
		Length int64  `json:"length,omitempty"`
		// Changed is the writer's wall time of the last change; old claims expire by it.
		Changed time.Time `json:"changed"`
	}

	// Book keeps claims.
	Book interface {
		// Swap replaces the key's claim by next if it still is the expected
		// one; nil expects none. It returns the claim that is recorded then.
		// Errors are ErrTaken with the present claim, ErrUnavailable when
		// nothing was or will be written, and ErrUncertain.
		Swap(ctx context.Context, expected *Claim, next Claim) (Claim, error)
	}
)

// Is reports whether both are the same state of the same claim.
func (c Claim) Is(other Claim) bool {
	return c.Key == other.Key && c.RequestID == other.RequestID && c.Attempt == other.Attempt &&
		c.Entry == other.Entry && c.Agent == other.Agent && c.Incarnation == other.Incarnation &&
		c.AgentTime == other.AgentTime && c.Outcome == other.Outcome
}

// nameOf is the object-safe, fixed-length form of a key.
func nameOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:keyBytes])
}

// matches reports whether present is what the caller of Swap expects.
func matches(present *Claim, expected *Claim) bool {
	if present == nil || expected == nil {
		return present == nil && expected == nil
	}
	return present.Is(*expected)
}
