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
	typeJSON        = "application/json"
	requestIDHeader = afdispatch.RequestIDHeader
	// maxRequestIDBytes bounds a request id that a caller sets.
	maxRequestIDBytes = 128
)

// refusalBody is the JSON body of a refusal, in the form of the OpenAI API.
type refusalBody struct {
	Error refusalError `json:"error"`
}

// refusalError describes a refusal to the caller.
type refusalError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	Request string  `json:"request_id"`
	Outcome string  `json:"outcome"`
}

// encodeRefusal returns the JSON body of a refusal. The param names the request field at fault, if any.
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

// refusalType returns the error type that the OpenAI API defines for the status.
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

// retryAfterSeconds returns the value of the Retry-After header in whole seconds, rounded up.
func retryAfterSeconds(r *arbutusfork.Refusal) string {
	return strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds())))
}

// encodeRawRefusal returns the complete HTTP/1.1 response to a request that could not be parsed. The response announces
// that the connection is closed.
func encodeRawRefusal(r *arbutusfork.Refusal, id string) []byte {
	body := encodeRefusal(r, id, "")
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.HTTPStatus(), http.StatusText(r.HTTPStatus()))
	fmt.Fprintf(&b, "Content-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n%s: %s\r\n", typeJSON, len(body), requestIDHeader, id)
	if r.RetryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %s\r\n", retryAfterSeconds(r))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return []byte(b.String())
}

// writeResponse writes a complete response. nbhttp replaces a status without a standard reason phrase by 200, so such a
// status is replaced by the first status of its class.
func writeResponse(w http.ResponseWriter, method string, status int, contentType string, body []byte) {
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

// writeRefusal writes a refusal as a complete response.
func writeRefusal(w http.ResponseWriter, method string, r *arbutusfork.Refusal, id, param string) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(r))
	}
	if r.Code == arbutusfork.CodeMissingKey || r.Code == arbutusfork.CodeInvalidKey {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeResponse(w, method, r.HTTPStatus(), typeJSON, encodeRefusal(r, id, param))
}

// randomRequestID returns 16 random bytes in hexadecimal.
func randomRequestID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(b[:])
}

// isValidRequestID reports whether a caller's request id is short and only has characters that are safe in logs and headers.
func isValidRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
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
