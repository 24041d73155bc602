package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/exchange"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

const eventStream = "text/event-stream"

// attempt is one exchange with a backend server.
type attempt struct {
	*flight
	decision placement.Decision
	conn     *exchange.Conn
	began    time.Time
	// read is set once the backend server has read the prompt.
	read bool
	// whole is set once the answer was read to its end.
	whole bool
}

// run sends the request and handles what comes back.
func (a *attempt) run(ctx context.Context) (verdict, placement.Outcome) {
	if err := a.conn.Send(a.requestBytes(a.delivery()), a.body, a.deadline); err != nil {
		a.cause = err
		a.logAttempt(a.decision, "notSent", a.began)
		if errors.Is(err, exchange.ErrNotSent) {
			return unsent, a.blame(ctx, placement.Broken)
		}
		return lost, a.blame(ctx, placement.Broken)
	}
	if err := a.conn.SetReadDeadline(a.h.Clock.Now().Add(a.silence())); err != nil {
		return a.lost(ctx, err)
	}
	answer, err := a.conn.Receive(a.r.Method, a.head.ID)
	if err != nil {
		return a.lost(ctx, err)
	}
	defer answer.Body.Close()
	switch {
	case answer.Head.NotRun:
		return a.turnedAway(answer)
	case answer.StatusCode < http.StatusMultipleChoices && !answer.Head.Signed:
		a.cause = errors.Newf("answer %d has no signature", answer.StatusCode)
		a.logAttempt(a.decision, "unsigned", a.began)
		return lost, a.blame(ctx, placement.Broken)
	case answer.StatusCode < http.StatusMultipleChoices && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStream):
		return a.relay(ctx, answer)
	case a.stream != nil:
		a.cause = errors.Newf("a resumed stream was answered with %d", answer.StatusCode)
		a.logAttempt(a.decision, "notResumed", a.began)
		return lost, a.blame(ctx, placement.Failed)
	}
	return a.hold(ctx, answer)
}

func (a *attempt) delivery() mulberryspool.Delivery {
	d := mulberryspool.Delivery{
		Instance: a.decision.Server.Instance, Left: a.h.Clock.Until(a.deadline), Version: a.decision.Version,
		// Rank 0 is left for requests that were under way already.
		Priority: 1 + a.priority(),
	}
	if a.workspace != nil {
		d.Workspace = a.workspace.Name
	}
	if len(a.tried) > 0 {
		d.Priority = 0
	}
	if a.stream != nil {
		d.LastEvent = a.stream.last
	}
	return d
}

// turnedAway takes in that the backend server did not run the request.
func (a *attempt) turnedAway(answer *exchange.Answer) (verdict, placement.Outcome) {
	_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswerBytes))
	a.whole = err == nil
	a.cause = errors.Newf("backend server answered %d without running it", answer.StatusCode)
	a.logAttempt(a.decision, "turnedAway"+strconv.Itoa(answer.StatusCode), a.began)
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return notRun, placement.Misdirected
	}
	return notRun, placement.Full
}

// lost takes in that no answer came.
func (a *attempt) lost(ctx context.Context, err error) (verdict, placement.Outcome) {
	a.cause = err
	a.logAttempt(a.decision, "lost", a.began)
	return lost, a.blame(ctx, a.outcomeOf(err))
}

// outcomeOf says what a broken exchange says of the backend server. A request
// that lasts longer than its time says little.
func (a *attempt) outcomeOf(err error) placement.Outcome {
	if isTimeout(err) && a.h.Clock.Until(a.deadline) > 0 {
		return placement.Silent
	}
	return placement.Broken
}

// hold reads an answer to its end before any of it goes to the caller, so
// that a broken one can still be repeated.
func (a *attempt) hold(ctx context.Context, answer *exchange.Answer) (verdict, placement.Outcome) {
	if err := a.conn.SetReadDeadline(a.deadline); err != nil {
		return a.lost(ctx, err)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return a.lost(ctx, errors.Wrap(err, "read body"))
	}
	if len(body) == maxAnswerBytes {
		return a.passLong(ctx, answer, body)
	}
	a.whole, a.read = true, true
	a.h.Desk.Began(a.pool.Name, a.decision.Server.Instance, a.head.PromptTokens)
	whole := &held{status: answer.StatusCode, header: answer.Header, body: body}
	if answer.StatusCode >= http.StatusInternalServerError {
		a.failure = whole
		a.cause = errors.Newf("backend server answered %d", answer.StatusCode)
		a.logAttempt(a.decision, "failed"+strconv.Itoa(answer.StatusCode), a.began)
		return failing, placement.Failed
	}
	a.pass(whole, "answered")
	return finished, placement.Answered
}

// passLong passes on an answer that is too long to be held.
func (a *attempt) passLong(ctx context.Context, answer *exchange.Answer, begun []byte) (verdict, placement.Outcome) {
	a.h.Dialect.Returned(answer.Header)
	copyHeader(a.w.Header(), answer.Header)
	a.w.WriteHeader(answer.StatusCode)
	_, err := a.w.Write(begun)
	if err == nil {
		_, err = io.Copy(a.w, answer.Body)
	}
	if err != nil {
		a.cause = err
		a.ended(a.decision, a.read, a.blame(ctx, placement.Broken), 0)
		a.conn.Close()
		a.logEnd(answer.StatusCode, "broken:long", 0)
		panic(http.ErrAbortHandler)
	}
	a.whole = true
	a.logEnd(answer.StatusCode, "answered", 0)
	return finished, placement.Answered
}

// pass gives a whole answer to the caller, unchanged.
func (f *flight) pass(answer *held, code string) {
	f.logEnd(answer.status, code, 0)
	f.h.Dialect.Returned(answer.header)
	header := f.w.Header()
	copyHeader(header, answer.header)
	if f.r.Method != http.MethodHead && answer.status != http.StatusNoContent && answer.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	f.w.WriteHeader(answer.status)
	// A caller that has gone away needs no answer.
	_, _ = f.w.Write(answer.body)
}

func copyHeader(into, from http.Header) {
	for name, values := range from {
		into[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		// Without this the server would guess one.
		into["Content-Type"] = nil
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
