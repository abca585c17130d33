package shallotrouter

import (
	"fmt"
	"time"
)

// Error is a refused request, with the reason and a remedy. If it is returned
// before a job was handed to an entry host, no task was started.
type Error struct {
	// Reason is the kind of the error.
	Reason Reason
	// Message says what is wrong and what to do about it.
	Message string
	// After is how long to wait before a retry; zero means that a retry does
	// not help.
	After time.Duration
}

// Error implements the error interface. It returns the reason and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Message)
}

// Errorf returns an Error with a formatted message.
func Errorf(reason Reason, format string, args ...any) *Error {
	return &Error{Reason: reason, Message: fmt.Sprintf(format, args...)}
}
