package afobject

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// call describes one request to the platform.
type call struct {
	op             string // op is the name of the operation in errors.
	method         string // method is the HTTP method.
	kind           string // kind is the path segment after the base path. Empty means ConfigurationPath.
	name           string // name is the last path segment. Empty means the collection.
	bodyObjectName string // bodyObjectName is the name of the object in the body. Errors use it if the path has no name.
	query          url.Values
	accept         string // accept is the value of the Accept header. Empty sends none.
	body           []byte
	timeout        time.Duration // timeout overrides Client.Timeout unless it is zero.
	basis          int64         // basis is the version on which the call depends, or zero.
}

// String returns the kind and name of the call's object for error messages.
func (k call) String() string {
	s := k.kind
	if s == "" {
		s = ConfigurationPath
	}
	switch {
	case k.name != "":
		s += "/" + k.name
	case k.bodyObjectName != "":
		s += "/" + k.bodyObjectName
	}
	return s
}

func (k call) newError(kind ErrorKind, err error) error {
	return &Error{Op: k.op, Object: k.String(), Kind: kind, Err: err}
}

func (k call) isWrite() bool { return k.method != http.MethodGet }

// newRequest builds the HTTP request of a call.
func (c *Client) newRequest(ctx context.Context, k call) (*http.Request, error) {
	pathSegment := k.kind
	if pathSegment == "" {
		pathSegment = ConfigurationPath
	}
	requestURL := c.BaseURL + c.Dialect.basePathOrDefault() + pathSegment
	if k.name != "" {
		requestURL += "/" + url.PathEscape(k.name)
	}
	if len(k.query) > 0 {
		requestURL += "?" + k.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, k.method, requestURL, bytes.NewReader(k.body))
	if err != nil {
		return nil, k.newError(InvalidRequest, err)
	}
	if k.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if k.accept != "" {
		req.Header.Set("Accept", k.accept)
	}
	return req, nil
}

// doCall sends a call and decodes the JSON answer into out unless out is nil. It returns the era of the answer, also with an
// error that the answer states. Only a write that the platform may have executed fails with OutcomeUnknown.
func (c *Client) doCall(ctx context.Context, k call, out any) (era int64, err error) {
	if err := c.checkBasis(k); err != nil {
		return 0, err
	}
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	if k.timeout > 0 {
		timeout = k.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if k.isWrite() {
		c.WriteCount.Add(1)
	} else {
		c.ReadCount.Add(1)
	}
	var connectionRequested, connectionObtained atomic.Bool
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connectionRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connectionObtained.Store(true) },
	})
	req, err := c.newRequest(traceCtx, k)
	if err != nil {
		return 0, err
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		if ctx.Err() != nil {
			// What made this call time out may have broken the idle connections to the platform too.
			c.httpClient().CloseIdleConnections()
		}
		// No byte of the request was sent if the HTTP client obtained no connection.
		if !k.isWrite() || (connectionRequested.Load() && !connectionObtained.Load()) {
			return 0, k.newError(PlatformUnavailable, err)
		}
		return 0, k.newError(OutcomeUnknown, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := c.answers.read(ctx, resp.Body)
	era, eraErr := c.recordEra(resp.StatusCode, resp.Header)
	if eraErr != nil {
		return era, k.lostAnswerError(eraErr)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return era, k.statusError(resp.StatusCode, body)
	}
	if err := k.checkAnswerEra(era); err != nil {
		return era, err
	}
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = body // The caller decodes the parts.
	} else if err == nil && out != nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		return era, k.lostAnswerError(err)
	}
	return era, nil
}

// lostAnswerError returns the error of a call that the platform may have executed but whose answer is missing,
// incomplete or unreadable.
func (k call) lostAnswerError(err error) error {
	if k.isWrite() {
		return k.newError(OutcomeUnknown, err)
	}
	return k.newError(PlatformUnavailable, err)
}

// statusError returns the error for an HTTP status other than success, with the start of the body as its detail.
func (k call) statusError(status int, body []byte) error {
	const maxShownBytes = 200
	err := errors.Errorf("status %d: %s", status, body[:min(len(body), maxShownBytes)])
	switch status {
	case http.StatusNotFound:
		return k.newError(ObjectNotFound, err)
	case http.StatusConflict:
		return k.newError(VersionConflict, err)
	case http.StatusGone:
		return k.newError(VersionExpired, err)
	case http.StatusTooManyRequests:
		return k.newError(PlatformUnavailable, err)
	}
	if status >= http.StatusInternalServerError {
		// The server, or a proxy in front of the server, may fail after the write has taken effect.
		return k.lostAnswerError(err)
	}
	return k.newError(InvalidRequest, err)
}
