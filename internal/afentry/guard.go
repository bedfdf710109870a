package afentry

import (
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio/nbhttp"

	"arbutusfork.example/arbutusfork"
)

// continueResponse is the interim response to a request with "Expect: 100-continue".
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// requestValidator is a processor of nbhttp parser events that passes them on to the embedded processor. It refuses
// message framing that the parser accepts but that a proxy in front of the server could interpret differently (request
// smuggling), and it limits the size of headers and bodies. All methods but markTimedOut are called by the connection's
// poller.
type requestValidator struct {
	nbhttp.Processor
	conn *serverConn

	// refusal is the reason why no further data of the connection is parsed, or nil.
	refusal *arbutusfork.Refusal
	// isTimedOut is set when a request did not arrive within the header timeout or the server's ReadTimeout.
	isTimedOut atomic.Bool
	// isBetweenRequests is set when all requests received so far are complete.
	isBetweenRequests bool
	// isReadingHeaders is set while the headers of a request are incomplete.
	isReadingHeaders bool
	// headerBytes counts the parsed bytes of the request line and headers of the current request.
	headerBytes int
	// bytesSinceHeaders counts the bytes received since the end of the last complete headers. It bounds a line
	// without an end, which headerBytes does not count.
	bytesSinceHeaders int
	// contentLength is the value of Content-Length, or empty if the request has none.
	contentLength string
	// isChunked is set when the request has a Transfer-Encoding header.
	isChunked bool
	// bodyLength is the length of the body if the request has a Content-Length, and negative otherwise.
	bodyLength int
	// hostHeaders counts the Host headers of the request.
	hostHeaders int
	// isHTTP11 is set when the request's version is HTTP/1.1.
	isHTTP11 bool
	// expectsContinue is set when the request has "Expect: 100-continue".
	expectsContinue bool
}

// beforeParse counts n received bytes. It is called before the parser processes them.
func (v *requestValidator) beforeParse(n int) {
	if v.isBetweenRequests || v.headerBytes == 0 {
		v.isReadingHeaders = true
	}
	v.isBetweenRequests = false
	if v.isReadingHeaders {
		v.bytesSinceHeaders += n
	}
}

// afterParse returns the refusal of the received data, or nil. It is called with the parser's error.
func (v *requestValidator) afterParse(err error) *arbutusfork.Refusal {
	switch {
	case v.isTimedOut.Load():
		return nil
	case v.refusal != nil:
	case v.isReadingHeaders && v.bytesSinceHeaders > v.conn.receiver.limits.MaxHeaderBytes, v.headerBytes > v.conn.receiver.limits.MaxHeaderBytes:
		v.setRefusal(arbutusfork.CodeHeadersTooLarge, "the headers are too large")
	case errors.Is(err, nbhttp.ErrTooLong):
		v.setRefusal(arbutusfork.CodeBodyTooLarge, "the body is too large")
	case err != nil:
		v.setRefusal(arbutusfork.CodeBadRequest, "malformed request: "+err.Error())
	}
	return v.refusal
}

// markTimedOut stops the processing of a request that did not arrive in time.
func (v *requestValidator) markTimedOut() { v.isTimedOut.Store(true) }

// setRefusal sets the refusal unless there is one already.
func (v *requestValidator) setRefusal(code arbutusfork.RefusalCode, message string) {
	if v.refusal == nil {
		v.refusal = arbutusfork.NewRefusal(code, message)
	}
}

// OnMethod resets the state for a new request.
func (v *requestValidator) OnMethod(p *nbhttp.Parser, method string) {
	v.isBetweenRequests, v.isReadingHeaders = false, true
	v.headerBytes, v.contentLength, v.isChunked, v.hostHeaders, v.expectsContinue = len(method), "", false, 0, false
	v.Processor.OnMethod(p, method)
}

// OnURL counts the bytes of the URL.
func (v *requestValidator) OnURL(p *nbhttp.Parser, uri string) error {
	v.headerBytes += len(uri)
	return v.Processor.OnURL(p, uri)
}

// OnProto refuses versions other than HTTP/1.0 and HTTP/1.1.
func (v *requestValidator) OnProto(p *nbhttp.Parser, proto string) error {
	v.isHTTP11 = proto == "HTTP/1.1"
	if !v.isHTTP11 && proto != "HTTP/1.0" {
		v.setRefusal(arbutusfork.CodeBadRequest, "unsupported protocol version")
	}
	return v.Processor.OnProto(p, proto)
}

// OnHeader counts the bytes of a header and validates the headers that determine the message framing.
func (v *requestValidator) OnHeader(p *nbhttp.Parser, key, value string) {
	v.headerBytes += len(key) + len(value) + 4
	if strings.ContainsAny(value, "\n\x00") {
		v.setRefusal(arbutusfork.CodeBadRequest, "invalid character in a header value")
	}
	switch key {
	case "Content-Length":
		value = strings.Trim(value, " \t")
		if value == "" || strings.Trim(value, "0123456789") != "" {
			v.setRefusal(arbutusfork.CodeBadRequest, "invalid Content-Length")
		}
		if v.contentLength != "" && v.contentLength != value {
			v.setRefusal(arbutusfork.CodeBadRequest, "two different Content-Length values")
		}
		v.contentLength = value
	case "Transfer-Encoding":
		v.isChunked = true
	case "Host":
		v.hostHeaders++
	case "Expect":
		v.expectsContinue = strings.EqualFold(strings.TrimSpace(value), "100-continue")
	}
	v.Processor.OnHeader(p, key, value)
}

// OnContentLength validates the headers as a whole. The parser calls it at the end of the headers.
func (v *requestValidator) OnContentLength(p *nbhttp.Parser, n int) {
	v.isReadingHeaders, v.bytesSinceHeaders, v.bodyLength = false, 0, n
	switch {
	case v.isChunked && v.contentLength != "":
		v.setRefusal(arbutusfork.CodeBadRequest, "both Transfer-Encoding and Content-Length")
	case v.isChunked && !v.isHTTP11:
		v.setRefusal(arbutusfork.CodeBadRequest, "Transfer-Encoding in HTTP/1.0")
	case v.hostHeaders > 1, v.hostHeaders == 0 && v.isHTTP11:
		v.setRefusal(arbutusfork.CodeBadRequest, "exactly one Host header is needed")
	case v.headerBytes > v.conn.receiver.limits.MaxHeaderBytes:
		v.setRefusal(arbutusfork.CodeHeadersTooLarge, "the headers are too large")
	case n > v.conn.receiver.limits.MaxBodyBytes:
		v.setRefusal(arbutusfork.CodeBodyTooLarge, "the body is too large")
	case v.refusal != nil:
	case !v.isChunked && n > 0 && !v.conn.receiver.admitBody(n):
	case v.expectsContinue && (n > 0 || v.isChunked):
		v.conn.enqueueRequest(func() { _, _ = v.conn.Conn.Write([]byte(continueResponse)) })
	}
	v.Processor.OnContentLength(p, n)
}

// OnBody keeps the body instead of the embedded processor, which would copy it.
func (v *requestValidator) OnBody(_ *nbhttp.Parser, data []byte) error {
	return v.conn.receiver.addParsed(data)
}

// OnComplete passes the request on to the server, unless the connection was refused or has timed out.
func (v *requestValidator) OnComplete(p *nbhttp.Parser) {
	v.isBetweenRequests, v.headerBytes, v.bytesSinceHeaders = true, 0, 0
	if v.refusal != nil || v.isTimedOut.Load() {
		v.Clean(p)
		return
	}
	v.Processor.OnComplete(p)
}
