package follow

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSet() *Set[string] {
	return &Set[string]{Grace: 2 * time.Second, Decode: func(o mulberryspool.Object) (string, error) {
		if string(o.Value) == "bad" {
			return "", errors.New("not readable")
		}
		return string(o.Value), nil
	}}
}

func object(name, value string) mulberryspool.Object {
	return mulberryspool.Object{Name: name, Value: []byte(value)}
}

func deleted(name string) []mulberryspool.ObjectChange {
	return []mulberryspool.ObjectChange{{Object: object(name, ""), Deleted: true}}
}

func TestCalmStoreRemovesAtOnce(t *testing.T) {
	s := newSet()
	s.Replace(start, []mulberryspool.Object{object("a", "1"), object("b", "1")})
	s.Apply(start, deleted("a"))
	s.Replace(start, nil)
	if n := len(s.Items()); n != 0 {
		t.Errorf("%d objects are left, want none", n)
	}
}

// Entries expire while nobody can renew them. They stay until their owners
// had the time to come back, and no longer.
func TestObjectsLostInAnOutageStayForTheGrace(t *testing.T) {
	s := newSet()
	s.Replace(start, []mulberryspool.Object{object("alive", "1"), object("dead", "1")})
	s.Failed(start.Add(time.Second))
	back := start.Add(5 * time.Second)
	s.Answered(back)
	s.Replace(back, nil)
	if n := len(s.Items()); n != 2 {
		t.Fatalf("%d objects are left right after the outage, want 2", n)
	}
	s.Apply(back.Add(time.Second), []mulberryspool.ObjectChange{{Object: object("alive", "2")}})
	next, ok := s.NextExpiry()
	if !ok || !next.Equal(back.Add(2*time.Second)) {
		t.Fatalf("the next expiry is %v, want the end of the grace", next)
	}
	s.Expire(next)
	items := s.Items()
	if _, ok := items["dead"]; ok || items["alive"] != "2" {
		t.Errorf("after the grace: %v, want only the object that came back", items)
	}
	s.Apply(back.Add(10*time.Second), deleted("alive"))
	if n := len(s.Items()); n != 0 {
		t.Error("an object that left long after the outage was kept")
	}
}

// Another writer's bytes name nothing to use, and the others hold.
func TestUnreadableObjectNamesNothing(t *testing.T) {
	s := newSet()
	s.Replace(start, []mulberryspool.Object{object("a", "1"), object("b", "1")})
	d := s.Apply(start, []mulberryspool.ObjectChange{{Object: object("a", "bad")}})
	if _, ok := d.Unreadable["a"]; !ok {
		t.Error("the unreadable object is not reported")
	}
	if items := s.Items(); len(items) != 1 || items["b"] != "1" {
		t.Errorf("objects in use are %v, want b only", items)
	}
}
