package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mulberryspool/mulberryspool/internal/standin/origin"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

const (
	sequentialRequests = 2000
	concurrentCallers  = 32
	requestsPerCaller  = 250
)

// timePost sends a small POST request and returns its latency.
func timePost(b *testing.B, client *http.Client, url string) time.Duration {
	b.Helper()
	began := time.Now()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader("17 in, 12 out"))
	if err != nil {
		b.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		b.Fatalf("%s answered %s", url, response.Status)
	}
	return time.Since(began)
}

// measureLatencies sends requests sequentially and returns their latencies in
// microseconds.
func measureLatencies(b *testing.B, client *http.Client, url string) *hdrhistogram.Histogram {
	b.Helper()
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for range sequentialRequests {
		if err := h.RecordValue(timePost(b, client, url).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	return h
}

// BenchmarkEntry measures the latency that entry and agent add to a direct request
// to the plain service, and the requests that an entry and an agent forward per
// second of CPU time.
func BenchmarkEntry(b *testing.B) {
	s := &system.System{Builder: &builder}
	s.Start(b)
	s.AddPlainAgent(b, "booking")
	s.AddEntry(b)
	s.Apply(b, bookingTables)
	s.AwaitReadyAgents(b, "booking", 1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentCallers}}
	defer client.CloseIdleConnections()
	through, direct := s.Entries[0].CallersURL+"/booking/confirm", s.Agents[0].BackendURL+"/confirm"
	for range b.N {
		timePost(b, client, through)
		with, without := measureLatencies(b, client, through), measureLatencies(b, client, direct)
		b.ReportMetric(float64(with.ValueAtQuantile(50)-without.ValueAtQuantile(50)), "added-median-µs")
		b.ReportMetric(float64(with.ValueAtQuantile(99)-without.ValueAtQuantile(99)), "added-p99-µs")
		entry, agent := s.Entries[0].Process.Usage(b), s.Agents[0].Process.Usage(b)
		var group sync.WaitGroup
		for range concurrentCallers {
			group.Go(func() {
				for range requestsPerCaller {
					timePost(b, client, through)
				}
			})
		}
		group.Wait()
		requests := float64(concurrentCallers * requestsPerCaller)
		b.ReportMetric(requests/(s.Entries[0].Process.Usage(b).CPUTime-entry.CPUTime).Seconds(), "entry-req/s/core")
		b.ReportMetric(requests/(s.Agents[0].Process.Usage(b).CPUTime-agent.CPUTime).Seconds(), "agent-req/s/core")
	}
}

// BenchmarkStream measures the tokens that an entry and an agent forward per
// second of CPU time. The engine sends one event per token.
func BenchmarkStream(b *testing.B) {
	const callers, each, tokens = 16, 10, 500
	s := &system.System{Builder: &builder, EngineArguments: []string{"--capacity", "64", "--tokens-per-second", "2000"}}
	s.Start(b)
	s.PutContent(b, "scribe-1", origin.Generated{Seed: 1, Size: 1 << 20})
	s.AddEngineAgent(b, "scribe")
	s.AddEntry(b)
	s.Publish(b, "v1", "scribe-1", "64 KiB")
	s.Apply(b, strings.ReplaceAll(chatTables, "VERSION", "v1"))
	s.AwaitReadyAgents(b, "scribe", 1)
	body := fmt.Sprintf(`{"model":"scribe","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"gate 4"}]}`, tokens)
	for range b.N {
		entry, agent := s.Entries[0].Process.Usage(b), s.Agents[0].Process.Usage(b)
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				for range each {
					if got := sendChat(b, s.Entries[0].CallersURL, body); got.Status != http.StatusOK {
						b.Errorf("status is %d: %s", got.Status, got.ResponseBody)
					}
				}
			})
		}
		group.Wait()
		total := float64(callers * each * tokens)
		b.ReportMetric(total/(s.Entries[0].Process.Usage(b).CPUTime-entry.CPUTime).Seconds(), "entry-tokens/s/core")
		b.ReportMetric(total/(s.Agents[0].Process.Usage(b).CPUTime-agent.CPUTime).Seconds(), "agent-tokens/s/core")
	}
}
