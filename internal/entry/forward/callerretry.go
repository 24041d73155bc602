package forward

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxHashedBody is the part of a body that is compared to tell whether two requests are the
// same. The beginnings of prompts may be equal, so the length and the end count as well.
const maxHashedBody = 8 << 10

// recognizeRetry sets whether the caller sends a request again that was refused before, and
// whether it does so earlier than it was told.
func (q *request) recognizeRetry() {
	q.callerRetry = q.handler.isCallerRetry(q.route.Name, q.head.Deadline)
	h := q.handler
	h.mu.Lock()
	none := h.refusals.Len() == 0
	h.mu.Unlock()
	q.callerDeadline = q.arrivedAt.Add(q.head.Deadline)
	if none || !q.isDistinct() {
		return
	}
	content := q.content()
	h.mu.Lock()
	recorded, early := h.refusals.Find(content, q.callerDeadline, q.arrivedAt)
	h.mu.Unlock()
	if !recorded.IsZero() {
		q.callerRetry, q.earlyRetry, q.callerDeadline = true, early, recorded
	}
	if early {
		h.count("early_retries", q.route.Name, q.pool.Name, "")
	}
}

// recordRefusal records that the request was refused, and when its caller was told to return.
func (q *request) recordRefusal(retryAfter time.Duration) {
	if !q.isDistinct() {
		return
	}
	content, now := q.content(), q.handler.Clock.Now()
	q.handler.mu.Lock()
	defer q.handler.mu.Unlock()
	q.handler.refusals.Record(content, q.callerDeadline, now.Add(retryAfter), now)
}

// isDistinct reports whether the request can be told from those of other callers. Those without
// a body may be sent by many at the same time.
func (q *request) isDistinct() bool { return q.head.Deadline > 0 && len(q.body) > 0 }

// content returns a hash of what the request asks for, and for whom.
func (q *request) content() uint64 {
	digest := xxhash.New()
	write := func(value string) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(value)))
		// Writing to a digest does not fail.
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(value)
	}
	for _, value := range append([]string{q.incoming.Method, q.incoming.Host, q.target, q.workspaceName()}, q.head.PromptParts...) {
		write(value)
	}
	n := len(q.body)
	write(string(q.body[:min(n, maxHashedBody)]))
	write(string(q.body[max(0, n-maxHashedBody):]))
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(n))
	_, _ = digest.Write(length[:])
	return digest.Sum64()
}
