package arbutusfork

import (
	"net/http"
	"time"
)

//go:generate stringer -type=Code -linecomment -output=refusal_string.go

// Code is the stable identity of a refusal that callers may program against.
type Code int

// The codes of refusals. The text in the comment is the wire form.
const (
	CodeBadRequest     Code = iota // bad_request
	CodeNoKey                      // missing_key
	CodeBadKey                     // invalid_key
	CodeNotAllowed                 // not_allowed
	CodeNoRoute                    // unknown_route
	CodeNoModel                    // unknown_model
	CodeTooLarge                   // too_large
	CodeLimited                    // rate_limited
	CodeDeadline                   // deadline_exceeded
	CodeNoCapacity                 // no_capacity
	CodeStale                      // configuration_stale
	CodeStopping                   // shutting_down
	CodeClaim                      // claim_unavailable
	CodeInProgress                 // call_in_progress
	CodeReused                     // idempotency_key_reused
	CodeEndpoint                   // endpoint_failed
	CodeWithdrawn                  // key_withdrawn
	CodeTimeout                    // request_timeout
	CodeMethod                     // method_not_allowed
	CodeHeaders                    // headers_too_large
	CodeOutcomeUnclear             // outcome_unknown
)

var codeStatus = map[Code]int{
	CodeBadRequest:     http.StatusBadRequest,
	CodeNoKey:          http.StatusUnauthorized,
	CodeBadKey:         http.StatusUnauthorized,
	CodeNotAllowed:     http.StatusForbidden,
	CodeNoRoute:        http.StatusNotFound,
	CodeNoModel:        http.StatusNotFound,
	CodeTooLarge:       http.StatusRequestEntityTooLarge,
	CodeLimited:        http.StatusTooManyRequests,
	CodeDeadline:       http.StatusServiceUnavailable,
	CodeNoCapacity:     http.StatusServiceUnavailable,
	CodeStale:          http.StatusServiceUnavailable,
	CodeStopping:       http.StatusServiceUnavailable,
	CodeClaim:          http.StatusServiceUnavailable,
	CodeInProgress:     http.StatusConflict,
	CodeReused:         http.StatusUnprocessableEntity,
	CodeEndpoint:       http.StatusBadGateway,
	CodeWithdrawn:      http.StatusUnauthorized,
	CodeTimeout:        http.StatusRequestTimeout,
	CodeMethod:         http.StatusMethodNotAllowed,
	CodeHeaders:        http.StatusRequestHeaderFieldsTooLarge,
	CodeOutcomeUnclear: http.StatusConflict,
}

// Refusal tells a caller why its request was not answered and whether it may have run.
type Refusal struct {
	Code    Code
	Message string
	// Outcome is OutcomeNotRun only if no byte could have reached an endpoint or the endpoint said so.
	Outcome Outcome
	// RetryAfter is the time after which a retry can succeed. Zero means unknown.
	RetryAfter time.Duration
}

// Refuse returns a refusal of a request that did not run.
func Refuse(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Outcome: OutcomeNotRun}
}

// WithRetryAfter returns a copy that tells the caller when to try again.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// WithOutcome returns a copy with another outcome.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	c := *r
	c.Outcome = o
	return &c
}

// Status returns the HTTP status code of the refusal.
func (r *Refusal) Status() int { return codeStatus[r.Code] }

// Error returns the message with its code.
func (r *Refusal) Error() string { return r.Code.String() + ": " + r.Message }
