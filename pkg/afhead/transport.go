package afhead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
)

// Transport is an http.RoundTripper that fails for malformed answers, as a Reader does. The error wraps an *Error.
//
// It sees all that a Reader sees if the connections of Base are Conns. Otherwise it cannot tell a line of a head that was joined to the one
// before, or a head that ended early, from a sound one, and does not check interim answers.
type Transport struct {
	// Base sends the requests.
	Base http.RoundTripper
}

// RoundTrip sends a request and returns the answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// A trace of interim answers would lift the bound of http.Transport for their length.
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(interface{ ExpectAnswer() }); ok {
				c.ExpectAnswer()
			}
		},
	}
	resp, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close() // The answer is not used.
		return nil, err
	}
	CheckTrailer(resp)
	return resp, nil
}

// CloseIdleConnections closes the unused connections of Base.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkHead returns an *Error if the head of an answer is malformed.
func checkHead(resp *http.Response) error {
	if !isValidStatus(resp.StatusCode) {
		return &Error{Op: "read head", Kind: StatusCode, Text: strconv.Itoa(resp.StatusCode)}
	}
	return checkFieldNames("read head", resp.Header)
}

// DialFunc opens a connection, like the field DialContext of http.Transport.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// DialConns returns a function that opens connections with dial and returns them as Conns.
func DialConns(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
