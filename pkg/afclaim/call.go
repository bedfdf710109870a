// Package afclaim decides whether a call that must run at most once may be dispatched.
package afclaim

// Call identifies one call that must run at most once.
type Call struct {
	Customer string
	Route    string
	// IdempotencyKey is the caller's idempotency key.
	IdempotencyKey string
	// RequestDigest is the digest of the request's method, path and body.
	RequestDigest string
}

// Answer is the stored answer of a call.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"type"`
	Body        []byte `json:"body"`
}

//go:generate stringer -type=Verdict -linecomment -output=call_string.go

// Verdict says what the caller of Claim must do.
type Verdict int

// The verdicts.
const (
	// VerdictGranted means that the claim is durable and the call may be dispatched once.
	VerdictGranted Verdict = iota // granted
	// VerdictStored means that the call ran before and its answer is at hand.
	VerdictStored // stored
	// VerdictInProgress means that another request holds the claim and its VM is alive.
	VerdictInProgress // in progress
	// VerdictUnknown means that the call may have run and no answer was kept.
	VerdictUnknown // unknown
	// VerdictKeyReused means that the key was used for another body.
	VerdictKeyReused // reused
)

// Result is the verdict on a call, with the stored answer if there is one.
type Result struct {
	Verdict Verdict
	Answer  Answer
}
