package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

// lossyStore names version 2 shortly after a watch began, loses that watch's
// answer, and delivers the change to the next watch.
type lossyStore struct {
	unresponsiveStore
	clock   *clockwork.FakeClock
	watches int
	named   time.Time
}

func (s *lossyStore) object(version string) mulberryspool.Object {
	return mulberryspool.Object{Name: "m", Value: []byte(version)}
}

func (s *lossyStore) List(ctx context.Context, kind string) ([]mulberryspool.Object, mulberryspool.Position, error) {
	if kind != "versions" {
		return s.unresponsiveStore.List(ctx, kind)
	}
	return []mulberryspool.Object{s.object("1")}, mulberryspool.Position{Revision: 1}, nil
}

func (s *lossyStore) Changes(ctx context.Context, kind string, after mulberryspool.Revision, wait time.Duration) (mulberryspool.ChangeList, error) {
	if kind != "versions" {
		return s.unresponsiveStore.Changes(ctx, kind, after, wait)
	}
	s.watches++
	switch s.watches {
	case 1:
		s.clock.Advance(100 * time.Millisecond)
		s.named = s.clock.Now()
		s.clock.Advance(2 * time.Second)
		return mulberryspool.ChangeList{}, context.DeadlineExceeded
	case 2:
		return mulberryspool.ChangeList{Changes: []mulberryspool.ObjectChange{{Object: s.object("2")}}, At: mulberryspool.Position{Revision: 2}, SentAt: s.clock.Now()}, nil
	}
	return s.unresponsiveStore.Changes(ctx, kind, after, wait)
}

// Guards against a version that counts as just named although the watch that
// would have reported it in time was lost.
func TestVersionFoundAfterLostWatchIsNotJustNamed(t *testing.T) {
	s := &lossyStore{clock: clockwork.NewFakeClock()}
	checkNamedInTime(t, s, s)
}

// Guards against a version that counts as named when it is delivered, although it
// was named before that.
func TestVersionDeliveredLateIsNotJustNamed(t *testing.T) {
	for name, delay := range map[string]time.Duration{"between two watches": 0, "while the answer to a watch was under way for 1.3s": 1300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := &lateStore{lossyStore: lossyStore{clock: clockwork.NewFakeClock()}, delay: delay}
			checkNamedInTime(t, s, &s.lossyStore)
		})
	}
}

// lateStore names version 2 during the first watch, and delivers the change to it
// after the delay. With a delay of 0 it names the version right after that watch and
// delivers it at once to the next one.
type lateStore struct {
	lossyStore
	delay time.Duration
}

func (s *lateStore) Changes(ctx context.Context, kind string, after mulberryspool.Revision, wait time.Duration) (mulberryspool.ChangeList, error) {
	if kind != "versions" || s.watches == 2 {
		return s.unresponsiveStore.Changes(ctx, kind, after, wait)
	}
	answer := mulberryspool.ChangeList{At: mulberryspool.Position{Revision: 1}, SentAt: s.clock.Now()}
	if s.watches++; s.watches == 1 {
		s.clock.Advance(wait / 2)
		s.named = s.clock.Now()
		s.clock.Advance(s.delay)
		if s.delay == 0 {
			return answer, nil
		}
	}
	answer.At.Revision, answer.Changes = 2, []mulberryspool.ObjectChange{{Object: s.object("2")}}
	return answer, nil
}

// checkNamedInTime checks that a version counts as named at most 100 ms late.
func checkNamedInTime(t *testing.T, store mulberryspool.KindStore, s *lossyStore) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	clock := s.clock
	f := newFleet(clock)
	f.Store = store
	f.Kinds = Kinds{Config: "config", Servers: "servers", Versions: "versions", DecodeVersion: func(o mulberryspool.Object) (mulberryspool.NamedVersion, error) {
		return mulberryspool.NamedVersion{Model: o.Name, Version: int64(o.Value[0] - '0')}, nil
	}}
	known := make(chan time.Time, 1)
	f.NamedVersionChanged = func(_ string, version int64, at time.Time) {
		if version == 2 {
			known <- at
		}
	}
	go f.Run(ctx)
	for {
		select {
		case at := <-known:
			if late := at.Sub(s.named); late > 100*time.Millisecond {
				t.Errorf("the version counts as named %v after it was, and its age is reported as %v", late, f.Summary().Named["m"])
			}
			return
		case <-time.After(time.Millisecond):
			clock.Advance(20 * time.Millisecond)
		case <-ctx.Done():
			t.Fatal("the version was never learned")
		}
	}
}
