package mulberryspool

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// StepError is an error with the step and the peer at which it occurred.
type StepError struct {
	// Step is a verb phrase such as "fetch chunk".
	Step string
	// Peer is the instance or address of the remote side; empty for a local step.
	Peer string
	Err  error
}

// Error implements error.
func (e *StepError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s with %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause for errors.Is and errors.As.
func (e *StepError) Unwrap() error {
	return e.Err
}

// AtStep wraps err with its step and peer. It returns nil for a nil err.
func AtStep(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errors.WithStackDepth(&StepError{Step: step, Peer: peer, Err: err}, 1)
}
