package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

type (
	call struct {
		entry              *entry
		method, host, path string
		key                string
		id                 string
		// bodyBytes is the length of a long body; 0 for a short one.
		bodyBytes int
	}

	answer struct {
		sentAt, endedAt time.Time
		status          int
		signature       string
		body            string
		// err is set if the answer did not end as HTTP says.
		err error
	}
)

func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastRequest.Add(1))
}

// do sends a request on a channel of its own and reads the answer.
func (s *system) do(c call) answer {
	if c.id == "" {
		c.id = newID()
	}
	var body io.Reader
	if c.method == http.MethodPost {
		data := []byte("tally " + c.id + " ")
		if c.bodyBytes > 0 {
			data = bytes.Repeat(data, c.bodyBytes/len(data))
		}
		body = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, fmt.Sprintf("http://%s:%d%s", c.entry.address, callersPort, c.path), body)
	if err != nil {
		return answer{err: err}
	}
	r.Host = c.host
	r.Header.Set("X-Attempt-Id", c.id)
	r.Header.Set("X-Deadline-Ms", "4000")
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	a := answer{sentAt: time.Now()}
	if !s.compact {
		s.record("caller sends %s %s %s to %s", c.id, c.method, c.path, c.entry.name)
	}
	response, err := client.Do(r)
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		s.record("caller got no answer to %s: %v", c.id, err)
		return a
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a.endedAt, a.status, a.signature, a.body, a.err = time.Now(), response.StatusCode, response.Header.Get("X-Response-Signature"), string(data), err
	if s.compact {
		s.record("%s %s %s to %s: %d, %d bytes, %d ms", c.id, c.method, c.path, c.entry.name, a.status, len(data), a.endedAt.Sub(a.sentAt).Milliseconds())
		return a
	}
	s.record("caller got %d to %s, signature %q, %d bytes (length %d), end: %v", a.status, c.id, a.signature, len(data), response.ContentLength, err)
	return a
}
