package arbutusfork

import (
	"net/http"
	"time"
)

//go:generate stringer -type=RefusalCode -linecomment -output=refusal_string.go

// RefusalCode classifies a refusal. Its text is part of the callers' interface.
type RefusalCode int

// The codes of refusals. The text in the comment is the form in answers.
const (
	CodeBadRequest           RefusalCode = iota // bad_request
	CodeMissingKey                              // missing_key
	CodeInvalidKey                              // invalid_key
	CodeNotAllowed                              // not_allowed
	CodeUnknownRoute                            // unknown_route
	CodeUnknownModel                            // unknown_model
	CodeBodyTooLarge                            // too_large
	CodeRateLimited                             // rate_limited
	CodeDeadlineExceeded                        // deadline_exceeded
	CodeNoCapacity                              // no_capacity
	CodeConfigurationStale                      // configuration_stale
	CodeShuttingDown                            // shutting_down
	CodeClaimUnavailable                        // claim_unavailable
	CodeCallInProgress                          // call_in_progress
	CodeIdempotencyKeyReused                    // idempotency_key_reused
	CodeEndpointFailed                          // endpoint_failed
	CodeKeyWithdrawn                            // key_withdrawn
	CodeRequestTimeout                          // request_timeout
	CodeMethodNotAllowed                        // method_not_allowed
	CodeHeadersTooLarge                         // headers_too_large
	CodeOutcomeUnknown                          // outcome_unknown
	CodePromptQuarantined                       // prompt_quarantined
)

var httpStatusByCode = map[RefusalCode]int{
	CodeBadRequest:           http.StatusBadRequest,
	CodeMissingKey:           http.StatusUnauthorized,
	CodeInvalidKey:           http.StatusUnauthorized,
	CodeNotAllowed:           http.StatusForbidden,
	CodeUnknownRoute:         http.StatusNotFound,
	CodeUnknownModel:         http.StatusNotFound,
	CodeBodyTooLarge:         http.StatusRequestEntityTooLarge,
	CodeRateLimited:          http.StatusTooManyRequests,
	CodeDeadlineExceeded:     http.StatusServiceUnavailable,
	CodeNoCapacity:           http.StatusServiceUnavailable,
	CodeConfigurationStale:   http.StatusServiceUnavailable,
	CodeShuttingDown:         http.StatusServiceUnavailable,
	CodeClaimUnavailable:     http.StatusServiceUnavailable,
	CodeCallInProgress:       http.StatusConflict,
	CodeIdempotencyKeyReused: http.StatusUnprocessableEntity,
	CodeEndpointFailed:       http.StatusBadGateway,
	CodeKeyWithdrawn:         http.StatusUnauthorized,
	CodeRequestTimeout:       http.StatusRequestTimeout,
	CodeMethodNotAllowed:     http.StatusMethodNotAllowed,
	CodeHeadersTooLarge:      http.StatusRequestHeaderFieldsTooLarge,
	CodeOutcomeUnknown:       http.StatusConflict,
	CodePromptQuarantined:    http.StatusServiceUnavailable,
}

// Refusal describes to a caller why its request got no answer of an endpoint and whether the request may have run.
type Refusal struct {
	Code RefusalCode
	// Message explains the refusal to the caller.
	Message string
	// Outcome is OutcomeNotRun only if no byte of the request can have reached an endpoint, or if the endpoint answered that
	// it did not run the request.
	Outcome Outcome
	// RetryAfter is the delay after which a retry can succeed. Zero means unknown.
	RetryAfter time.Duration
}

// NewRefusal returns a refusal of a request that did not run.
func NewRefusal(code RefusalCode, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Outcome: OutcomeNotRun}
}

// WithRetryAfter returns a copy with another delay before the caller's retry.
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

// HTTPStatus returns the HTTP status code of the refusal. Unless the request did not run, a status that promises so is replaced.
func (r *Refusal) HTTPStatus() int {
	status := httpStatusByCode[r.Code]
	if r.Outcome != OutcomeNotRun && promisesNotRun(status) {
		return http.StatusGatewayTimeout
	}
	return status
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return r.Code.String() + ": " + r.Message }
