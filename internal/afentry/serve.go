package afentry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio/nbhttp"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afdispatch"
)

// serveRequest handles one request. It is called in a goroutine of its own, for one request of a connection at a time.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	nbResponse, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	conn, ok := nbResponse.Parser.Conn.(*countingConn)
	if !ok {
		return
	}
	if b, ok := r.Body.(*Body); ok {
		b.take()
	}
	res := &response{Response: nbResponse}
	x := &exchange{w: res, r: r, conn: conn.owner, arrivedAt: s.Timer.Now()}
	// The serverConn closes the connection after the whole response has been sent, so nbhttp must not close it.
	if r.Close || s.isDraining.Load() {
		r.Close = false
		x.conn.closeAfterResponse()
		w.Header().Set("Connection", "close")
	}
	if s.ForwardRequest != nil {
		s.ForwardRequest(&CallerConn{conn: x.conn, response: res}, res, r)
		return
	}
	if refusal := s.handleRequest(x); refusal != nil {
		s.refuseRequest(x, refusal)
	}
	res.Flush()
	_ = x.conn.waitForUnsent(maxUnsentBytes)
}

// refuseRequest writes a refusal and counts it.
func (s *Server) refuseRequest(x *exchange, refusal *arbutusfork.Refusal) {
	s.metrics.refusals.WithLabelValues(refusal.Code.String()).Inc()
	s.metrics.requests.WithLabelValues(x.route.Name, refusal.Outcome.String()).Inc()
	x.w.Header().Set(requestIDHeader, x.id)
	writeRefusal(x.w, x.r.Method, refusal, x.id, x.refusalParam)
}

// handleRequest responds to the request, or returns the refusal that is still to be written.
func (s *Server) handleRequest(x *exchange) *arbutusfork.Refusal {
	if x.r.URL.Path == "/healthz" {
		writeResponse(x.w, x.r.Method, http.StatusOK, "text/plain; charset=utf-8", []byte("ok\n"))
		return nil
	}
	if refusal := s.readRequest(x); refusal != nil {
		return refusal
	}
	if x.conn.openedWhileDraining {
		x.conn.closeAfterResponse()
		return arbutusfork.NewRefusal(arbutusfork.CodeShuttingDown, "the server is stopping").WithRetryAfter(time.Second)
	}
	keyRefusal := s.authenticate(x)
	if x.r.URL.Path == pathModels {
		return s.listModels(x, keyRefusal)
	}
	if refusal := s.findRoute(x, keyRefusal); refusal != nil {
		return refusal
	}
	if refusal := x.setDeadline(); refusal != nil {
		return refusal
	}
	if refusal := x.readIdempotencyKey(); refusal != nil {
		return refusal
	}
	if x.inference != nil && x.inference.isStream && !x.r.ProtoAtLeast(1, 1) {
		x.refusalParam = "stream"
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "streams need HTTP/1.1")
	}
	return s.runRequest(x)
}

// findRoute sets the route and, for a model request, the parsed body. keyRefusal is the result of authenticate.
func (s *Server) findRoute(x *exchange, keyRefusal *arbutusfork.Refusal) *arbutusfork.Refusal {
	p := x.r.URL.Path
	switch p {
	case pathChat, pathCompletions, pathEmbeddings:
	default:
		r, ok := x.index.findPlainRoute(p)
		if !ok {
			return arbutusfork.NewRefusal(arbutusfork.CodeUnknownRoute, "no route for this path")
		}
		x.route, x.service = r, r.Service
		return x.checkAdmission(keyRefusal)
	}
	if x.r.Method != http.MethodPost {
		x.w.Header().Set("Allow", http.MethodPost)
		return arbutusfork.NewRefusal(arbutusfork.CodeMethodNotAllowed, "use POST")
	}
	if keyRefusal != nil && !x.index.hasPublicModelRoute {
		return keyRefusal
	}
	inference, param, refusal := parseInference(p, x.body)
	if refusal != nil {
		x.refusalParam = param
		return refusal
	}
	x.inference = inference
	m, known := x.snapshot.Model(inference.model)
	route, offered, admitted := x.index.findModelRoute(m, x.customer.Name)
	switch {
	case known && admitted:
		x.route, x.service = route, m.Service
		return x.checkAdmission(keyRefusal)
	case keyRefusal != nil:
		return keyRefusal
	case x.keyDigest == "":
		return arbutusfork.NewRefusal(arbutusfork.CodeMissingKey, "a key is needed")
	case known && offered:
		return arbutusfork.NewRefusal(arbutusfork.CodeNotAllowed, "the customer may not use this model")
	}
	x.refusalParam = "model"
	return arbutusfork.NewRefusal(arbutusfork.CodeUnknownModel, "unknown model")
}

// runRequest reserves tokens, claims the call if it must run at most once, sends it to an endpoint and relays the response.
func (s *Server) runRequest(x *exchange) *arbutusfork.Refusal {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	if !x.conn.setCancel(cancel) {
		return nil
	}
	running := &runningRequest{cancel: cancel}
	if !x.route.IsPublic {
		running.keyDigest = x.keyDigest
	}
	s.addRunning(running)
	defer s.removeRunning(running)
	admitted := &admittedRequest{server: s, exchange: x, settleTokens: func(int64) {}}
	// Reservation and claim must end before the deadline. The response of the endpoint may last longer.
	untilDeadline, cancelDeadline := context.WithDeadline(ctx, x.deadline)
	defer cancelDeadline()
	if refusal := admitted.reserveTokens(untilDeadline); refusal != nil {
		return refusal
	}
	granted, refusal := admitted.claimCall(untilDeadline)
	if !granted {
		admitted.settleTokens(0)
		return refusal
	}
	return admitted.dispatchCall(ctx)
}

// refusalWithCause returns the refusal for the cause if the server cancelled the request, and otherwise r.
func refusalWithCause(ctx context.Context, r *arbutusfork.Refusal) *arbutusfork.Refusal {
	e, ok := errors.Into[*Error](context.Cause(ctx))
	if !ok {
		return r
	}
	switch e.Kind {
	case KeyWithdrawn:
		return arbutusfork.NewRefusal(arbutusfork.CodeKeyWithdrawn, "the key was withdrawn").WithOutcome(r.Outcome)
	case StaleConfig:
		return arbutusfork.NewRefusal(arbutusfork.CodeConfigurationStale, "the keys cannot be checked at the moment").WithOutcome(r.Outcome)
	default:
		return r
	}
}

// hopByHopHeaders are not forwarded in either direction. The headers that Connection names are not forwarded either.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// unforwardedHeaders concern only the connection between the caller and this server. In particular, the key is never sent
// to an endpoint.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, timeoutHeader: true, requestIDHeader: true, afdispatch.ResumeOffsetHeader: true,
}

// forwardedHeaders returns the headers that are forwarded, from a request to a plain service or from its response.
func forwardedHeaders(h http.Header) http.Header {
	connectionHeaders := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for k, v := range h {
		if !hopByHopHeaders[k] && !unforwardedHeaders[k] && !connectionHeaders[k] {
			out[k] = v
		}
	}
	return out
}
