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

// response is the result of a handlerFunc. The body is sent as JSON.
type response struct {
	status int
	body   any
	// afterWrite is called once the response is written. It may be nil.
	afterWrite func()
}

type handlerFunc func(r *http.Request) (response, error)

// authorizeAndServe returns a handler that checks the operator token, calls h with a timeout and writes its response.
func (s *Server) authorizeAndServe(h handlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.beginRequest() {
			writeResponse(w, errorResponse(newError("accept", ServerStopping, "the VM is stopping; use another one")))
			return
		}
		defer s.activeRequests.Done()
		if !s.hasValidToken(r) {
			s.Log.Warn("operator token refused", "remote", r.RemoteAddr, "path", r.URL.Path)
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeResponse(w, errorResponse(newError("authorize", Unauthorized, "the operator token is missing or wrong")))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), durationOrDefault(s.RequestTimeout, defaultRequestTimeout))
		defer cancel()
		resp, err := s.callHandler(h, r.WithContext(ctx))
		if err != nil {
			s.Log.Warn("operator request failed", "method", r.Method, "path", r.URL.Path, "remote", r.RemoteAddr, "error", err)
			resp = errorResponse(err)
		}
		writeResponse(w, resp)
		if resp.afterWrite != nil {
			resp.afterWrite()
		}
	})
}

// callHandler calls h. It turns a panic of h into an error, so that the operator gets a response.
func (s *Server) callHandler(h handlerFunc, r *http.Request) (resp response, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.Log.Error("operator handler panicked", "path", r.URL.Path, "panic", p, "stack", string(debug.Stack()))
			err = newError(r.Method+" "+r.URL.Path, InternalError, "internal error; read back before a retry")
		}
	}()
	return h(r)
}

func (s *Server) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStopping {
		return false
	}
	s.activeRequests.Add(1)
	return true
}

func (s *Server) hasValidToken(r *http.Request) bool {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "bearer") || s.TokenDigest == "" {
		return false
	}
	digest := arbutusfork.DigestSecret(strings.TrimSpace(token))
	return subtle.ConstantTimeCompare([]byte(digest), []byte(strings.ToLower(s.TokenDigest))) == 1
}

func writeResponse(w http.ResponseWriter, resp response) {
	b, err := json.Marshal(resp.body)
	if err != nil {
		resp.status, b = http.StatusInternalServerError, []byte(`{"error":{"code":"failed","message":"answer cannot be encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)+1))
	w.WriteHeader(resp.status)
	_, _ = w.Write(append(b, '\n'))
	if f, ok := w.(http.Flusher); ok {
		f.Flush() // The shutdown waits only until handlers return, so the response must be sent by then.
	}
}

// errorResponse returns the response that reports err. An error of the platform client is translated first.
func errorResponse(err error) response {
	e, ok := errors.Into[*Error](err)
	if !ok {
		e = translateError("call", err)
	}
	body := map[string]any{"code": e.Kind.String()}
	if e.Err != nil {
		body["message"] = e.Err.Error()
	}
	for name, v := range e.detail {
		body[name] = v
	}
	return response{status: httpStatusByKind[e.Kind], body: map[string]any{"error": body}}
}

// translateError converts an error of the platform client to an Error with the matching kind.
func translateError(op string, err error) *Error {
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

func readBody(r *http.Request) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return nil, &Error{Op: "read body", Kind: InvalidRequest, Err: err}
	}
	if len(b) > maxBodyBytes {
		return nil, newError("read body", InvalidRequest, "the body is above %d bytes", maxBodyBytes)
	}
	return b, nil
}
