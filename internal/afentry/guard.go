package afentry

import (
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio/nbhttp"

	"arbutusfork.example/arbutusfork"
)

const continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n"

// guard stands between the engine's parser and its processor. It refuses framing that the parser accepts and
// that another server in front could read differently, and it bounds headers and bodies. All methods but
// timeout are called by the connection's poller.
type guard struct {
	nbhttp.Processor
	link *link

	// refusal is why the connection is no longer read.
	refusal *arbutusfork.Refusal
	expired atomic.Bool
	// between tells that no request is incomplete.
	between bool
	// inHead tells that the headers are not complete.
	inHead bool
	// head counts the bytes of the request line and headers that were parsed; raw counts the bytes received
	// since the last complete head, which bounds a line that never ends.
	head    int
	raw     int
	length  string
	chunked bool
	host    int
	minor   bool // minor tells that the request is HTTP/1.1.
	expect  bool
}

func (g *guard) begin(n int) {
	if g.between || g.head == 0 {
		g.inHead = true
	}
	g.between = false
	if g.inHead {
		g.raw += n
	}
}

// end returns why the data cannot be accepted, if it cannot.
func (g *guard) end(err error) *arbutusfork.Refusal {
	switch {
	case g.expired.Load():
		return nil
	case g.refusal != nil:
	case g.inHead && g.raw > g.link.server.MaxHeaderBytes, g.head > g.link.server.MaxHeaderBytes:
		g.refuse(arbutusfork.CodeHeadersTooLarge, "the headers are too large")
	case errors.Is(err, nbhttp.ErrTooLong):
		g.refuse(arbutusfork.CodeBodyTooLarge, "the body is too large")
	case err != nil:
		g.refuse(arbutusfork.CodeBadRequest, "malformed request: "+err.Error())
	}
	return g.refusal
}

// timeout stops the reading of a request that did not arrive in time.
func (g *guard) timeout() { g.expired.Store(true) }

func (g *guard) refuse(code arbutusfork.RefusalCode, message string) {
	if g.refusal == nil {
		g.refusal = arbutusfork.NewRefusal(code, message)
	}
}

// OnMethod starts a request.
func (g *guard) OnMethod(p *nbhttp.Parser, method string) {
	g.between, g.inHead = false, true
	g.head, g.length, g.chunked, g.host, g.expect = len(method), "", false, 0, false
	g.Processor.OnMethod(p, method)
}

// OnURL counts the request line.
func (g *guard) OnURL(p *nbhttp.Parser, uri string) error {
	g.head += len(uri)
	return g.Processor.OnURL(p, uri)
}

// OnProto refuses versions other than HTTP/1.0 and HTTP/1.1.
func (g *guard) OnProto(p *nbhttp.Parser, proto string) error {
	g.minor = proto == "HTTP/1.1"
	if !g.minor && proto != "HTTP/1.0" {
		g.refuse(arbutusfork.CodeBadRequest, "unsupported protocol version")
	}
	return g.Processor.OnProto(p, proto)
}

// OnHeader checks the headers that frame the body.
func (g *guard) OnHeader(p *nbhttp.Parser, key, value string) {
	g.head += len(key) + len(value) + 4
	if strings.ContainsAny(value, "\n\x00") {
		g.refuse(arbutusfork.CodeBadRequest, "invalid character in a header value")
	}
	switch key {
	case "Content-Length":
		value = strings.Trim(value, " \t")
		if value == "" || strings.Trim(value, "0123456789") != "" {
			g.refuse(arbutusfork.CodeBadRequest, "invalid Content-Length")
		}
		if g.length != "" && g.length != value {
			g.refuse(arbutusfork.CodeBadRequest, "two different Content-Length values")
		}
		g.length = value
	case "Transfer-Encoding":
		g.chunked = true
	case "Host":
		g.host++
	case "Expect":
		g.expect = strings.EqualFold(strings.TrimSpace(value), "100-continue")
	}
	g.Processor.OnHeader(p, key, value)
}

// OnContentLength is called at the end of the headers.
func (g *guard) OnContentLength(p *nbhttp.Parser, n int) {
	g.inHead, g.raw = false, 0
	switch {
	case g.chunked && g.length != "":
		g.refuse(arbutusfork.CodeBadRequest, "both Transfer-Encoding and Content-Length")
	case g.chunked && !g.minor:
		g.refuse(arbutusfork.CodeBadRequest, "Transfer-Encoding in HTTP/1.0")
	case g.host > 1, g.host == 0 && g.minor:
		g.refuse(arbutusfork.CodeBadRequest, "exactly one Host header is needed")
	case g.head > g.link.server.MaxHeaderBytes:
		g.refuse(arbutusfork.CodeHeadersTooLarge, "the headers are too large")
	case n > g.link.server.MaxBodyBytes:
		g.refuse(arbutusfork.CodeBodyTooLarge, "the body is too large")
	case g.expect && g.refusal == nil && (n > 0 || g.chunked):
		g.link.execute(func() { _, _ = g.link.Conn.Write([]byte(continueAnswer)) })
	}
	g.Processor.OnContentLength(p, n)
}

// OnComplete hands the request to the server unless the connection was refused.
func (g *guard) OnComplete(p *nbhttp.Parser) {
	g.between, g.head, g.raw = true, 0, 0
	if g.refusal != nil || g.expired.Load() {
		g.Clean(p)
		return
	}
	g.Processor.OnComplete(p)
}
