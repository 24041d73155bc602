package kindstore

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"
)

type (
	// response is what a caller gets.
	response struct {
		status int
		era    string
		// err is set if the connection ended before the response.
		err  error
		page page
	}

	page struct {
		Items   []body `json:"items"`
		Events  []event
		HasMore bool   `json:"has-more"`
		Current uint64 `json:"current-rev"`
	}

	event struct {
		Object  body
		Deleted bool
	}
)

// names returns the names of the objects of a list or watch.
func (r response) names() []string {
	var names []string
	for _, o := range r.page.Items {
		names = append(names, o.Metadata.Name)
	}
	for _, e := range r.page.Events {
		names = append(names, e.Object.Metadata.Name)
	}
	return names
}

func start(t *testing.T, s *Server) (call func(method, path, body string) response) {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return func(method, path, body string) response {
		request, err := http.NewRequest(method, server.URL+pathPrefix+path, strings.NewReader(body))
		if err != nil {
			return response{err: err}
		}
		answer, err := server.Client().Do(request)
		if err != nil {
			return response{err: err}
		}
		defer answer.Body.Close()
		r := response{status: answer.StatusCode, era: answer.Header.Get(HeaderEra)}
		data, err := io.ReadAll(answer.Body)
		if err == nil && len(data) > 0 {
			err = json.Unmarshal(data, &r.page)
		}
		r.err = err
		return r
	}
}

// awaitWatch waits until the store has got a watch and lets it begin to wait.
func awaitWatch(t *testing.T, s *Server, kind string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); s.Calls()[Call{kind, Watch}] == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no watch has begun")
		}
	}
	time.Sleep(50 * time.Millisecond)
}

// Guards against a restored store that keeps what the copy lacks, or its revisions.
func TestRestoredStoreIsThatOfItsCopy(t *testing.T) {
	var s Server
	call := start(t, &s)
	s.Put("kind", "kept", 1)
	s.Put("kind", "deleted", 1)
	copied := s.Copy()
	s.Put("kind", "kept", 2)
	s.Delete("kind", "deleted")
	s.Put("kind", "added", 1)
	for era := 2; era <= 3; era++ {
		s.Restore(copied, RestoreOptions{})
		r := call(http.MethodGet, "kind", "")
		if got := fmt.Sprint(r.names()); got != "[deleted kept]" || string(r.page.Items[1].Specification) != "1" || r.page.Current != 2 || r.era != fmt.Sprint(era) {
			t.Errorf("restored store lists %s, %+v in era %s, want that of the copy in era %d", got, r.page, r.era, era)
		}
		if r := call(http.MethodGet, "kind?watch=3&wait-ms=5000", ""); r.status != http.StatusGone || r.era != fmt.Sprint(era) {
			t.Errorf("watch from a revision that is gone: status %d, era %s", r.status, r.era)
		}
		s.Put("kind", "again", 1)
		if r := call(http.MethodGet, "kind?watch=2&wait-ms=5000", ""); fmt.Sprint(r.names()) != "[again]" || r.page.Current != 3 {
			t.Errorf("first change of the era: %+v, want revision 3", r.page)
		}
	}
}

// Guards against responses without the era, whatever their status, and against an era of a
// store that has none.
func TestAllResponsesNameTheEra(t *testing.T) {
	for _, omit := range []bool{false, true} {
		s := Server{OmitEra: omit}
		call := start(t, &s)
		s.Put("kind", "a", 1)
		s.Compact()
		s.SetRefuse(func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/refused") })
		for path, status := range map[string]int{
			"GET kind": http.StatusOK, "GET refused": http.StatusServiceUnavailable, "GET kind?watch=0&wait-ms=1": http.StatusGone, "GET kind?watch=1&wait-ms=1": http.StatusOK,
			"GET kind?watch=x&wait-ms=1": http.StatusBadRequest, "DELETE kind/a": http.StatusMethodNotAllowed, `POST kind`: http.StatusConflict, "PUT kind/b": http.StatusOK,
		} {
			method, target, _ := strings.Cut(path, " ")
			want := "1"
			if omit {
				want = ""
			}
			if r := call(method, target, `{"metadata":{"name":"a"},"specification":1}`); r.status != status || r.era != want {
				t.Errorf("%s: status %d, era %q, want %d, %q", path, r.status, r.era, status, want)
			}
		}
	}
}

// Guards against a waiting watch that a restore does not end, or that misses the changes of
// the new era because their revisions are not greater.
func TestRestoreWhileWatchWaits(t *testing.T) {
	for _, keep := range []bool{false, true} {
		var s Server
		call := start(t, &s)
		copied := s.Copy()
		for range 10 {
			s.Put("other", "a", 1)
		}
		done := make(chan response, 1)
		go func() { done <- call(http.MethodGet, "kind?watch=10&wait-ms=10000", "") }()
		awaitWatch(t, &s, "kind")
		s.Restore(copied, RestoreOptions{KeepWatches: keep})
		if keep {
			time.Sleep(50 * time.Millisecond)
			s.Put("kind", "a", 1)
		}
		r := <-done
		if !keep && r.err == nil {
			t.Errorf("the watch was not cut off: %+v", r)
		}
		if keep && (r.err != nil || fmt.Sprint(r.names()) != "[a]" || r.page.Current != 1 || r.era != "2") {
			t.Errorf("the watch got %+v, want the change of revision 1 in era 2", r)
		}
	}
}

// Guards against pages that lack objects or have them twice, and against a second page that is
// not of the store as restored since the first one.
func TestRestoreBetweenPages(t *testing.T) {
	s := Server{PageSize: 2}
	call := start(t, &s)
	copied := s.Copy()
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		s.Put("kind", name, 1)
	}
	var names []string
	for after := ""; ; {
		r := call(http.MethodGet, "kind?after="+after, "")
		names = append(names, r.names()...)
		if !r.page.HasMore {
			break
		}
		after = names[len(names)-1]
	}
	if !slices.Equal(names, []string{"a", "b", "c", "d", "e"}) {
		t.Errorf("pages contain %v", names)
	}
	s.SetBetweenPages(func(string) {
		s.Restore(copied, RestoreOptions{})
		s.Put("kind", "z", 1)
	})
	first, second := call(http.MethodGet, "kind", ""), call(http.MethodGet, "kind?after=b", "")
	if first.era != "1" || first.page.Current != 5 || second.era != "2" || second.page.Current != 1 || fmt.Sprint(second.names()) != "[z]" || second.page.HasMore {
		t.Errorf("pages are %+v and %+v, want the second one of era 2 with z only", first, second)
	}
}

// Guards against calls that are not counted, or not as what they are.
func TestCallsAreCountedByKindAndOperation(t *testing.T) {
	var s Server
	call := start(t, &s)
	s.SetRefuse(func(r *http.Request) bool { return r.URL.Path == pathPrefix+"refused" })
	object := `{"metadata":{"name":"a"},"specification":1}`
	for _, c := range []string{"GET kind", "GET kind?after=a", "GET kind?watch=0&wait-ms=1", "POST kind", "PUT kind/a", "DELETE kind/a", "GET refused"} {
		method, target, _ := strings.Cut(c, " ")
		call(method, target, object)
	}
	want := map[Call]int{{"kind", List}: 2, {"kind", Watch}: 1, {"kind", Create}: 1, {"kind", Replace}: 1, {"kind", Other}: 1, {"refused", List}: 1}
	if got := s.Calls(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("calls are %v, want %v", got, want)
	}
}
