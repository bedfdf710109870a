package afoperator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// answer is the result of a handler, encoded as JSON.
type answer struct {
	status int
	body   any
	// after runs once the answer is written.
	after func()
}

type handler func(r *http.Request) (answer, error)

// guard checks the token, bounds the request in time and encodes the answer.
func (s *Server) guard(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.begin() {
			write(w, failure(fail("accept", ServerStopping, "the VM is stopping; use another one")))
			return
		}
		defer s.active.Done()
		if !s.authorized(r) {
			s.Log.Warn("operator token refused", "remote", r.RemoteAddr, "path", r.URL.Path)
			w.Header().Set("WWW-Authenticate", "Bearer")
			write(w, failure(fail("authorize", Unauthorized, "the operator token is missing or wrong")))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), orDefault(s.RequestTimeout, defaultCall))
		defer cancel()
		a, err := s.call(h, r.WithContext(ctx))
		if err != nil {
			s.Log.Warn("operator request failed", "method", r.Method, "path", r.URL.Path, "remote", r.RemoteAddr, "error", err)
			a = failure(err)
		}
		write(w, a)
		if a.after != nil {
			a.after()
		}
	})
}

// call turns a panic of a handler into an error, so that the operator gets an answer.
func (s *Server) call(h handler, r *http.Request) (a answer, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.Log.Error("operator handler panicked", "path", r.URL.Path, "panic", p, "stack", string(debug.Stack()))
			err = fail(r.Method+" "+r.URL.Path, InternalError, "internal error; read back before a retry")
		}
	}()
	return h(r)
}

func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.active.Add(1)
	return true
}

func (s *Server) authorized(r *http.Request) bool {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "bearer") || s.TokenDigest == "" {
		return false
	}
	digest := arbutusfork.DigestSecret(strings.TrimSpace(token))
	return subtle.ConstantTimeCompare([]byte(digest), []byte(strings.ToLower(s.TokenDigest))) == 1
}

func write(w http.ResponseWriter, a answer) {
	b, err := json.Marshal(a.body)
	if err != nil {
		a.status, b = http.StatusInternalServerError, []byte(`{"error":{"code":"failed","message":"answer cannot be encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)+1))
	w.WriteHeader(a.status)
	_, _ = w.Write(append(b, '\n'))
	if f, ok := w.(http.Flusher); ok {
		f.Flush() // The shutdown waits for handlers, so the answer must be on its way when they return.
	}
}

// failure encodes an error. Errors of the platform's client are translated to kinds of this package.
func failure(err error) answer {
	e, ok := errors.Into[*Error](err)
	if !ok {
		e = translate("call", err)
	}
	body := map[string]any{"code": e.Kind.String()}
	if e.Err != nil {
		body["message"] = e.Err.Error()
	}
	for name, v := range e.detail {
		body[name] = v
	}
	return answer{status: kindStatus[e.Kind], body: map[string]any{"error": body}}
}

// translate maps an error of the platform's client.
func translate(op string, err error) *Error {
	if e, ok := errors.Into[*Error](err); ok {
		return e
	}
	kind := PlatformUnavailable
	switch {
	case afobject.IsKind(err, afobject.ObjectNotFound):
		kind = ObjectNotFound
	case afobject.IsKind(err, afobject.VersionConflict):
		kind = VersionConflict
	case afobject.IsKind(err, afobject.OutcomeUnknown):
		kind = OutcomeUnknown
	case afobject.IsKind(err, afobject.InvalidRequest):
		kind = InvalidRequest
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

func body(r *http.Request) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return nil, &Error{Op: "read body", Kind: InvalidRequest, Err: err}
	}
	if len(b) > maxBodyBytes {
		return nil, fail("read body", InvalidRequest, "the body is above %d bytes", maxBodyBytes)
	}
	return b, nil
}
