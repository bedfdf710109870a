package afgateway

import (
	"net/http"
	"time"
)

// HeaderCodec translates between HTTP headers and what the gateway knows of a request. The gateway names no header itself.
type HeaderCodec struct {
	// ParseRequest returns what a caller's headers say. It fails if one cannot be read.
	ParseRequest func(h http.Header) (RequestHeaders, error)
	// BuildForwarded returns the headers of the request to an endpoint: those of the caller that are passed on, and ForwardedHeaders.
	BuildForwarded func(h http.Header, s ForwardedHeaders) http.Header
	// ParseResponse returns what an endpoint's headers say.
	ParseResponse func(status int, h http.Header) ResponseHeaders
	// FilterResponse returns the headers of an endpoint's answer that are passed on to the caller.
	FilterResponse func(h http.Header) http.Header
	// BuildRefusal returns the headers of an answer of the gateway itself.
	BuildRefusal func(id string) http.Header
}

// RequestHeaders is what a caller's headers say.
type RequestHeaders struct {
	// RequestID names this attempt of the caller.
	RequestID string
	// Timeout is how long the caller waits. Zero means that it did not say.
	Timeout time.Duration
	// Key is the caller's key in clear text. It is never logged.
	Key string
	// Model and Adapter name what the request runs on. They are empty for plain services.
	Model, Adapter string
	// PromptTokens and MaxOutputTokens are the tokens of the prompt and the largest number of generated ones. HasTokenCounts tells that the
	// caller said so.
	PromptTokens, MaxOutputTokens int64
	HasTokenCounts                bool
	// PromptParts are the parts of the prompt in order, which requests share.
	PromptParts []PromptPart
	// LastEventID is the last event that the caller has. Empty means that the stream begins anew.
	LastEventID string
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int64
}

// ForwardedHeaders is what the gateway adds to a request.
type ForwardedHeaders struct {
	// EndpointID is the ID of the only endpoint that may run the request.
	EndpointID string
	// Timeout is how long the endpoint may take.
	Timeout time.Duration
	// Customer is empty for requests without a key.
	Customer string
	// Priority is the rank of the request, 0 to 9, the most urgent first. It is left out if HasPriority is false.
	Priority    int
	HasPriority bool
	// LastEventID replaces the event after which the stream goes on, unless it is empty.
	LastEventID string
}

// ResponseHeaders is what an endpoint's headers say.
type ResponseHeaders struct {
	// RequestID is the request that the endpoint answers. Empty means that it did not say.
	RequestID string
	// NotRun means that the endpoint says that it did not run the request.
	NotRun bool
}
