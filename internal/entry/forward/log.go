package forward

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
)

// logEnd writes the one line that says how a request ended.
func (f *flight) logEnd(status int, code string, retryAfter time.Duration) {
	route := ""
	if f.route != nil {
		route = f.route.Name
	}
	f.h.count("requests", route, f.pool.Name, code)
	took := f.h.Clock.Since(f.arrived)
	if f.stream != nil {
		f.h.Metrics.Timer("first_event").Record(f.stream.firstAt.Sub(f.arrived))
	}
	f.h.Metrics.Timer("answer").Record(took)
	good := status > 0 && status < http.StatusMultipleChoices && f.cause == nil
	if good && !f.h.Sampled(f.head.ID) {
		return
	}
	e := f.h.Logger.Info().EmbedObject(logging.Fields{Route: route, Pool: f.pool.Name, RequestID: f.head.ID, Peer: string(f.placed.Server.Instance)}).
		Int("status", status).Str("outcome", code).Dur("took", took).Int64("config", f.config)
	f.evidence(e)
	if retryAfter > 0 {
		e.Dur("retryAfter", retryAfter)
	}
	e.Msg("request ended")
}

// evidence adds what the decision on the request was made from.
func (f *flight) evidence(e *zerolog.Event) {
	if f.head.Deadline > 0 {
		e.Dur("callerWaits", f.head.Deadline)
	}
	if f.returning {
		e.Bool("returning", true)
	}
	if f.placed.Places > 0 {
		e.Int("inFlight", f.placed.InFlight).Int("places", f.placed.Places).Int("unread", f.placed.Unread).Dur("waited", f.waited)
	}
	if f.placed.Version > 0 {
		e.Int64("version", f.placed.Version)
	}
	if len(f.tried) > 0 {
		e.Int("sent", len(f.tried))
	}
	if f.stream != nil {
		e.Int("events", f.stream.events).Dur("firstEvent", f.stream.firstAt.Sub(f.arrived)).Dur("longestGap", f.stream.longestGap).Int("resumed", f.stream.resumed)
	}
	if f.cause != nil {
		e.AnErr("cause", f.cause)
	}
}

// logAttempt says why an exchange with a backend server brought no answer.
func (f *flight) logAttempt(d placement.Decision, code string, began time.Time) {
	f.h.count("attempts", f.route.Name, f.pool.Name, code)
	f.h.Logger.Info().EmbedObject(logging.Fields{Route: f.route.Name, Pool: f.pool.Name, RequestID: f.head.ID, Peer: string(d.Server.Instance)}).
		Str("outcome", code).Int("attempt", len(f.tried)+1).Dur("took", f.h.Clock.Since(began)).
		Int("inFlight", d.InFlight).Int64("version", d.Version).AnErr("cause", f.cause).Msg("no answer from backend server")
}
