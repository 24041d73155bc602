package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is bounds.grace-s, lateAfter the time after SIGTERM from which a request
	// counts although its server is still at work at the end of it.
	graceTime = 8 * time.Second
	lateAfter = 3 * time.Second
	// streamGap is the time between two events; a pause of 300 ms is still on time.
	streamGap = 90 * time.Millisecond
	// Numbers of events; 60 is the most on the users' sites.
	longEvents, usualEvents, moreEvents = 60, 12, 40
	streamTimeout                       = 6 * time.Second
)

func stopConfig(version int) map[string]any {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": prefix, "kind": "streaming", "timeout-ms": streamTimeout.Milliseconds(), "target-latency-ms": 400, "target-gap-ms": 300,
			"priority": 1, "service": "desk", "attempts": 2, "public": true, "resumable": true,
		}
	}
	c := plainConfig(version)
	c["routes"] = []any{route("daily-summary", "/stream/summary/"), route("shift-handover", "/stream/handover/")}
	return c
}

// plannedStop sends SIGTERM to an entry whose requesters go on to use their channels.
func plannedStop() {
	s, _, entries := plainSystem(2, "--gap", streamGap.String())
	s.put("config", "main", stopConfig(4))
	time.Sleep(1500 * time.Millisecond)
	e := entries[0]
	var (
		wait       sync.WaitGroup
		mu         sync.Mutex
		stoppedAt  time.Time
		whole, cut int
	)
	stream := func(client *http.Client, kind string, events int) {
		id := newID()
		path := fmt.Sprintf("/stream/%s/%d/%s", kind, events, id)
		sentAt := time.Now()
		a := call(client, http.MethodPost, e.callers, path, id, streamTimeout)
		noteAnswer(path, e, a)
		mu.Lock()
		defer mu.Unlock()
		got := strings.Count(a.body, "data:")
		switch {
		case a.err == nil && a.status == http.StatusOK && got == events:
			whole++
		case a.status == http.StatusOK && !stoppedAt.IsZero() && sentAt.After(stoppedAt.Add(lateAfter)) && time.Since(sentAt) < streamTimeout-500*time.Millisecond:
			cut++
			note("cut: %s was sent %.2f s after SIGTERM on a kept channel, which ended %.2f s after SIGTERM with %d of %d events; its deadline was %.2f s after SIGTERM",
				path, sentAt.Sub(stoppedAt).Seconds(), time.Since(stoppedAt).Seconds(), got, events, sentAt.Add(streamTimeout).Sub(stoppedAt).Seconds())
		}
	}
	begun := time.Now()
	termAt := begun.Add(8 * time.Second)
	// Usual requests of the second kind before the stop.
	for range 2 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := newClient()
			for time.Now().Before(termAt.Add(-time.Second)) {
				stream(client, "handover", usualEvents)
				time.Sleep(500 * time.Millisecond)
			}
			client.CloseIdleConnections()
		}()
	}
	// Requesters that use their channels for one request after the other.
	for i := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := newClient()
			time.Sleep(time.Until(termAt.Add(time.Duration(-400+50*i) * time.Millisecond)))
			stream(client, "summary", longEvents)
			stream(client, "handover", moreEvents)
		}()
	}
	time.Sleep(time.Until(termAt))
	if troubled() {
		mu.Lock()
		stoppedAt = time.Now()
		mu.Unlock()
		e.signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() {
			if !e.ended() {
				e.signal(syscall.SIGKILL)
			}
		})
	}
	wait.Wait()
	text := fmt.Sprintf("%d whole streams, %d that were passed on later than %v after SIGTERM and cut off", whole, cut, lateAfter)
	if whole < 10 {
		cannotRun("%s", text)
	}
	verdict("LOST", cut, text)
}
