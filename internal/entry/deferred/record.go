// Package deferred keeps submissions that are accepted now and run later.
//
//	Accept --> deferred/<id> accepted --> claimed(by, incarnation) --> done, failed or unknown
//	                              ^------------- notRun -----------/
//
// Every step is a conditional update of one object, so that a submission is
// run by at most one entry, once. Bodies and answers above inlineBytes are
// objects of their own, so that a scan reads little.
package deferred

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// Kinds of the objects of deferred submissions.
const (
	Kind       = "deferred"
	BodyKind   = "deferredBodies"
	AnswerKind = "deferredAnswers"
)

const (
	// inlineBytes is the size up to which a body or answer is kept in the record.
	inlineBytes = 4 << 10
	// partBytes is the size of an answer's parts; in base64 within JSON they
	// stay below the object API's megabyte.
	partBytes = 700 << 10
	// maxBody is the largest body of a deferred submission, in bytes.
	maxBody = partBytes
)

// Errors of Accept.
var (
	ErrKeyReused = errors.New("idempotency key was used with another body")
	ErrTooLarge  = errors.New("body of a deferred submission is too large")
)

// State is how far a deferred submission is.
type State string

// States of a deferred submission.
const (
	StateAccepted State = "accepted"
	StateClaimed  State = "claimed"
	StateDone     State = "done"
	StateFailed   State = "failed"
	StateUnknown  State = "unknown"
)

type (
	// Receipt is what a caller reads of a deferred submission.
	Receipt struct {
		ID        string                  `json:"id"`
		RequestID mulberryspool.RequestID `json:"requestID"`
		Route     string                  `json:"route"`
		State     State                   `json:"state"`
		Accepted  time.Time               `json:"accepted"`
		Ended     *time.Time              `json:"ended,omitempty"`
		// By and Incarnation name the entry that claimed it last.
		By          mulberryspool.InstanceID  `json:"by,omitempty"`
		Incarnation mulberryspool.Incarnation `json:"incarnation,omitempty"`
		// Message says why the state is failed or unknown, or why it was put back.
		Message string  `json:"message,omitempty"`
		Answer  *Answer `json:"answer,omitempty"`
	}

	// Answer is a backend server's whole answer.
	Answer struct {
		Status      int                  `json:"status"`
		ContentType string               `json:"contentType,omitempty"`
		Body        []byte               `json:"body,omitempty"`
		Weights     mulberryspool.Digest `json:"weights,omitempty"`
		Version     string               `json:"version,omitempty"`
	}

	// record is the object as stored.
	record struct {
		Receipt
		// Token names one Accept, so that it can find its own write again.
		Token string `json:"token"`
		// Run names one claim by one entry.
		Run string `json:"run,omitempty"`
		// BodySum identifies what is asked for.
		BodySum uint64  `json:"bodySum,string"`
		Request request `json:"request"`
		// BodyApart is set when the body is an object of its own.
		BodyApart bool `json:"bodyApart,omitempty"`
		// Parts counts the objects of an answer that is kept apart.
		Parts int `json:"parts,omitempty"`
		// Attempts counts the claims.
		Attempts int `json:"attempts,omitempty"`
	}

	// request is what is run later.
	request struct {
		Workspace   string `json:"workspace,omitempty"`
		Priority    int    `json:"priority,omitempty"`
		Method      string `json:"method"`
		Path        string `json:"path"`
		ContentType string `json:"contentType,omitempty"`
		Body        []byte `json:"body,omitempty"`
		Prefix      uint64 `json:"prefix,string,omitempty"`
		Tokens      int    `json:"tokens"`
	}

	// stored is a record with the version it was read at.
	stored struct {
		record
		version mulberryspool.Revision
	}
)

func requestOf(sub dispatch.Submission) request {
	return request{
		Workspace: sub.Workspace, Priority: sub.Priority, Method: sub.Method, Path: sub.Path,
		ContentType: sub.ContentType, Body: sub.Body, Prefix: sub.Prefix, Tokens: sub.Tokens,
	}
}

// submission returns what the dispatcher runs. The outcome is kept by the
// record, so the submission itself has no key.
func (r record) submission() dispatch.Submission {
	return dispatch.Submission{
		ID: r.RequestID, Route: r.Route, Workspace: r.Request.Workspace, Priority: r.Request.Priority,
		Method: r.Request.Method, Path: r.Request.Path, ContentType: r.Request.ContentType, Body: r.Request.Body,
		Prefix: r.Request.Prefix, Tokens: r.Request.Tokens, Buffered: true,
	}
}

func (r record) ended() bool {
	return r.State == StateDone || r.State == StateFailed || r.State == StateUnknown
}

func decode(object mulberryspool.Object) (stored, error) {
	s := stored{version: object.Version}
	err := json.Unmarshal(object.Value, &s.record)
	return s, errors.Wrapf(err, "decode deferred submission %s", object.Name)
}
