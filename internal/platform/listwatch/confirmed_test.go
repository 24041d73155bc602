package listwatch

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against objects that are confirmed as of a position whose changes they lack, also when a
// list is older than an answer before it, and against answers without changes that confirm nothing.
func TestConfirmedObjectsAreThoseOfTheirPosition(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := &fakeStore{value: 3}
	f := newFollower(store, clock)
	f.WatchTimeout = func() time.Duration { return time.Second }
	var confirmed []mulberryspool.Revision
	f.Confirmed = func(items map[string]string, at mulberryspool.Position, _ time.Time) {
		if items["main"] != strconv.Itoa(int(at.Revision)) {
			t.Errorf("object is %q at revision %d", items["main"], at.Revision)
		}
		confirmed = append(confirmed, at.Revision)
	}
	step := func(value int, call func(context.Context) (bool, error), wantErr bool) {
		t.Helper()
		store.value = value
		if _, err := call(context.Background()); (err != nil) != wantErr {
			t.Errorf("value %d: error is %v, want one: %t", value, err, wantErr)
		}
	}
	step(3, f.list, false)
	step(5, f.watch, false)
	step(5, f.watch, false)
	step(4, f.list, true)
	step(6, f.list, false)
	if want := []mulberryspool.Revision{3, 5, 5, 6}; len(confirmed) != len(want) || confirmed[1] != 5 || confirmed[2] != 5 || confirmed[3] != 6 {
		t.Errorf("confirmed are %v, want %v", confirmed, want)
	}
}
