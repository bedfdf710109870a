// Package afclaim decides whether a call that must run at most once may be dispatched.
package afclaim

// Call identifies one call that must run at most once.
type Call struct {
	Customer string
	Route    string
	// Key is the caller's idempotency key.
	Key string
	// Body is the digest of the request's method, path and body.
	Body string
}

// Answer is the stored answer of a call.
type Answer struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   []byte `json:"body"`
}

//go:generate stringer -type=Verdict -linecomment -output=call_string.go

// Verdict says what the caller of Claim must do.
type Verdict int

// The verdicts.
const (
	// Granted means that the claim is durable and the call may be dispatched once.
	Granted Verdict = iota // granted
	// Stored means that the call ran before and its answer is at hand.
	Stored // stored
	// InProgress means that another request holds the claim and its VM is alive.
	InProgress // in progress
	// Unclear means that the call may have run and no answer was kept.
	Unclear // unknown
	// Reused means that the key was used for another body.
	Reused // reused
)

// Result is the verdict on a call, with the stored answer if there is one.
type Result struct {
	Verdict Verdict
	Answer  Answer
}
