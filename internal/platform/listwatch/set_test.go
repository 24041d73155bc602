package listwatch

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSet() *Set[string] {
	return &Set[string]{GracePeriod: 2 * time.Second, Decode: func(o mulberryspool.Object) (string, error) {
		if string(o.Value) == "bad" {
			return "", errors.New("cannot decode the value")
		}
		return string(o.Value), nil
	}}
}

func newObject(name, value string) mulberryspool.Object {
	return mulberryspool.Object{Name: name, Value: []byte(value)}
}

func deletion(name string) []mulberryspool.ObjectChange {
	return []mulberryspool.ObjectChange{{Object: newObject(name, ""), Deleted: true}}
}

// Guards against a grace period for objects that are removed without an outage.
func TestRemovedAtOnceWithoutOutage(t *testing.T) {
	s := newSet()
	s.Replace(start, []mulberryspool.Object{newObject("a", "1"), newObject("b", "1")})
	s.Apply(start, deletion("a"))
	s.Replace(start, nil)
	if n := len(s.Items()); n != 0 {
		t.Errorf("%d objects are left, want none", n)
	}
}

// Guards against objects that are dropped because they expired while no owner
// could renew them, and against objects that are kept after the grace period.
func TestObjectsRemovedInOutageStayForGracePeriod(t *testing.T) {
	s := newSet()
	s.Replace(start, []mulberryspool.Object{newObject("alive", "1"), newObject("dead", "1")})
	s.RecordFailure()
	recovered := start.Add(5 * time.Second)
	s.RecordAnswer(recovered)
	s.Replace(recovered, nil)
	if n := len(s.Items()); n != 2 {
		t.Fatalf("%d objects are left right after the outage, want 2", n)
	}
	s.Apply(recovered.Add(time.Second), []mulberryspool.ObjectChange{{Object: newObject("alive", "2")}})
	next, ok := s.NextExpiry()
	if !ok || !next.Equal(recovered.Add(2*time.Second)) {
		t.Fatalf("the next expiry is %v, want the end of the grace period", next)
	}
	s.Expire(next)
	items := s.Items()
	if _, ok := items["dead"]; ok || items["alive"] != "2" {
		t.Errorf("objects after the grace period are %v, want only the one that was renewed", items)
	}
	s.Apply(recovered.Add(10*time.Second), deletion("alive"))
	if n := len(s.Items()); n != 0 {
		t.Error("an object that was removed long after the outage was kept")
	}
}

// Guards against an object whose new value cannot be decoded and that stays in
// use with its old value, or that removes other objects.
func TestUndecodableObjectIsDropped(t *testing.T) {
	s := newSet()
	s.Replace(start, []mulberryspool.Object{newObject("a", "1"), newObject("b", "1")})
	d := s.Apply(start, []mulberryspool.ObjectChange{{Object: newObject("a", "bad")}})
	if _, ok := d.Unreadable["a"]; !ok {
		t.Error("the object that cannot be decoded is not reported")
	}
	if items := s.Items(); len(items) != 1 || items["b"] != "1" {
		t.Errorf("objects in use are %v, want b only", items)
	}
}
