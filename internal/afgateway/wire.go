package afgateway

import (
	"net/http"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afnotice"
)

// HeaderCodec translates between HTTP headers and the values that the gateway uses, so that the gateway does not depend on
// the names of headers.
type HeaderCodec struct {
	// ParseRequest returns the values of a caller's headers. It fails if a header is malformed.
	ParseRequest func(h http.Header) (RequestHeaders, error)
	// BuildForwarded returns the headers of a request to an endpoint: the caller's headers that are forwarded, and s.
	BuildForwarded func(h http.Header, s ForwardedHeaders) http.Header
	// ParseResponse returns the values of an endpoint's headers.
	ParseResponse func(status int, h http.Header) ResponseHeaders
	// FilterResponse returns the headers of an endpoint's response that are relayed to the caller.
	FilterResponse func(h http.Header) http.Header
	// BuildRefusal returns the headers of a response that the gateway itself sends to the request with the ID.
	BuildRefusal func(id string) http.Header
}

// RequestHeaders are the values of a caller's headers.
type RequestHeaders struct {
	// RequestID identifies this attempt of the caller. It is made up if the caller sent none.
	RequestID string
	// Timeout is how long the caller waits for the response. Zero means unknown.
	Timeout time.Duration
	// Key is the caller's key in clear text. It is never logged.
	Key string
	// Model is the model that runs the request. It is empty for services without model engines.
	Model string
	// Adapter is the adapter of the model. Empty means none.
	Adapter string
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int64
	// MaxOutputTokens is the largest number of tokens that the model may generate.
	MaxOutputTokens int64
	// HasTokenCounts means that the caller sent PromptTokens and MaxOutputTokens.
	HasTokenCounts bool
	// PromptParts are the parts of the prompt in order. Other requests may share them.
	PromptParts []PromptPart
	// LastEventID is the ID of the last event that the caller received. Empty means that the stream starts at its beginning.
	LastEventID string
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID string
	// Tokens is the number of tokens of the part.
	Tokens int64
}

// ForwardedHeaders are the values that the gateway adds to the headers of a request to an endpoint.
type ForwardedHeaders struct {
	// EndpointID is the ID of the only endpoint that may run the request.
	EndpointID string
	// Timeout is how long the endpoint may take.
	Timeout time.Duration
	// Customer is empty for requests without a key.
	Customer string
	// Priority is the priority of the request, 0 to 9. Zero is the most urgent. It is left out if HasPriority is false.
	Priority    int
	HasPriority bool
	// LastEventID replaces the caller's last event unless it is empty.
	LastEventID string
	// RequestID is the ID of the request, which the endpoint repeats in its response.
	RequestID string
}

// ResponseHeaders are the values of an endpoint's headers.
type ResponseHeaders struct {
	// RequestID is the ID of the request to which the endpoint responds. Empty means unknown.
	RequestID string
	// NotRun means that the endpoint reported that it did not run the request.
	NotRun bool
	// Limit is the number of requests a second that the endpoint takes from all VMs together. Zero means that it named none.
	Limit float64
	// Said is what the endpoint said about itself.
	Said afnotice.Statement
}
