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

// maxAnswerBytes bounds an answer of the server. The largest answers are refusals of a demand sheet, which list the differences
// between two sheets of at most 1 MB each.
const maxAnswerBytes = 16 << 20

// client sends requests to the operator interface of one VM.
type client struct {
	baseURL     string
	token       string // token is the operator token. Empty sends no Authorization header.
	sendRequest func(*http.Request) (*http.Response, error)
}

// objectBody is an object in an answer.
type objectBody struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Source  string          `json:"source,omitempty"` // Source is "vm" if the VM answered from its own copy.
}

// changeBody is the answer to an accepted change.
type changeBody struct {
	State   string     `json:"state"`
	Object  objectBody `json:"object"`
	Deleted bool       `json:"deleted,omitempty"`
	Secret  string     `json:"secret,omitempty"` // Secret is the clear text of an issued key.
}

// refusalBody is the answer to a refused request.
type refusalBody struct {
	Code    string              `json:"code"`
	Message string              `json:"message"`
	Yours   json.RawMessage     `json:"yours"`   // Yours is the object of the request in a version conflict.
	Current json.RawMessage     `json:"current"` // Current is the stored object in a version conflict.
	Faults  []afsheet.Fault     `json:"faults"`
	Changes []afsheet.RowChange `json:"changes"`

	rawAnswer []byte // rawAnswer is the answer that the refusal was decoded from.
}

// request is one request to the operator interface.
type request struct {
	method string
	path   string
	query  url.Values
	// expectedVersion is the object version in the If-Match header. Nil sends no such header.
	expectedVersion *int64
	body            []byte
}

// call sends q and decodes the JSON answer into out. If out is a *[]byte, it receives the undecoded answer.
func (c client) call(ctx context.Context, q request, out any) error {
	op := q.method + " " + q.path
	targetURL := c.baseURL + q.path
	if len(q.query) > 0 {
		targetURL += "?" + q.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, q.method, targetURL, bytes.NewReader(q.body))
	if err != nil {
		return &Error{Op: op, Kind: UsageError, Err: err}
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	if q.expectedVersion != nil {
		r.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(*q.expectedVersion, 10)))
	}
	response, err := c.sendRequest(r)
	if err != nil {
		return &Error{Op: op, Kind: ServerUnreachable, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &Error{Op: op, Kind: ServerUnreachable, Err: err}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return newRefusalError(op, response.Status, answer)
	}
	if rawOut, ok := out.(*[]byte); ok {
		*rawOut = answer
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return &Error{Op: op, Kind: MalformedData, Err: err}
	}
	return nil
}

// newRefusalError returns the error for an answer with an error status.
func newRefusalError(op, status string, answer []byte) *Error {
	var v struct {
		Error refusalBody `json:"error"`
	}
	if json.Unmarshal(answer, &v) != nil || v.Error.Code == "" {
		return &Error{Op: op, Kind: RequestRefused, Err: errors.New(status)}
	}
	v.Error.rawAnswer = answer
	return &Error{Op: op, Kind: RequestRefused, Err: errors.New(v.Error.Message), refusal: &v.Error}
}

// isRefusalCode reports whether err is the server's refusal with the code.
func isRefusalCode(err error, code string) bool {
	e, ok := errors.Into[*Error](err)
	return ok && e.refusal != nil && e.refusal.Code == code
}

// getObject returns an object, or one with version zero if it does not exist. It fails if the platform is unavailable, since the
// VM's copy may be outdated and must not be the base of a change.
func (c client) getObject(ctx context.Context, kind, name string) (objectBody, error) {
	var o objectBody
	err := c.call(ctx, request{method: http.MethodGet, path: objectPath(kind, name)}, &o)
	if isRefusalCode(err, "not_found") {
		return objectBody{Kind: kind, Name: name}, nil
	}
	if err == nil && o.Source == "vm" {
		return o, &Error{Op: "get " + kind + "/" + name, Kind: RequestRefused, Err: errors.New("the platform is unavailable, so nothing can be changed")}
	}
	return o, err
}

// putObject writes the spec if the stored object has the expected version. Zero creates the object.
func (c client) putObject(ctx context.Context, kind, name string, expectedVersion int64, spec []byte) (changeBody, error) {
	var change changeBody
	err := c.call(ctx, request{method: http.MethodPut, path: objectPath(kind, name), expectedVersion: &expectedVersion, body: spec}, &change)
	return change, err
}

func objectPath(kind, name string) string { return "/v1/" + kind + "/" + url.PathEscape(name) }
