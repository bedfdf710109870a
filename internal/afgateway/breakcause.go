package afgateway

import "github.com/go-faster/errors"

//go:generate stringer -type=breakCause -linecomment -output=breakcause_string.go

// breakCause is why an answer to a caller ended before it was whole.
type breakCause int

const (
	// breakByEndpoint means that the endpoint broke its answer off or sent something that cannot be relayed.
	breakByEndpoint breakCause = iota // endpoint
	// breakByDeadline means that the deadline of the request passed.
	breakByDeadline // deadline
	// breakByStop means that the process was about to end.
	breakByStop // stop
	// breakByCaller means that the caller disconnected.
	breakByCaller // caller
)

// breakCauseOf returns the cause of the end of an attempt whose context was cancelled with a cause, or was not.
func breakCauseOf(cause error) breakCause {
	switch {
	case cause == nil, errors.Is(cause, errReplaced):
		return breakByEndpoint
	case errors.Is(cause, errDeadline):
		return breakByDeadline
	case errors.Is(cause, errStopping):
		return breakByStop
	}
	return breakByCaller
}
