// Package entrytest provides fakes for the entry's tests.
package entrytest

import (
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// Router is a mulberryspool.Router that chooses the ready agent whose name
	// sorts first.
	Router struct {
		agents map[mulberryspool.InstanceID]mulberryspool.Candidate
	}

	// Admission is a mulberryspool.Admission that admits up to Limit requests
	// and queues up to Queue more.
	Admission struct {
		Limit, Queue int
		// Retries is the number of retries left; a negative number means no limit.
		Retries int

		admitted map[mulberryspool.RequestID]bool
		queued   []mulberryspool.AdmissionRequest
	}
)

// Update implements mulberryspool.Router.
func (r *Router) Update(c mulberryspool.Candidate) {
	if r.agents == nil {
		r.agents = make(map[mulberryspool.InstanceID]mulberryspool.Candidate)
	}
	r.agents[c.Instance] = c
}

// Remove implements mulberryspool.Router.
func (r *Router) Remove(id mulberryspool.InstanceID) {
	delete(r.agents, id)
}

// Choose implements mulberryspool.Router.
func (r *Router) Choose(request mulberryspool.RoutingRequest) (mulberryspool.InstanceID, bool) {
	var ready []mulberryspool.InstanceID
	for id, c := range r.agents {
		if c.Ready && !slices.Contains(request.Exclude, id) {
			ready = append(ready, id)
		}
	}
	if len(ready) == 0 {
		return "", false
	}
	return slices.Min(ready), true
}

// RecordStart implements mulberryspool.Router.
func (r *Router) RecordStart(mulberryspool.InstanceID, int, time.Time) {}

// RecordEnd implements mulberryspool.Router.
func (r *Router) RecordEnd(mulberryspool.InstanceID, mulberryspool.RoutingResult) {}

// SetCapacity implements mulberryspool.Admission.
func (a *Admission) SetCapacity(int, float64) {}

// Offer implements mulberryspool.Admission.
func (a *Admission) Offer(request mulberryspool.AdmissionRequest, _ time.Time) mulberryspool.AdmissionDecision {
	if a.admitted == nil {
		a.admitted = make(map[mulberryspool.RequestID]bool)
	}
	switch {
	case len(a.admitted) < a.Limit:
		a.admitted[request.ID] = true
		return mulberryspool.AdmissionDecision{Admitted: true}
	case len(a.queued) < a.Queue:
		a.queued = append(a.queued, request)
		return mulberryspool.AdmissionDecision{Queued: true}
	}
	return mulberryspool.AdmissionDecision{Reason: "full", RetryAfter: time.Second}
}

// Next implements mulberryspool.Admission.
func (a *Admission) Next(now time.Time) (admitted, expired []mulberryspool.RequestID) {
	var waiting []mulberryspool.AdmissionRequest
	for _, request := range a.queued {
		switch {
		case !request.Deadline.After(now):
			expired = append(expired, request.ID)
		case len(a.admitted) < a.Limit:
			a.admitted[request.ID] = true
			admitted = append(admitted, request.ID)
		default:
			waiting = append(waiting, request)
		}
	}
	a.queued = waiting
	return admitted, expired
}

// Release implements mulberryspool.Admission.
func (a *Admission) Release(id mulberryspool.RequestID, _ time.Time) {
	delete(a.admitted, id)
	a.queued = slices.DeleteFunc(a.queued, func(r mulberryspool.AdmissionRequest) bool { return r.ID == id })
}

// AllowRetry implements mulberryspool.Admission.
func (a *Admission) AllowRetry(time.Time) bool {
	if a.Retries == 0 {
		return false
	}
	a.Retries--
	return true
}

// InUse returns the number of admitted and queued requests.
func (a *Admission) InUse() int {
	return len(a.admitted) + len(a.queued)
}
