package engine

import (
	"context"
	"sync"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// ExecutionOutcome tells how an execution ended, or that it still runs.
type ExecutionOutcome string

// Values of ExecutionOutcome.
const (
	ExecutionRunning   ExecutionOutcome = "running"
	ExecutionCompleted ExecutionOutcome = "completed"
	ExecutionCancelled ExecutionOutcome = "cancelled"
	// ExecutionFailed means that an injected fault cut off the answer.
	ExecutionFailed ExecutionOutcome = "failed"
)

type (
	// Execution is one run of a request. It starts when the request gets a slot
	// in the batch; a request that is cancelled while it waits has none.
	Execution struct {
		RequestID mulberryspool.RequestID `json:"requestID"`
		Workspace string                  `json:"workspace,omitempty"`
		Priority  int                     `json:"priority,omitempty"`
		// Body is the digest of the request's body.
		Body mulberryspool.Digest `json:"body"`
		// StartDigest and EndDigest are the digests of the weights that were
		// loaded at the start and at the end of the execution.
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
		// Dropped is the number of executions dropped above
		// Server.MaxExecutions.
		Dropped int `json:"dropped"`
	}

	// records holds the executions, and the requests that can be cancelled.
	records struct {
		limit int

		mu         sync.Mutex
		executions []*Execution
		dropped    int
		// cancelFuncs holds the functions that cancel the running and waiting
		// requests. Requests with the same ID have one each.
		cancelFuncs map[mulberryspool.RequestID]map[*context.CancelFunc]struct{}
	}
)

func (c *records) init(limit int) {
	c.limit = limit
	c.cancelFuncs = make(map[mulberryspool.RequestID]map[*context.CancelFunc]struct{})
}

// track makes a request cancellable by its ID until the returned function is
// called.
func (c *records) track(id mulberryspool.RequestID, cancel context.CancelFunc) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelFuncs[id] == nil {
		c.cancelFuncs[id] = make(map[*context.CancelFunc]struct{})
	}
	c.cancelFuncs[id][&cancel] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.cancelFuncs[id], &cancel)
		if len(c.cancelFuncs[id]) == 0 {
			delete(c.cancelFuncs, id)
		}
	}
}

// cancel cancels all requests with an ID. It returns false if there are none.
func (c *records) cancel(id mulberryspool.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cancel := range c.cancelFuncs[id] {
		(*cancel)()
	}
	return len(c.cancelFuncs[id]) > 0
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

// read returns the executions of one request, or of all requests if the ID is
// empty.
func (c *records) read(id mulberryspool.RequestID) ExecutionList {
	c.mu.Lock()
	defer c.mu.Unlock()
	matching := ExecutionList{Executions: []Execution{}, Dropped: c.dropped}
	for _, e := range c.executions {
		if id == "" || e.RequestID == id {
			matching.Executions = append(matching.Executions, *e)
		}
	}
	return matching
}
