package forward

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/backend/liveness"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

const (
	// maxEventBytes limits the size of an event, and the bytes between two new
	// events.
	maxEventBytes = 1 << 20
	// eventBufferBytes is the size of the read buffer; it holds a few events.
	eventBufferBytes = 2 << 10
)

var idField = []byte("id:")

// relayEvents passes each event on as soon as it is complete.
func (a *attempt) relayEvents(response *httpconn.Answer) (attemptResult, placement.Outcome) {
	events := bufio.NewReaderSize(response.Body, eventBufferBytes)
	relayed, firstEventAt, lastEventAt := 0, time.Time{}, time.Time{}
	// Comments and events that the caller has already don't count as progress, as
	// they may come without end.
	progressed, bytesWithoutProgress := true, 0
	for {
		if progressed {
			progressed, bytesWithoutProgress = false, 0
			if err := a.setEventDeadline(); err != nil {
				return a.handleBrokenStream(relayed, err)
			}
		}
		raw, err := readEvent(events)
		if errors.Is(err, io.EOF) {
			if err := a.checkUnframedEnd(response); err != nil {
				return a.handleBrokenStream(relayed, err)
			}
			return a.finishEvents(relayed, lastEventAt.Sub(firstEventAt))
		}
		bytesWithoutProgress += len(raw)
		if err == nil && bytesWithoutProgress > maxEventBytes {
			err = errors.Newf("more than %d bytes without a new event", maxEventBytes)
		}
		if err != nil {
			return a.handleBrokenStream(relayed, err)
		}
		now := a.handler.Clock.Now()
		a.recordReceived(now)
		e := event{comment: isComment(raw), id: eventID(raw), version: a.handler.HeaderCodec.EventVersion(raw), receivedAt: now}
		if !e.comment {
			if !a.promptRead {
				a.promptRead, firstEventAt = true, now
				// The wait for the start is over, also with an event that the caller has.
				progressed = true
				a.logOutdatedStart(response, now)
				a.handler.Scheduler.RecordFirstEvent(a.pool.Name, a.decision.Server.Instance, a.head.PromptTokens)
			}
			if !isNewEvent(a.lastEventID, e.id) {
				continue
			}
			if a.resumed && relayed == 0 && a.isOtherVersion(e.version) {
				return a.handleOtherVersion(e.version)
			}
			a.exchange.Event()
			relayed++
			lastEventAt, progressed = now, true
			a.lastEventID = cmp.Or(e.id, a.lastEventID)
			a.endSilence()
		}
		if err := a.post(message{kind: messageEvent, response: response, data: raw, event: e}); err != nil {
			return a.handleBrokenStream(relayed, err)
		}
		a.posted = true
	}
}

// checkUnframedEnd returns an error if an answer that has ended with its connection, between
// two events if it is a stream, may have been broken off: it has neither a length nor chunks,
// and a server that crashes closes its connections as well.
func (a *attempt) checkUnframedEnd(response *httpconn.Answer) error {
	if !response.EndsWithConnection() {
		return nil
	}
	if !a.resumed && !a.posted && a.isStream {
		return errors.Mark(errors.New("stream ended with its connection before its first event"), httpconn.ErrAnswerLost)
	}
	err := a.handler.Liveness.Check(a.ctx, targetOf(a.decision))
	// A sound server may be silent, or accept no further connections, for a while.
	for errors.Is(err, liveness.ErrUnknown) && a.ctx.Err() == nil {
		a.silent = true
		if err = a.post(message{kind: messageSilent}); err == nil {
			err = a.handler.Liveness.Check(a.ctx, targetOf(a.decision))
		}
	}
	if err == nil {
		a.endSilence()
		return nil
	}
	a.handler.count("unframed_answers_lost", a.route.Name, a.pool.Name, "")
	return errors.Mark(errors.Wrap(err, "answer without length ended with its connection"), httpconn.ErrAnswerLost)
}

// finishEvents ends a stream after its last event. The time between its first and last event
// is that of this attempt.
func (a *attempt) finishEvents(relayed int, took time.Duration) (attemptResult, placement.Outcome) {
	a.complete = true
	a.exchange.Complete()
	if e := a.pool.Engine; e != nil && relayed > 2 {
		passTime := time.Duration(max(1, e.TokensPerEvent)) * e.TokenTime
		a.handler.Scheduler.RecordSlowdown(a.pool.Name, a.decision.Server.Instance, float64(took/time.Duration(relayed-1))/float64(passTime))
	}
	return resultFinished, placement.Answered
}

// handleBrokenStream handles a stream that ended before its last event.
func (a *attempt) handleBrokenStream(relayed int, err error) (attemptResult, placement.Outcome) {
	a.err = a.cause(err)
	a.recordBroken(err)
	a.logFailed(a.lostCode(err, "cutAfter"+strconv.Itoa(relayed)))
	return resultUnknown, a.attributeOutcome(a.failureOutcome(err))
}

// readEvent returns the next event including its blank line, io.EOF after the
// last event, and another error if the stream ends inside an event.
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
	return nil, errors.Newf("event is larger than %d bytes", maxEventBytes)
}

// isComment reports whether an event has no fields.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isNewEvent reports whether an event of a resumed stream has not been sent to
// the caller yet. Event IDs increase.
func isNewEvent(last, id string) bool {
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
