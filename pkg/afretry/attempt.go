// Package afretry decides whether a failed call may be retried, and bounds the number of retries.
package afretry

import (
	"net/http"

	"arbutusfork.example/arbutusfork"
)

// NotRunHeader is the header of a 429 or 503 response by which an endpoint reports, with the value "true", that it did not run
// the call. Without it, the status may come from behind the endpoint, after the call began to run.
const NotRunHeader = "X-Not-Run"

// Attempt is what the sender of a call knows about one attempt.
type Attempt struct {
	// RequestWritten means that bytes of the request were written to a connection and may have reached the endpoint.
	RequestWritten bool
	// StatusCode is the HTTP status of the endpoint's response. Zero means that no response arrived.
	StatusCode int
	// NotRun means that the response carried NotRunHeader.
	NotRun bool
	// MayBeRepeated means that the response arrived on a connection that was used before, so that it may be the second copy of
	// the response to an earlier call.
	MayBeRepeated bool
	// ResponseTruncated means that the response ended before it was complete.
	ResponseTruncated bool
}

// ClassifyAttempt returns whether the call was answered, was not run, or may have run (OutcomeUnknown).
func ClassifyAttempt(a Attempt) arbutusfork.Outcome {
	isRefusal := a.NotRun && (a.StatusCode == http.StatusTooManyRequests || a.StatusCode == http.StatusServiceUnavailable)
	switch {
	case isRefusal && a.MayBeRepeated:
		return arbutusfork.OutcomeUnknown
	case isRefusal:
		return arbutusfork.OutcomeNotRun
	case a.StatusCode == http.StatusTooManyRequests:
		return arbutusfork.OutcomeUnknown // Another endpoint may have room, if the call may be repeated.
	case a.StatusCode != 0 && !a.ResponseTruncated:
		return arbutusfork.OutcomeAnswered
	case a.StatusCode == 0 && !a.RequestWritten:
		return arbutusfork.OutcomeNotRun
	default:
		return arbutusfork.OutcomeUnknown
	}
}

// MayRetry reports whether a call may be retried after an attempt with the outcome. Relayed means that a part of a response
// has already been sent to the caller.
func MayRetry(outcome arbutusfork.Outcome, idempotent, relayed bool) bool {
	switch outcome {
	case arbutusfork.OutcomeNotRun:
		return !relayed
	case arbutusfork.OutcomeUnknown:
		return idempotent && !relayed
	default:
		return false
	}
}
