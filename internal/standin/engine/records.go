package engine

import (
	"context"
	"sync"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// ExecutionOutcome says how an execution ended.
type ExecutionOutcome string

// Outcomes of an execution.
const (
	ExecutionRunning   ExecutionOutcome = "running"
	ExecutionCompleted ExecutionOutcome = "completed"
	ExecutionCancelled ExecutionOutcome = "cancelled"
	// ExecutionFailed is for an answer that a fault broke off.
	ExecutionFailed ExecutionOutcome = "failed"
)

type (
	// Execution is one run of a request, from the moment that it has a place
	// in the batch. A request that was cancelled before has none.
	Execution struct {
		RequestID mulberryspool.RequestID `json:"requestID"`
		Workspace string                  `json:"workspace,omitempty"`
		Priority  int                     `json:"priority,omitempty"`
		// Body is the digest of the request's body.
		Body mulberryspool.Digest `json:"body"`
		// StartDigest and EndDigest are those of the loaded weights.
		StartDigest  mulberryspool.Digest `json:"startDigest"`
		EndDigest    mulberryspool.Digest `json:"endDigest,omitempty"`
		Outcome      ExecutionOutcome     `json:"outcome"`
		Tokens       int                  `json:"tokens"`
		CachedTokens int                  `json:"cachedTokens"`
		Started      time.Time            `json:"started"`
		Ended        time.Time            `json:"ended"`
	}

	// ExecutionList is the body of GET /admin/executions.
	ExecutionList struct {
		Executions []Execution `json:"executions"`
		// Dropped counts the oldest ones that are no longer kept.
		Dropped int `json:"dropped"`
	}

	records struct {
		limit int

		mu         sync.Mutex
		executions []*Execution
		dropped    int
		// cancels holds the requests that run or wait.
		cancels map[mulberryspool.RequestID]map[*context.CancelFunc]struct{}
	}
)

func (c *records) init(limit int) {
	c.limit = limit
	c.cancels = make(map[mulberryspool.RequestID]map[*context.CancelFunc]struct{})
}

// track makes a request cancellable until the returned function is called.
func (c *records) track(id mulberryspool.RequestID, cancel context.CancelFunc) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancels[id] == nil {
		c.cancels[id] = make(map[*context.CancelFunc]struct{})
	}
	c.cancels[id][&cancel] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.cancels[id], &cancel)
		if len(c.cancels[id]) == 0 {
			delete(c.cancels, id)
		}
	}
}

func (c *records) cancel(id mulberryspool.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cancel := range c.cancels[id] {
		(*cancel)()
	}
	return len(c.cancels[id]) > 0
}

func (c *records) start(execution Execution) *Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	execution.Outcome = ExecutionRunning
	c.executions = append(c.executions, &execution)
	if len(c.executions) > c.limit {
		c.executions = c.executions[1:]
		c.dropped++
	}
	return &execution
}

func (c *records) end(execution *Execution, outcome ExecutionOutcome, tokens int, digest mulberryspool.Digest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	execution.Outcome, execution.Tokens, execution.EndDigest, execution.Ended = outcome, tokens, digest, now
}

func (c *records) read(id mulberryspool.RequestID) ExecutionList {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := ExecutionList{Executions: []Execution{}, Dropped: c.dropped}
	for _, e := range c.executions {
		if id == "" || e.RequestID == id {
			found.Executions = append(found.Executions, *e)
		}
	}
	return found
}
