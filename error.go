package shallotrouter

import (
	"fmt"
	"time"
)

// Error is a refusal with its reason and remedy. No task was started when an
// Error is returned before a job was handed to an entry host.
type Error struct {
	// Reason is the kind of the error.
	Reason Reason
	// Message says what is wrong and names the remedy.
	Message string
	// After is how long to wait before coming back; zero means that coming
	// back does not help.
	After time.Duration
}

// Error returns the reason and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Message)
}

// Errorf makes an Error with a formatted message.
func Errorf(reason Reason, format string, args ...any) *Error {
	return &Error{Reason: reason, Message: fmt.Sprintf(format, args...)}
}
