package hostedsystem

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/standin/backendserver"
)

type (
	// Caller sends requests and keeps their results. It is safe for concurrent use.
	Caller struct {
		// Client decides whether connections are kept.
		Client *http.Client
		// Timeout is how long a caller says that it waits.
		Timeout time.Duration

		last    atomic.Int64
		running sync.WaitGroup
		mu      sync.Mutex
		results []Result
	}

	// Call is a request.
	Call struct {
		// URL is that of the entry, Prefix that of the route.
		URL, Prefix string
		// Step is the number of the route if it is numbered, otherwise 0.
		Step int
		// Key is that of a workspace; empty for none.
		Key string
		// Take is how long the answer takes, Events the number of its events; 0 for an
		// answer that is no stream.
		Take   time.Duration
		Events int
		// Head is the delay of the first event.
		Head time.Duration
		// Bytes is what an answer has before its usual text.
		Bytes int
		// LeaveAfter is when the caller leaves, 0 for its timeout.
		LeaveAfter time.Duration
		// Body is what the request has; empty for a short text.
		Body []byte
	}

	// Fault is a check that a request has failed, and what was seen.
	Fault struct{ Check, Text string }

	// Result is how a request ended.
	Result struct {
		Call   Call
		ID     string
		SentAt time.Time
		Took   time.Duration
		// Status is 0 if there was no answer; then Err says why.
		Status int
		Err    error
		// Events is the number of events that came.
		Events int
		// Complete is set if the answer came to its end, Wrong if it has bytes that the
		// backend server did not send, or belong to another request.
		Complete bool
		Wrong    string
	}
)

// NewCaller returns a caller that keeps connections, or opens one for each request.
func NewCaller(timeout time.Duration, keep bool) *Caller {
	transport := &http.Transport{DisableKeepAlives: !keep, DisableCompression: true, MaxIdleConnsPerHost: 100}
	return &Caller{Client: &http.Client{Transport: transport}, Timeout: timeout}
}

// Go sends a request in the background.
func (c *Caller) Go(call Call) {
	c.running.Go(func() { c.Do(call) })
}

// Wait waits for the requests and returns all results.
func (c *Caller) Wait() []Result {
	c.running.Wait()
	c.Client.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results
}

// Faults returns what no caller may see: an answer that is not true, or not that of the
// request, which ran a number of times.
func (r *Result) Faults(runs int) []Fault {
	var faults []Fault
	if r.Wrong != "" {
		faults = append(faults, Fault{"wrong", r.Wrong})
	}
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if runs > 0 {
			faults = append(faults, Fault{"falseRefusal", fmt.Sprintf("refused as not run with status %d, but ran %d times", r.Status, runs)})
		}
	}
	if r.Call.Prefix == OrderPrefix && runs > 1 {
		faults = append(faults, Fault{"orderTwice", fmt.Sprintf("order ran %d times", runs)})
	}
	return faults
}

// Do sends a request and returns its result.
func (c *Caller) Do(call Call) Result {
	r := Result{Call: call, ID: fmt.Sprintf("%p-%d", c, c.last.Add(1)), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(call.LeaveAfter, c.Timeout))
	defer cancel()
	r.Err = c.exchange(ctx, &r)
	r.Took = time.Since(r.SentAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	return r
}

func (c *Caller) exchange(ctx context.Context, r *Result) error {
	target := r.Call.URL + r.Call.Prefix + "x?take=" + r.Call.Take.String()
	if r.Call.Events > 0 {
		target += "&events=" + strconv.Itoa(r.Call.Events) + "&head=" + r.Call.Head.String()
	}
	if r.Call.Bytes > 0 {
		target += "&bytes=" + strconv.Itoa(r.Call.Bytes)
	}
	sent := r.Call.Body
	if sent == nil {
		sent = []byte("body of " + r.ID)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(sent))
	if err != nil {
		return err
	}
	// The client must not send a request again by itself.
	request.GetBody = nil
	request.Host = Host
	if r.Call.Key != "" {
		request.Header.Set("Authorization", "Bearer "+r.Call.Key)
	}
	request.Header.Set(backendserver.HeaderID, r.ID)
	request.Header.Set(backendserver.HeaderDeadline, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	response, err := c.Client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	r.Status = response.StatusCode
	if id := response.Header.Get(backendserver.HeaderID); id != "" && id != r.ID {
		r.Wrong = "answer to " + id
	}
	if r.Status != http.StatusOK {
		_, err := io.Copy(io.Discard, response.Body)
		r.Complete = err == nil
		return err
	}
	if r.Call.Events > 0 {
		return r.readEvents(response.Body)
	}
	skipped, err := io.CopyN(io.Discard, response.Body, int64(r.Call.Bytes))
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	r.Complete = err == nil
	if err == nil && string(body) != backendserver.Answer(r.ID) {
		r.Wrong = fmt.Sprintf("body %.100q after %d bytes", body, skipped)
	}
	return err
}

// readEvents reads the events of a stream and checks their order and version.
func (r *Result) readEvents(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	version := ""
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			r.Events++
			if id != strconv.Itoa(r.Events) {
				r.Wrong = fmt.Sprintf("event %s, want %d", id, r.Events)
			}
		}
		if v, ok := strings.CutPrefix(line, backendserver.VersionField); ok {
			if version != "" && v != version {
				r.Wrong = fmt.Sprintf("event of version %s after one of version %s", v, version)
			}
			version = v
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok && data != backendserver.Answer(r.ID) {
			r.Wrong = fmt.Sprintf("event %.100q", data)
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	if r.Events < r.Call.Events {
		r.Wrong = fmt.Sprintf("stream ends as complete after %d of %d events", r.Events, r.Call.Events)
	}
	r.Complete = true
	return nil
}
