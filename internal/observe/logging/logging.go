// Package logging writes JSON log lines with the same field names in all
// processes.
package logging

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
)

// Field names of log lines.
const (
	FieldInstance      = "instance"
	FieldFailureDomain = "failureDomain"
	FieldRoute         = "route"
	FieldPool          = "pool"
	FieldVersion       = "version"
	FieldRequestID     = "requestID"
	FieldStep          = "step"
	FieldPeer          = "peer"
)

// timeFormat has milliseconds, so that lines of several requests and processes can be put
// in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Fields are the fields of a log line besides those that identify the process.
// Empty ones are omitted.
type Fields struct {
	Route     string
	Pool      string
	Version   string
	RequestID mulberryspool.RequestID
	Step      string
	Peer      string
}

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger that adds the instance and its failure domain to each
// line. Level is debug, info, warn or error.
func New(w io.Writer, identity mulberryspool.Identity, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Newf("log level %q is unknown; expected debug, info, warn or error", level)
	}
	return zerolog.New(zerolog.SyncWriter(w)).Level(parsed).With().Timestamp().
		Str(FieldInstance, string(identity.Instance)).
		Str(FieldFailureDomain, identity.FailureDomain).
		Logger(), nil
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler; use it with
// Event.EmbedObject.
func (f Fields) MarshalZerologObject(e *zerolog.Event) {
	add := func(name, value string) {
		if value != "" {
			e.Str(name, value)
		}
	}
	add(FieldRoute, f.Route)
	add(FieldPool, f.Pool)
	add(FieldVersion, f.Version)
	add(FieldRequestID, string(f.RequestID))
	add(FieldStep, f.Step)
	add(FieldPeer, f.Peer)
}

// WithStep returns the fields with Step and Peer, where they are empty, set from
// the outermost mulberryspool.StepError in err. Inner steps are only part of the
// error text.
func (f Fields) WithStep(err error) Fields {
	var at *mulberryspool.StepError
	if !errors.As(err, &at) {
		return f
	}
	if f.Step == "" {
		f.Step = at.Step
	}
	if f.Peer == "" {
		f.Peer = at.Peer
	}
	return f
}
