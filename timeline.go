package mulberryspool

import "time"

// EventKind is the kind of an event.
type EventKind string

// Kinds of events on the time line.
const (
	EventProcessStarted   EventKind = "processStarted"
	EventProcessStopping  EventKind = "processStopping"
	EventRequestAdmitted  EventKind = "requestAdmitted"
	EventRequestStarted   EventKind = "requestStarted"
	EventRequestRefused   EventKind = "requestRefused"
	EventRequestResolved  EventKind = "requestResolved"
	EventRequestEnded     EventKind = "requestEnded"
	EventPeerSuspected    EventKind = "peerSuspected"
	EventPeerRestored     EventKind = "peerRestored"
	EventTablesInForce    EventKind = "tablesInForce"
	EventTablesRejected   EventKind = "tablesRejected"
	EventChunkStored      EventKind = "chunkStored"
	EventChunkCorrupted   EventKind = "chunkCorrupted"
	EventPhaseChanged     EventKind = "phaseChanged"
	EventEngineOrdered    EventKind = "engineOrdered"
	EventEngineReadBack   EventKind = "engineReadBack"
	EventSubmissionClaim  EventKind = "submissionClaimed"
	EventDeferredAccepted EventKind = "deferredAccepted"
	EventDeferredEnded    EventKind = "deferredEnded"
)

type (
	// Timestamp is a reading of a hybrid logical clock: a cause sorts before its
	// effect, also on another instance.
	Timestamp struct {
		// Wall is in nanoseconds since the Unix epoch.
		Wall int64 `json:"wall"`
		// Logical orders readings with equal Wall.
		Logical uint32 `json:"logical"`
	}

	// Event is an event on the time line.
	Event struct {
		Time          Timestamp  `json:"time"`
		Instance      InstanceID `json:"instance"`
		FailureDomain string     `json:"failureDomain,omitempty"`
		Kind          EventKind  `json:"kind"`
		RequestID     RequestID  `json:"requestID,omitempty"`
		Route         string     `json:"route,omitempty"`
		Pool          string     `json:"pool,omitempty"`
		Version       string     `json:"version,omitempty"`
		Revision      Revision   `json:"revision,omitempty"`
		Change        string     `json:"change,omitempty"`
		Step          string     `json:"step,omitempty"`
		Peer          string     `json:"peer,omitempty"`
		// Detail is free text for people.
		Detail string `json:"detail,omitempty"`
	}

	// Recorder records events. It sets Time, Instance and FailureDomain.
	Recorder interface {
		Record(event Event)
	}
)

// Before reports whether t sorts before u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Logical < u.Logical
}

// Time returns the wall part in UTC.
func (t Timestamp) Time() time.Time {
	return time.Unix(0, t.Wall).UTC()
}
