package afentry

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afdispatch"
)

const (
	typeJSON      = "application/json"
	requestHeader = afdispatch.RequestIDHeader
	maxRequestID  = 128
)

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	Request string  `json:"request_id"`
	Outcome string  `json:"outcome"`
}

func encodeRefusal(r *arbutusfork.Refusal, id, param string) []byte {
	e := refusalError{
		Message: r.Message, Type: refusalType(r.HTTPStatus()), Code: r.Code.String(), Request: id, Outcome: r.Outcome.String(),
	}
	if param != "" {
		e.Param = &param
	}
	b, _ := json.Marshal(refusalBody{e}) // The struct holds only strings, which always marshal.
	return b
}

// refusalType returns the error type that OpenAI clients know for the status.
func refusalType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// retryAfter returns the header's value in whole seconds, rounded up.
func retryAfter(r *arbutusfork.Refusal) string {
	return strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds())))
}

// rawRefusal returns the whole answer to a request that could not be read. It closes the connection.
func rawRefusal(r *arbutusfork.Refusal, id string) []byte {
	body := encodeRefusal(r, id, "")
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.HTTPStatus(), http.StatusText(r.HTTPStatus()))
	fmt.Fprintf(&b, "Content-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n%s: %s\r\n", typeJSON, len(body), requestHeader, id)
	if r.RetryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %s\r\n", retryAfter(r))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return []byte(b.String())
}

// writeWhole writes a complete answer. The engine answers statuses without a text with 200, so they are replaced
// by the general status of their class.
func writeWhole(w http.ResponseWriter, method string, status int, contentType string, body []byte) {
	if http.StatusText(status) == "" {
		status = max(status/100*100, http.StatusOK)
	}
	h := w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if method != http.MethodHead && len(body) > 0 {
		_, _ = w.Write(body)
	}
}

func writeRefusal(w http.ResponseWriter, method string, r *arbutusfork.Refusal, id, param string) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter(r))
	}
	if r.Code == arbutusfork.CodeMissingKey || r.Code == arbutusfork.CodeInvalidKey {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeWhole(w, method, r.HTTPStatus(), typeJSON, encodeRefusal(r, id, param))
}

// randomID returns 16 random bytes in hexadecimal.
func randomID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(b[:])
}

// isSaneID reports whether a caller's request id can be logged and echoed as it is.
func isSaneID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '-', c == '_', c == '.', c == ':':
		default:
			return false
		}
	}
	return true
}
