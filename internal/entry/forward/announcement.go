package forward

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
)

// recordAnnouncements records what the head of a response says about its backend
// server: its load, a rate limit, a pause, that the server is cold or leaves. Call it before
// the response is passed on.
func (a *attempt) recordAnnouncements(response *httpconn.Answer) {
	a.recordState(response)
	a.recordLimit(response)
	a.recordPause(response)
	a.recordLeaving(response)
}

// recordPause records that the server has refused the request and wants none for a time.
func (a *attempt) recordPause(response *httpconn.Answer) {
	pause := response.Head.RetryAfter
	if pause <= 0 || !a.handler.Scheduler.RecordPause(a.pool.Name, a.decision.Server, pause) {
		return
	}
	a.handler.count("server_pauses", a.route.Name, a.pool.Name, "")
	a.serverEvent().Dur("pause", pause).Msg("backend server wants no requests for a time")
}

// recordState records the server's load and for how long it is cold, unless the response is
// that of another server at its address.
func (a *attempt) recordState(response *httpconn.Answer) {
	server, head := a.decision.Server, response.Head
	if head.Instance != "" && head.Instance != server.Instance {
		return
	}
	a.handler.Scheduler.RecordAlive(a.pool.Name, server, a.conn.OpenedAt())
	if head.Load != nil {
		a.handler.Scheduler.RecordLoad(a.pool.Name, server, *head.Load)
	}
	if head.ColdFor != nil {
		a.handler.Scheduler.RecordCold(a.pool.Name, server, *head.ColdFor, a.sentAt)
	}
}

// recordLeaving reports that the server leaves, unless the response is that of another
// server at its address.
func (a *attempt) recordLeaving(response *httpconn.Answer) {
	server := a.decision.Server
	if !response.Head.Leaving || a.handler.ServerLeaving == nil || response.Head.Instance != "" && response.Head.Instance != server.Instance {
		return
	}
	known := a.handler.Scheduler.Withheld(a.pool.Name, server, a.scope)
	a.handler.ServerLeaving(server.Instance, server.Born)
	if known != placement.ReasonServerLeaving && known != placement.ReasonServerGone {
		a.handler.count("leaving_answers", a.route.Name, a.pool.Name, "")
		a.serverEvent().Int("status", response.StatusCode).Msg("answer of a backend server says that it leaves")
	}
}

// serverEvent returns a log line about the attempt's server.
func (a *attempt) serverEvent() *zerolog.Event {
	return a.handler.Logger.Info().EmbedObject(logging.Fields{Pool: a.pool.Name, RequestID: a.head.ID, Peer: string(a.decision.Server.Instance)}).
		Int64("born", a.decision.Server.Born).Int("inFlight", a.decision.InFlight)
}

// recordLimit records the rate limit that the response names. Only a success shows
// that the server names none any more.
func (a *attempt) recordLimit(response *httpconn.Answer) {
	rate := response.Head.RateLimit
	if rate == nil && (response.StatusCode >= http.StatusMultipleChoices || !response.Head.Signed) {
		return
	}
	if rate != nil {
		a.handler.count("limited_answers", a.route.Name, a.pool.Name, "")
	}
	if !a.handler.Scheduler.RecordLimit(a.pool.Name, a.decision.Server, rate, a.sentAt) {
		return
	}
	e := a.serverEvent()
	if rate != nil {
		e.Float64("rateLimit", *rate)
	}
	e.Bool("limited", rate != nil).Msg("rate limit of a backend server has changed")
}
