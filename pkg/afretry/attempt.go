// Package afretry decides whether a call that failed may be sent again.
package afretry

import (
	"net/http"

	"arbutusfork.example/arbutusfork"
)

// NotRunHeader is set to "true" by an endpoint on a 503 answer to say that it did not run the call.
const NotRunHeader = "X-Not-Run"

// Attempt is what is known about one sending of a call.
type Attempt struct {
	// RequestWritten tells that bytes of the request were handed to a connection and may have reached the endpoint.
	RequestWritten bool
	// StatusCode is the status of the endpoint's answer. Zero means that there was none.
	StatusCode int
	// NotRun tells that the answer carried NotRunHeader.
	NotRun bool
	// ResponseTruncated tells that the answer ended before it was complete.
	ResponseTruncated bool
}

// ClassifyAttempt returns what the attempt says about whether the call ran.
func ClassifyAttempt(a Attempt) arbutusfork.Outcome {
	switch {
	case a.StatusCode == http.StatusTooManyRequests, a.StatusCode == http.StatusServiceUnavailable && a.NotRun:
		return arbutusfork.OutcomeNotRun
	case a.StatusCode != 0 && !a.ResponseTruncated:
		return arbutusfork.OutcomeAnswered
	case a.StatusCode == 0 && !a.RequestWritten:
		return arbutusfork.OutcomeNotRun
	default:
		return arbutusfork.OutcomeUnknown
	}
}

// MayRetry reports whether the call may be sent again after an attempt with the outcome. Relayed tells that a part
// of an answer has already reached the caller.
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
