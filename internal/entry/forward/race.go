package forward

import (
	"cmp"
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
)

const (
	// messageEvent carries an event or a comment of a stream.
	messageEvent messageKind = iota
	// messagePart carries a part of a response that is too long to be buffered.
	messagePart
	// messageSent means that an attempt beside another one is about to be sent.
	messageSent
	// messageSilent means that the backend server has sent nothing for a while.
	messageSilent
	// messageEnded is the last message of each attempt.
	messageEnded
)

const codeNoRetryBudget = "repeatBudgetUsed"

var (
	// errSuperseded ends an attempt when the one beside it makes progress.
	errSuperseded = errors.New("superseded by another attempt")
	// errCallerLeft ends an attempt whose caller reads no more.
	errCallerLeft = errors.New("caller has disconnected")
	// errPromptRejected ends an attempt with a rejected prompt.
	errPromptRejected = errors.New("prompt was rejected")
)

type (
	messageKind int

	// message is what an attempt reports to its request.
	message struct {
		kind    messageKind
		attempt *attempt
		// response is the head of the response, with events and parts.
		response *httpconn.Answer
		data     []byte
		// event holds what is known of an event.
		event event
	}
)

// start starts an attempt. It runs beside another one, whose backend server is silent,
// unless that is nil.
func (q *request) start(ctx context.Context, beside *attempt) {
	a := &attempt{request: q, beside: beside, number: q.sentCount + len(q.running) + 1, exclude: q.excluded(), waits: beside == nil || !q.waitedBeside && q.stream == nil}
	q.waitedBeside = q.waitedBeside || beside != nil
	if q.stream != nil {
		a.resumed, a.wantStatus, a.version, a.lastEventID = true, q.stream.status, q.stream.version, q.stream.lastEventID
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	q.running = append(q.running, a)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				a.recordPanic(cause)
				a.panicked = true
			}
			a.cancel(nil)
			q.messages <- message{kind: messageEnded, attempt: a}
		}()
		a.run()
	}()
}

// startBeside starts a second attempt beside a silent one, if it may be sent. The silent one
// is kept until either makes progress, because a sound server may be silent for a while.
func (q *request) startBeside(ctx context.Context, silent *attempt) {
	if q.relaying || len(q.running) != 1 || q.running[0] != silent || q.retryRefusal(true) != "" {
		return
	}
	if !q.handler.Scheduler.HasRetry(q.pool.Name) {
		q.handler.count("attempts", q.route.Name, q.pool.Name, codeNoRetryBudget)
		return
	}
	q.start(ctx, silent)
}

// recordSecondAttempt records that a second attempt is sent.
func (q *request) recordSecondAttempt(a *attempt) {
	if a.superseded {
		return
	}
	a.sentTo, a.sentToAt = a.decision.Server.Instance, q.handler.Clock.Now()
	q.handler.count("second_attempts", q.route.Name, q.pool.Name, "begun")
	q.handler.count("repeats", q.route.Name, q.pool.Name, string(a.decision.Reason))
}

// excluded returns the backend servers that the next attempt must not use.
func (q *request) excluded() []mulberryspool.InstanceID {
	excluded := slices.Clone(q.tried)
	for _, a := range q.running {
		excluded = append(excluded, a.decision.Server.Instance)
	}
	return excluded
}

// post passes a message to the request. It fails when the attempt was ended.
func (a *attempt) post(m message) error {
	m.attempt = a
	select {
	case a.messages <- m:
		return nil
	case <-a.ctx.Done():
		return context.Cause(a.ctx)
	}
}

// remove removes an attempt that has ended.
func (q *request) remove(a *attempt) {
	if a.superseded {
		q.supersededCount--
		return
	}
	q.running = slices.DeleteFunc(q.running, func(other *attempt) bool { return other == a })
}

// supersedeOthers ends the attempts beside one that makes progress.
func (q *request) supersedeOthers(winner *attempt) {
	for _, a := range q.running {
		if a == winner {
			continue
		}
		a.superseded = true
		q.supersededCount++
		a.cancel(errSuperseded)
		q.logRace(winner, a, outcomeSuperseded)
		// A second attempt is known to be sent only then.
		if server := cmp.Or(a.sentTo, winner.silentServer(a)); server != "" {
			q.sentCount++
			q.mayHaveRun = true
			q.tried = append(q.tried, server)
		}
	}
	q.running = slices.DeleteFunc(q.running, func(a *attempt) bool { return a != winner })
}

// silentServer returns the backend server of an attempt beside which this one was started;
// empty if it was not.
func (a *attempt) silentServer(silent *attempt) mulberryspool.InstanceID {
	if a.beside != silent {
		return ""
	}
	return silent.decision.Server.Instance
}

// endAttempts ends the running attempts and waits for them.
func (q *request) endAttempts() {
	for _, a := range q.running {
		a.cancel(errCallerLeft)
	}
	for len(q.running)+q.supersededCount > 0 {
		if m := <-q.messages; m.kind == messageEnded {
			q.remove(m.attempt)
			q.bodies = append(q.bodies, m.attempt.bodies...)
		}
	}
}

// logRace records the metric and writes the log line of two attempts beside each other, one
// of which has ended for the reason, unless the second one was not sent.
func (q *request) logRace(kept, ended *attempt, reason string) {
	first, second, winner := kept, ended, "first"
	if kept.beside == ended {
		first, second, winner = ended, kept, "second"
	}
	if second.sentTo == "" {
		return
	}
	result := "lost"
	switch {
	case kept == second && reason == outcomeSuperseded:
		result = "won"
	case kept == second:
		// It may fail as well.
		result = "remained"
	}
	q.handler.count("second_attempts", q.route.Name, q.pool.Name, result)
	q.handler.Logger.Info().EmbedObject(logging.Fields{Route: q.route.Name, Pool: q.pool.Name, RequestID: q.head.ID, Peer: string(first.decision.Server.Instance)}).
		Str("second", string(second.sentTo)).Str("winner", winner).Str("reason", reason).Dur("took", q.handler.Clock.Since(second.sentToAt)).
		Msg("second attempt beside a silent backend server was decided")
}
