package silencesoak

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/standin/backendserver"
	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
)

// Guards against checks of restores that miss a fault, or judge time in which an entry could not
// learn of a change. Each case has a request at 10 s, after a change at 6 s.
func TestRestoreChecksFindFaults(t *testing.T) {
	const entry, other = "http://entry", "http://other"
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	request := func(url string, seconds float64, step, status int) hostedsystem.Result {
		return hostedsystem.Result{
			ID: "r", Call: hostedsystem.Call{URL: url, Prefix: hostedsystem.StepPrefix(step), Step: step},
			SentAt: at(seconds), Took: 10 * time.Millisecond, Status: status, Complete: true,
		}
	}
	unknown := request(entry, 10, 2, http.StatusNotFound)
	servedBy := func(instance string) []backendserver.Run {
		return []backendserver.Run{{ID: "r", Instance: instance, StartedAt: at(10), EndedAt: at(10)}}
	}
	for name, c := range map[string]struct {
		request hostedsystem.Result
		earlier []hostedsystem.Result
		runs    []backendserver.Run
		lost    []span
		refused map[string][]span
		stalls  []span
		want    []string
	}{
		"served":                                    {request: request(entry, 10, 2, http.StatusOK)},
		"refused":                                   {request: request(entry, 10, 2, http.StatusServiceUnavailable)},
		"unknown after 4 s":                         {request: unknown, want: []string{"configurationLate"}},
		"unknown after 2.9 s":                       {request: request(entry, 8.9, 2, http.StatusNotFound)},
		"unknown, written again 2.5 s before":       {request: unknown, lost: []span{{at(6.5), at(7.5)}}},
		"unknown, written again 3.5 s before":       {request: unknown, lost: []span{{at(5.5), at(6.5)}}, want: []string{"configurationLate"}},
		"unknown, lost when it was in force":        {request: unknown, lost: []span{{at(9.5), at(9.8)}}, want: []string{"configurationLate"}},
		"unknown, lost again before it was written": {request: unknown, lost: []span{{at(6.5), at(7)}, {at(8), at(9)}}},
		"unknown, entry refused":                    {request: unknown, refused: map[string][]span{entry: {{at(5), at(8)}}}},
		"unknown, other entry refused":              {request: unknown, refused: map[string][]span{other: {{at(5), at(8)}}}, want: []string{"configurationLate"}},
		"unknown, entry stalled":                    {request: unknown, stalls: []span{{at(7), at(8.5)}}},
		"unknown, entry stalled before":             {request: unknown, stalls: []span{{at(4), at(5.5)}}, want: []string{"configurationLate"}},
		"unknown, was served":                       {request: request(entry, 8, 2, http.StatusNotFound), earlier: []hostedsystem.Result{request(entry, 7, 2, http.StatusOK)}, want: []string{"configurationBack"}},
		"unknown, later one was served":             {request: request(entry, 8, 2, http.StatusNotFound), earlier: []hostedsystem.Result{request(entry, 7, 3, http.StatusOK)}, want: []string{"configurationBack"}},
		"unknown, earlier one was served":           {request: request(entry, 8, 2, http.StatusNotFound), earlier: []hostedsystem.Result{request(entry, 7, 1, http.StatusOK)}},
		"unknown, served by another entry":          {request: request(entry, 8, 2, http.StatusNotFound), earlier: []hostedsystem.Result{request(other, 7, 2, http.StatusOK)}},
		"unknown, served at the same time":          {request: request(entry, 8, 2, http.StatusNotFound), earlier: []hostedsystem.Result{request(entry, 7.995, 2, http.StatusOK)}},
		"at a server that stays":                    {request: request(entry, 10, 1, http.StatusOK), runs: servedBy("stays")},
		"at a server that left":                     {request: request(entry, 10, 1, http.StatusOK), runs: servedBy("left"), want: []string{"leaving"}},
		"at a server that left, lost":               {request: request(entry, 10, 1, http.StatusOK), runs: servedBy("left"), lost: []span{{at(6.1), at(7.5)}}},
		"at a server that left, copy says ready":    {request: request(entry, 10, 1, http.StatusOK), runs: servedBy("left"), lost: []span{{at(9.2), at(10.2)}}, want: []string{"leaving"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := record{
				results: append(c.earlier, c.request), runs: map[string][]backendserver.Run{"r": c.runs}, attempts: 2, stalls: c.stalls,
				versions: map[int]time.Time{1: at(-100), 2: at(6), 3: at(6)}, left: map[string]time.Time{"left": at(6)}, lost: c.lost, refused: c.refused,
			}
			var got []string
			for _, f := range append(r.versionFaults(c.request), r.leavingFaults(c.request)...) {
				got = append(got, f.Check)
			}
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("faults are %v, want %v", got, c.want)
			}
		})
	}
}
