package afentry

import (
	"io"
	"math"
	"net/http"
	"path"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
)

const (
	pathModels     = "/v1/models"
	pathChat       = "/v1/chat/completions"
	pathText       = "/v1/completions"
	pathEmbeddings = "/v1/embeddings"

	timeoutHeader = "X-Request-Timeout"
	onceHeader    = "Idempotency-Key"
	maxOnceKey    = 255
	// maxTimeout bounds X-Request-Timeout, so that a forgotten request does not wait for days.
	maxTimeout = time.Hour
)

// exchange is one request with what was decided about it.
type exchange struct {
	id       string
	w        *response
	r        *http.Request
	link     *link
	arrived  time.Time
	body     []byte
	snapshot *afconfig.Snapshot
	index    *index
	// digest is the digest of the caller's key. It is empty without a key.
	digest string
	// customer is empty on open routes without a key.
	customer arbutusfork.Customer
	route    arbutusfork.Route
	service  string
	infer    *inference // infer is nil for calls of plain services.
	deadline time.Time
	once     string // once is the idempotency key of a call on a route with Once.
	// param names the field of the request that a refusal is about.
	param string
}

// parse reads what the headers and the path say.
func (s *Server) parse(x *exchange) *arbutusfork.Refusal {
	x.id = x.r.Header.Get(requestHeader)
	if !isSaneID(x.id) {
		x.id = s.NewRequestID()
	}
	x.snapshot = s.Snapshot()
	x.index = s.indexes.get(x.snapshot)
	p := x.r.URL.Path
	if p == "" || p[0] != '/' || (path.Clean(p) != p && path.Clean(p)+"/" != p) {
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "the path is not in its shortest form")
	}
	// The engine has the whole body before it hands over the request.
	if b, ok := x.r.Body.(*nbhttp.BodyReader); ok {
		x.body = make([]byte, b.Left())
		if _, err := io.ReadFull(b, x.body); err != nil {
			return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "the body cannot be read")
		}
	}
	return nil
}

// timeout sets the deadline to the first byte of the answer.
func (x *exchange) timeout() *arbutusfork.Refusal {
	d := x.route.FirstByteTimeout()
	if v := x.r.Header.Get(timeoutHeader); v != "" {
		seconds, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(seconds) || seconds <= 0 {
			x.param = timeoutHeader
			return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, timeoutHeader+" is not a positive number of seconds")
		}
		d = time.Duration(min(seconds, maxTimeout.Seconds()) * float64(time.Second))
	}
	x.deadline = x.arrived.Add(d)
	return nil
}

// idempotency reads the idempotency key of a call on a route with Once.
func (x *exchange) idempotency() *arbutusfork.Refusal {
	v := x.r.Header.Get(onceHeader)
	if !x.route.RunsAtMostOnce || v == "" {
		return nil
	}
	if len(v) > maxOnceKey {
		x.param = onceHeader
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, onceHeader+" is longer than 255 bytes")
	}
	x.once = v
	return nil
}
