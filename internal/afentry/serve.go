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

// serve answers one request. It is called in a goroutine of its own, one request at a time for a connection.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	engine, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	conn, ok := engine.Parser.Conn.(*linkConn)
	if !ok {
		return
	}
	res := &response{Response: engine}
	x := &exchange{w: res, r: r, link: conn.link, arrived: s.Timer.Now()}
	// The link closes the connection itself, after everything has been sent.
	if r.Close || s.draining.Load() {
		r.Close = false
		x.link.closeAfter()
		w.Header().Set("Connection", "close")
	}
	if s.ForwardRequest != nil {
		s.ForwardRequest(&CallerConn{link: x.link, res: res}, res, r)
		return
	}
	if refusal := s.answer(x); refusal != nil {
		s.refuse(x, refusal)
	}
	res.Flush()
	_ = x.link.flush(maxUnsent)
}

func (s *Server) refuse(x *exchange, refusal *arbutusfork.Refusal) {
	s.metrics.refused.WithLabelValues(refusal.Code.String()).Inc()
	s.metrics.requests.WithLabelValues(x.route.Name, refusal.Outcome.String()).Inc()
	x.w.Header().Set(requestHeader, x.id)
	writeRefusal(x.w, x.r.Method, refusal, x.id, x.param)
}

// answer serves the request or returns why it does not.
func (s *Server) answer(x *exchange) *arbutusfork.Refusal {
	if x.r.URL.Path == "/healthz" {
		writeWhole(x.w, x.r.Method, http.StatusOK, "text/plain; charset=utf-8", []byte("ok\n"))
		return nil
	}
	if refusal := s.parse(x); refusal != nil {
		return refusal
	}
	if x.link.late {
		x.link.closeAfter()
		return arbutusfork.NewRefusal(arbutusfork.CodeShuttingDown, "the server is stopping").WithRetryAfter(time.Second)
	}
	keyed := s.authenticate(x)
	if x.r.URL.Path == pathModels {
		return s.models(x, keyed)
	}
	if refusal := s.lookup(x, keyed); refusal != nil {
		return refusal
	}
	if refusal := x.timeout(); refusal != nil {
		return refusal
	}
	if refusal := x.idempotency(); refusal != nil {
		return refusal
	}
	if x.infer != nil && x.infer.stream && !x.r.ProtoAtLeast(1, 1) {
		x.param = "stream"
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "streams need HTTP/1.1")
	}
	return s.run(x)
}

// lookup finds the route and the model.
func (s *Server) lookup(x *exchange, keyed *arbutusfork.Refusal) *arbutusfork.Refusal {
	p := x.r.URL.Path
	switch p {
	case pathChat, pathText, pathEmbeddings:
	default:
		r, ok := x.index.plainRoute(p)
		if !ok {
			return arbutusfork.NewRefusal(arbutusfork.CodeUnknownRoute, "no route for this path")
		}
		x.route, x.service = r, r.Service
		return x.admit(keyed)
	}
	if x.r.Method != http.MethodPost {
		x.w.Header().Set("Allow", http.MethodPost)
		return arbutusfork.NewRefusal(arbutusfork.CodeMethodNotAllowed, "use POST")
	}
	if keyed != nil && !x.index.open {
		return keyed
	}
	infer, param, refusal := parseInference(p, x.body)
	if refusal != nil {
		x.param = param
		return refusal
	}
	x.infer = infer
	m, known := x.snapshot.Model(infer.model)
	route, offered, admitted := x.index.modelRoute(m, x.customer.Name)
	switch {
	case known && admitted:
		x.route, x.service = route, m.Service
		return x.admit(keyed)
	case keyed != nil:
		return keyed
	case x.digest == "":
		return arbutusfork.NewRefusal(arbutusfork.CodeMissingKey, "a key is needed")
	case known && offered:
		return arbutusfork.NewRefusal(arbutusfork.CodeNotAllowed, "the customer may not use this model")
	}
	x.param = "model"
	return arbutusfork.NewRefusal(arbutusfork.CodeUnknownModel, "unknown model")
}

// run reserves tokens, claims the call if it must run at most once, sends it and relays the answer.
func (s *Server) run(x *exchange) *arbutusfork.Refusal {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	if !x.link.bind(cancel) {
		return nil
	}
	a := &active{cancel: cancel}
	if !x.route.IsPublic {
		a.digest = x.digest
	}
	s.enter(a)
	defer s.leave(a)
	j := &job{server: s, exchange: x, settle: func(int64) {}}
	// Reservation and claim must end before the deadline. The endpoint's answer may last longer.
	early, stop := context.WithDeadline(ctx, x.deadline)
	defer stop()
	if refusal := j.reserve(early); refusal != nil {
		return refusal
	}
	granted, refusal := j.claim(early)
	if !granted {
		j.settle(0)
		return refusal
	}
	return j.send(ctx)
}

// ended returns the refusal for a request that was ended from outside, or the given one.
func ended(ctx context.Context, r *arbutusfork.Refusal) *arbutusfork.Refusal {
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

// hopHeaders are not forwarded in either direction, beside those that Connection names.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// ownHeaders are between the caller and the entry only. The key never leaves.
var ownHeaders = map[string]bool{
	"Authorization": true, timeoutHeader: true, requestHeader: true, afdispatch.ResumeOffsetHeader: true,
}

// forwarded returns the headers of a plain service's request or answer that are passed on.
func forwarded(h http.Header) http.Header {
	named := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for k, v := range h {
		if !hopHeaders[k] && !ownHeaders[k] && !named[k] {
			out[k] = v
		}
	}
	return out
}
