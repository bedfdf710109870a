package afverb

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afsheet"
)

// An accepted sheet is at most 1 MB; a conflict lists the differences of two.
const maxAnswerBytes = 16 << 20

// client calls one VM's operator interface.
type client struct {
	base  string
	token string
	do    func(*http.Request) (*http.Response, error)
}

type objectBody struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Source  string          `json:"source,omitempty"`
}

type changeBody struct {
	State   string     `json:"state"`
	Object  objectBody `json:"object"`
	Deleted bool       `json:"deleted,omitempty"`
	Secret  string     `json:"secret,omitempty"`
}

type refusalBody struct {
	Code    string              `json:"code"`
	Message string              `json:"message"`
	Yours   json.RawMessage     `json:"yours"`
	Current json.RawMessage     `json:"current"`
	Faults  []afsheet.Fault     `json:"faults"`
	Changes []afsheet.RowChange `json:"changes"`

	raw []byte
}

// request is one call. A nil seen sends no version.
type request struct {
	method string
	path   string
	query  url.Values
	seen   *int64
	body   []byte
}

// call sends q and decodes the answer into out, which may be a *[]byte for the raw text.
func (c client) call(ctx context.Context, q request, out any) error {
	op := q.method + " " + q.path
	target := c.base + q.path
	if len(q.query) > 0 {
		target += "?" + q.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, q.method, target, bytes.NewReader(q.body))
	if err != nil {
		return &Error{Op: op, Kind: UsageError, Err: err}
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	if q.seen != nil {
		r.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(*q.seen, 10)))
	}
	w, err := c.do(r)
	if err != nil {
		return &Error{Op: op, Kind: ServerUnreachable, Err: err}
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes))
	if err != nil {
		return &Error{Op: op, Kind: ServerUnreachable, Err: err}
	}
	if w.StatusCode >= http.StatusBadRequest {
		return refusal(op, w.Status, b)
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = b
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &Error{Op: op, Kind: MalformedData, Err: err}
	}
	return nil
}

func refusal(op, status string, b []byte) *Error {
	var v struct {
		Error refusalBody `json:"error"`
	}
	if json.Unmarshal(b, &v) != nil || v.Error.Code == "" {
		return &Error{Op: op, Kind: RequestRefused, Err: errors.New(status)}
	}
	v.Error.raw = b
	return &Error{Op: op, Kind: RequestRefused, Err: errors.New(v.Error.Message), refusal: &v.Error}
}

// isCode reports whether err is a refusal with the code.
func isCode(err error, code string) bool {
	e, ok := errors.Into[*Error](err)
	return ok && e.refusal != nil && e.refusal.Code == code
}

// get returns an object, or one with version zero if it does not exist.
func (c client) get(ctx context.Context, kind, name string) (objectBody, error) {
	var o objectBody
	err := c.call(ctx, request{method: http.MethodGet, path: objectPath(kind, name)}, &o)
	if isCode(err, "not_found") {
		return objectBody{Kind: kind, Name: name}, nil
	}
	if err == nil && o.Source == "vm" {
		return o, &Error{Op: "get " + kind + "/" + name, Kind: RequestRefused, Err: errors.New("the platform is unavailable, so nothing can be changed")}
	}
	return o, err
}

func (c client) put(ctx context.Context, kind, name string, seen int64, spec []byte) (changeBody, error) {
	var change changeBody
	err := c.call(ctx, request{method: http.MethodPut, path: objectPath(kind, name), seen: &seen, body: spec}, &change)
	return change, err
}

func objectPath(kind, name string) string { return "/v1/" + kind + "/" + url.PathEscape(name) }
