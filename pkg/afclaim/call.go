// Package afclaim decides whether a call that must run at most once may be dispatched.
package afclaim

// Call identifies a call that must run at most once.
type Call struct {
	Customer string
	Route    string
	// IdempotencyKey is the key that the caller has chosen for the call.
	IdempotencyKey string
	// RequestDigest is the digest of the request's method, path and body.
	RequestDigest string
}

// Answer is the stored answer to a call.
type Answer struct {
	// Status is the HTTP status code.
	Status      int    `json:"status"`
	ContentType string `json:"type"`
	Body        []byte `json:"body"`
}

//go:generate stringer -type=Verdict -linecomment -output=call_string.go

// Verdict states whether a call may be dispatched, and if not, why.
type Verdict int

// The verdicts.
const (
	// VerdictGranted means that the claim is durable and that the call may be dispatched once.
	VerdictGranted Verdict = iota // granted
	// VerdictStored means that the call has run before and that its answer is stored.
	VerdictStored // stored
	// VerdictInProgress means that another attempt holds the claim and that its VM is alive.
	VerdictInProgress // in progress
	// VerdictUnknown means that the call may have run and that no answer is stored.
	VerdictUnknown // unknown
	// VerdictKeyReused means that the idempotency key was used for a different request.
	VerdictKeyReused // reused
)

// Result is the verdict on a call.
type Result struct {
	Verdict Verdict
	// Answer is the stored answer. It is set for VerdictStored.
	Answer Answer
}
