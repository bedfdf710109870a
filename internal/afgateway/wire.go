package afgateway

import (
	"net/http"
	"time"
)

// Wire translates between HTTP headers and what the gateway knows of a request. The gateway names no header itself.
type Wire struct {
	// Read returns what a caller's headers say. It fails if one cannot be read.
	Read func(h http.Header) (Call, error)
	// Write returns the headers of the request to an endpoint: those of the caller that are passed on, and Sending.
	Write func(h http.Header, s Sending) http.Header
	// Answer returns what an endpoint's headers say.
	Answer func(status int, h http.Header) Answer
	// Pass returns the headers of an endpoint's answer that are passed on to the caller.
	Pass func(h http.Header) http.Header
	// Echo returns the headers of an answer of the gateway itself.
	Echo func(id string) http.Header
}

// Call is what a caller's headers say.
type Call struct {
	// ID names this attempt of the caller.
	ID string
	// Patience is how long the caller waits. Zero means that it did not say.
	Patience time.Duration
	// Key is the caller's key in clear text. It is never logged.
	Key string
	// Model and Adapter name what the request runs on. They are empty for plain services.
	Model, Adapter string
	// Prompt and Output are the tokens of the prompt and the largest number of generated ones. Counted tells that the
	// caller said so.
	Prompt, Output int64
	Counted        bool
	// Parts are the parts of the prompt in order, which requests share.
	Parts []Part
	// After is the last event that the caller has. Empty means that the stream begins anew.
	After string
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int64
}

// Sending is what the gateway adds to a request.
type Sending struct {
	// Endpoint is the ID of the only endpoint that may run the request.
	Endpoint string
	// Patience is how long the endpoint may take.
	Patience time.Duration
	// Customer is empty for requests without a key.
	Customer string
	// Urgency is the rank of the request, 0 to 9, the most urgent first. It is left out if Ranked is false.
	Urgency int
	Ranked  bool
	// After replaces the event after which the stream goes on, unless it is empty.
	After string
}

// Answer is what an endpoint's headers say.
type Answer struct {
	// ID is the request that the endpoint answers. Empty means that it did not say.
	ID string
	// NotRun means that the endpoint says that it did not run the request.
	NotRun bool
}
