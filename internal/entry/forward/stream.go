package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/backend/exchange"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// eventBuffer holds a few events.
	eventBuffer = 2 << 10
	// gapFactor is the multiple of the longest good pause after which a
	// stream counts as silent.
	gapFactor = 4
)

var idField = []byte("id:")

// stream is what the caller has of a series of events.
type stream struct {
	status int
	// last is the ID of the last event that went to the caller.
	last string
	// version is the version of the first event.
	version int64
	events  int
	firstAt time.Time
	lastAt  time.Time
	// longestGap is the longest pause between two events.
	longestGap time.Duration
	resumed    int
}

// relay passes on events as they come, each one whole.
func (a *attempt) relay(ctx context.Context, answer *exchange.Answer) (verdict, placement.Outcome) {
	events := bufio.NewReaderSize(answer.Body, eventBuffer)
	served, firstAt := 0, time.Time{}
	for {
		if err := a.conn.SetReadDeadline(a.eventDeadline()); err != nil {
			return a.cut(ctx, served, err)
		}
		event, err := readEvent(events)
		if errors.Is(err, io.EOF) {
			return a.complete(answer, served, firstAt)
		}
		if err != nil {
			return a.cut(ctx, served, err)
		}
		now := a.h.Clock.Now()
		if !a.read {
			a.read, firstAt = true, now
			a.h.Desk.Began(a.pool.Name, a.decision.Server.Instance, a.head.PromptTokens)
		}
		if a.stream != nil && !follows(a.stream.last, eventID(event)) {
			continue
		}
		served++
		if err := a.passEvent(answer, event, now); err != nil {
			a.cause = err
			a.conn.Close()
			a.ended(a.decision, a.read, placement.Abandoned, 0)
			a.gone()
		}
	}
}

// passEvent writes one event, with the head of the answer before the first.
func (a *attempt) passEvent(answer *exchange.Answer, event []byte, now time.Time) error {
	if a.stream == nil {
		a.stream = &stream{status: answer.StatusCode, version: answer.Head.Version, firstAt: now, last: a.head.LastEvent}
		if a.stream.version == 0 {
			a.stream.version = a.decision.Version
		}
		a.h.Dialect.Returned(answer.Header)
		copyHeader(a.w.Header(), answer.Header)
		a.w.Header().Del("Content-Length")
		a.w.WriteHeader(answer.StatusCode)
	}
	s := a.stream
	if id := eventID(event); id != "" {
		s.last = id
	}
	if v := a.h.Dialect.EventVersion(event); v != 0 {
		s.version = v
	}
	if s.events > 0 {
		s.longestGap = max(s.longestGap, now.Sub(s.lastAt))
	}
	s.events++
	s.lastAt = now
	if _, err := a.w.Write(event); err != nil {
		return errors.Wrap(err, "write event")
	}
	return errors.Wrap(http.NewResponseController(a.w).Flush(), "flush event")
}

// eventDeadline is when a stream counts as silent.
func (a *attempt) eventDeadline() time.Time {
	silence := a.silence()
	if a.read && a.repeatable() && a.sent+1 < a.route.Attempts {
		silence = max(silenceFloor, gapFactor*a.route.GapObjective)
	}
	at := a.h.Clock.Now().Add(silence)
	if at.After(a.deadline) {
		return a.deadline
	}
	return at
}

// complete ends a stream after its last event.
func (a *attempt) complete(answer *exchange.Answer, served int, firstAt time.Time) (verdict, placement.Outcome) {
	a.whole = true
	if a.stream == nil {
		// A stream without events is a whole answer all the same.
		a.pass(&held{status: answer.StatusCode, header: answer.Header}, "answered")
		return finished, placement.Answered
	}
	if e := a.pool.Engine; e != nil && served > 2 {
		pass := time.Duration(max(1, e.StepsPerPass)) * e.Step
		pause := a.stream.lastAt.Sub(firstAt) / time.Duration(served-1)
		a.h.Desk.Paced(a.pool.Name, a.decision.Server.Instance, float64(pause)/float64(pass))
	}
	a.logEnd(a.stream.status, "answered", 0)
	return finished, placement.Answered
}

// cut takes in that a stream ended before its last event.
func (a *attempt) cut(ctx context.Context, served int, err error) (verdict, placement.Outcome) {
	a.cause = err
	a.logAttempt(a.decision, "cutAfter"+strconv.Itoa(served), a.began)
	if a.stream != nil {
		a.stream.resumed++
	}
	return lost, a.blame(ctx, a.outcomeOf(err))
}

// readEvent returns the next event with its blank line, io.EOF behind the
// last one, and another error when the stream ends inside an event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for len(event) <= maxEventBytes {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(event) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
	return nil, errors.Newf("event has more than %d bytes", maxEventBytes)
}

func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// follows says whether an event of a resumed stream is a new one. IDs increase.
func follows(last, id string) bool {
	if last == "" || id == "" {
		return true
	}
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return last != id
	}
	now, err := strconv.ParseInt(id, 10, 64)
	return err != nil || now > before
}
