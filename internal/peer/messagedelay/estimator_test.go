package messagedelay

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// deliver records a message that was sent the given time after the start and took the
// given time. The sender's clock is ahead by an hour.
func deliver(e *Estimator, boot int64, sentAfter, took time.Duration) (time.Duration, bool) {
	return e.Record("a", boot, sentAfter+time.Hour, start.Add(sentAfter+took))
}

// Guards against delays that are derived from one message, and against a delayed message
// that counts as a fast one.
func TestDelayIsKnownAfterFastMessages(t *testing.T) {
	var e Estimator
	for i := range 4 {
		delay, known := deliver(&e, 1, time.Duration(i)*time.Second, 3*time.Millisecond)
		if known != (i >= 2) || delay != 0 {
			t.Errorf("message %d: delay %v, known %v", i, delay, known)
		}
	}
	if delay, known := deliver(&e, 1, 4*time.Second, 303*time.Millisecond); delay != 300*time.Millisecond || !known {
		t.Errorf("message that took 300 ms longer: delay %v, known %v", delay, known)
	}
	if _, known := deliver(&e, 2, 5*time.Second, 3*time.Millisecond); known {
		t.Error("the delay is known after a restart of the sender")
	}
}

// Guards against a sender that was suspended and counts as delayed from then on.
func TestSuspendedSenderIsNotDelayedForGood(t *testing.T) {
	var e Estimator
	deliver(&e, 1, 0, 0)
	var delay time.Duration
	for at := 10 * time.Second; at <= 10*time.Second+3*epochLength; at += time.Second {
		delay, _ = deliver(&e, 1, at, 2*time.Second)
	}
	if delay != 0 {
		t.Errorf("delay %v after two epochs with the same difference", delay)
	}
}
