package serverpause

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// Guards against a pause that a later, shorter one ends, that is that of another
// incarnation or instance, or that does not end.
func TestLatestEndOfIncarnationCounts(t *testing.T) {
	var p Pauses
	if !p.Begin("a", 1, 3*time.Second, at(0)) {
		t.Error("first pause has not begun")
	}
	if p.Begin("a", 1, time.Second, at(time.Second)) || p.Begin("a", 1, 3*time.Second, at(time.Second)) {
		t.Error("pause has begun again before its end")
	}
	for _, c := range []struct {
		instance mulberryspool.InstanceID
		born     int64
		now      time.Duration
		want     time.Time
	}{
		{"a", 1, time.Second, at(4 * time.Second)},
		{"a", 1, 4*time.Second - 1, at(4 * time.Second)},
		{"a", 1, 4 * time.Second, time.Time{}},
		{"a", 2, time.Second, time.Time{}},
		{"b", 1, time.Second, time.Time{}},
	} {
		if got := p.Until(c.instance, c.born, at(c.now)); !got.Equal(c.want) {
			t.Errorf("%s born %d after %s: until %s, want %s", c.instance, c.born, c.now, got, c.want)
		}
	}
	if !p.Begin("a", 1, time.Second, at(5*time.Second)) {
		t.Error("pause has not begun after the end of the one before")
	}
}

// Guards against pauses that are kept after their end, or without a limit.
func TestPausesAreBounded(t *testing.T) {
	var p Pauses
	for i := range 2 * maxPauses {
		p.Begin(mulberryspool.InstanceID(fmt.Sprint(i)), 1, time.Duration(1+i)*time.Second, at(0))
	}
	if len(p.until) != maxPauses {
		t.Errorf("%d pauses are kept, want %d", len(p.until), maxPauses)
	}
	if last := mulberryspool.InstanceID(fmt.Sprint(2*maxPauses - 1)); p.Until(last, 1, at(0)).IsZero() {
		t.Error("the pause that ends last was dropped")
	}
	if n := p.Active(at(time.Hour * 24)); n != 0 {
		t.Errorf("%d pauses after their end", n)
	}
}
