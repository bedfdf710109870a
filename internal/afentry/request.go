package afentry

import (
	"math"
	"net/http"
	"path"
	"strconv"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
)

const (
	pathModels      = "/v1/models"
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathEmbeddings  = "/v1/embeddings"

	timeoutHeader        = "X-Request-Timeout"
	idempotencyKeyHeader = "Idempotency-Key"
	// maxIdempotencyKeyBytes limits the length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxRequestTimeout limits X-Request-Timeout, so that an abandoned request does not wait for days.
	maxRequestTimeout = time.Hour
)

// exchange is one request and its response writer, with the results of authentication and routing.
type exchange struct {
	id        string
	w         *response
	r         *http.Request
	conn      *serverConn
	arrivedAt time.Time
	body      []byte
	snapshot  *afconfig.Snapshot
	index     *routeIndex
	// keyDigest is the digest of the caller's key. It is empty if the request has no valid key.
	keyDigest string
	// customer is the customer of the key. It is the zero value if the request has no valid key.
	customer arbutusfork.Customer
	route    arbutusfork.Route
	// service is the name of the service that the route leads to.
	service string
	// inference is the parsed body of a model request. It is nil for requests to plain services.
	inference *inferenceRequest
	// deadline is when the first byte of the response is due.
	deadline time.Time
	// idempotencyKey is the idempotency key of a request on a route with RunsAtMostOnce. It is empty if the request has none.
	idempotencyKey string
	// refusalParam names the field or header of the request that caused the refusal, if any.
	refusalParam string
}

// readRequest sets the request id, the configuration snapshot and the body, and checks the path.
func (s *Server) readRequest(x *exchange) *arbutusfork.Refusal {
	x.id = x.r.Header.Get(requestIDHeader)
	if !isValidRequestID(x.id) {
		x.id = s.NewRequestID()
	}
	x.snapshot = s.Snapshot()
	x.index = s.routeIndexes.indexFor(x.snapshot)
	p := x.r.URL.Path
	if p == "" || p[0] != '/' || (path.Clean(p) != p && path.Clean(p)+"/" != p) {
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "the path is not in its shortest form")
	}
	if b, ok := x.r.Body.(*Body); ok {
		if b.IsRefused() {
			return outOfMemory()
		}
		x.body = b.Bytes()
	}
	return nil
}

// setDeadline sets the deadline for the first byte of the response, from the X-Request-Timeout header or the route.
func (x *exchange) setDeadline() *arbutusfork.Refusal {
	d := x.route.FirstByteTimeout()
	if v := x.r.Header.Get(timeoutHeader); v != "" {
		seconds, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(seconds) || seconds <= 0 {
			x.refusalParam = timeoutHeader
			return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, timeoutHeader+" is not a positive number of seconds")
		}
		d = time.Duration(min(seconds, maxRequestTimeout.Seconds()) * float64(time.Second))
	}
	x.deadline = x.arrivedAt.Add(d)
	return nil
}

// readIdempotencyKey sets the idempotency key of a request on a route with RunsAtMostOnce.
func (x *exchange) readIdempotencyKey() *arbutusfork.Refusal {
	v := x.r.Header.Get(idempotencyKeyHeader)
	if !x.route.RunsAtMostOnce || v == "" {
		return nil
	}
	if len(v) > maxIdempotencyKeyBytes {
		x.refusalParam = idempotencyKeyHeader
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, idempotencyKeyHeader+" is longer than 255 bytes")
	}
	x.idempotencyKey = v
	return nil
}
