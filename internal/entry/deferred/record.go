// Package deferred stores submissions that are accepted now and run later.
//
//	Accept --> deferred/<id> accepted --> claimed(by, incarnation) --> done, failed or unknown
//	                              ^------------- notRun -----------/
//
// Every transition is a conditional update of one object, so that a submission
// is run at most once, by one entry. Bodies and answers larger than
// maxInlineBytes are stored in separate objects, to keep scans small.
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
	RecordKind = "deferred"
	BodyKind   = "deferredBodies"
	AnswerKind = "deferredAnswers"
)

const (
	// maxInlineBytes is the largest body or answer that is stored in the record.
	maxInlineBytes = 4 << 10
	// answerPartBytes is the size of the parts into which an answer is split.
	// Encoded as base64 in JSON, a part stays below the object API's limit of 1 MB.
	answerPartBytes = 700 << 10
	// maxBodyBytes is the largest accepted body of a deferred submission.
	maxBodyBytes = answerPartBytes
)

// Errors of Accept.
var (
	ErrKeyReused = errors.New("idempotency key was used with another body")
	ErrTooLarge  = errors.New("body of a deferred submission is too large")
)

// State is the state of a deferred submission.
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
	// Receipt is a deferred submission as its caller sees it.
	Receipt struct {
		ID        string                  `json:"id"`
		RequestID mulberryspool.RequestID `json:"requestID"`
		Route     string                  `json:"route"`
		State     State                   `json:"state"`
		Accepted  time.Time               `json:"accepted"`
		Ended     *time.Time              `json:"ended,omitempty"`
		// ClaimedBy and Incarnation identify the entry that claimed it last.
		ClaimedBy   mulberryspool.InstanceID  `json:"by,omitempty"`
		Incarnation mulberryspool.Incarnation `json:"incarnation,omitempty"`
		// Message is the reason for a failed or unknown state, or for a return
		// to accepted.
		Message string  `json:"message,omitempty"`
		Answer  *Answer `json:"answer,omitempty"`
	}

	// Answer is the complete answer of a backend server.
	Answer struct {
		Status      int                  `json:"status"`
		ContentType string               `json:"contentType,omitempty"`
		Body        []byte               `json:"body,omitempty"`
		Weights     mulberryspool.Digest `json:"weights,omitempty"`
		Version     string               `json:"version,omitempty"`
	}

	// record is the stored form of a deferred submission.
	record struct {
		Receipt
		// AcceptToken identifies one call of Accept, which recognises its own
		// write by it.
		AcceptToken string `json:"token"`
		// ClaimToken identifies one claim by one entry.
		ClaimToken string `json:"run,omitempty"`
		// RequestHash is the XXH64 hash of method, path and body.
		RequestHash uint64  `json:"bodySum,string"`
		Request     request `json:"request"`
		// SeparateBody is set if the body is stored in a separate object.
		SeparateBody bool `json:"bodyApart,omitempty"`
		// AnswerParts is the number of separate objects that store the answer;
		// 0 if the answer is stored in the record.
		AnswerParts int `json:"parts,omitempty"`
		// Attempts is the number of times the submission was claimed.
		Attempts int `json:"attempts,omitempty"`
	}

	// request is the stored form of the request to be run.
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

	// storedRecord is a record and the version of its object.
	storedRecord struct {
		record
		version mulberryspool.Revision
	}
)

func newRequest(sub dispatch.Submission) request {
	return request{
		Workspace: sub.Workspace, Priority: sub.Priority, Method: sub.Method, Path: sub.Path,
		ContentType: sub.ContentType, Body: sub.Body, Prefix: sub.Prefix, Tokens: sub.Tokens,
	}
}

// submission returns the submission for the dispatcher. It has no idempotency
// key, because the record already stores the outcome.
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

func decodeRecord(object mulberryspool.Object) (storedRecord, error) {
	s := storedRecord{version: object.Version}
	err := json.Unmarshal(object.Value, &s.record)
	return s, errors.Wrapf(err, "decode deferred submission %s", object.Name)
}
