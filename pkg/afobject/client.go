package afobject

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	basePath       = "/apis/arbutusfork.example/v1/"
	defaultTimeout = 2 * time.Second
	// partialList asks for metadata only, so that a probe stays small whatever the first object holds.
	partialList = "application/json;as=PartialObjectMetadataList;v=v1;g=meta.k8s.io"
	// maxAnswerBytes bounds one answer: a list of 20,000 adapters takes a few MB.
	maxAnswerBytes = 64 << 20
	maxSpecBytes   = 1 << 20
)

// Client calls the platform's object API. It is safe for concurrent use. Set the fields before the first call.
type Client struct {
	// BaseURL is the URL of the platform without a path.
	BaseURL string
	// HTTPClient carries the calls. Nil means a client that all Clients share. Watches use a copy of its transport
	// that opens a new connection each time.
	HTTPClient *http.Client
	// Timeout bounds each call but watches. Zero means 2 s.
	Timeout time.Duration
	// WatchIdleTimeout is the time without a line after which a watch ends. Zero means 15 s.
	WatchIdleTimeout time.Duration
	// Dialect is the form in which the platform speaks. The zero value is the customary REST form.
	Dialect Dialect

	// ReadCount, Writes and Watches count the calls made since the start.
	ReadCount, WriteCount, WatchCount atomic.Int64

	once    sync.Once
	watcher *http.Client
}

type wireMetadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type wireObject struct {
	Kind     string          `json:"kind,omitempty"`
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

type wireList struct {
	Metadata wireMetadata `json:"metadata"`
	Items    []wireObject `json:"items"`
}

func (w wireObject) object(kind string) (Object, error) {
	if w.Kind != "" {
		kind = w.Kind
	}
	version, err := parseVersion(w.Metadata.ResourceVersion)
	return Object{Kind: kind, Name: w.Metadata.Name, Version: version, Spec: w.Spec}, err
}

func parseVersion(s string) (int64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseInt(s, 10, 64)
}

func encodeObject(o Object) ([]byte, error) {
	w := wireObject{Kind: o.Kind, Metadata: wireMetadata{Name: o.Name}, Spec: o.Spec}
	if o.Version > 0 {
		w.Metadata.ResourceVersion = strconv.FormatInt(o.Version, 10)
	}
	return json.Marshal(w)
}

// Get returns one object. It fails with ObjectNotFound or PlatformUnavailable.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.object(ctx, call{op: "get", method: http.MethodGet, kind: kind, name: name})
}

// object carries out a call whose answer is one object.
func (c *Client) object(ctx context.Context, k call) (Object, error) {
	if c.Dialect.DecodeObject != nil {
		var raw json.RawMessage
		if err := c.do(ctx, k, &raw); err != nil {
			return Object{}, err
		}
		o, err := c.Dialect.DecodeObject(k.kind, raw)
		if err != nil {
			return Object{}, k.lost(err)
		}
		return o, nil
	}
	var w wireObject
	if err := c.do(ctx, k, &w); err != nil {
		return Object{}, err
	}
	return decodeObject(k.op, k.kind, w)
}

// List returns the objects of a kind and the version of the collection. The empty kind lists all
// configuration kinds in one call.
func (c *Client) List(ctx context.Context, kind string) ([]Object, int64, error) {
	if c.Dialect.DecodeListPage != nil {
		return c.listPages(ctx, kind)
	}
	var w wireList
	if err := c.do(ctx, call{op: "list", method: http.MethodGet, kind: kind}, &w); err != nil {
		return nil, 0, err
	}
	version, err := parseVersion(w.Metadata.ResourceVersion)
	if err != nil {
		return nil, 0, &Error{Op: "list", Object: kind, Kind: InvalidRequest, Err: err}
	}
	objects := make([]Object, 0, len(w.Items))
	for _, item := range w.Items {
		o, err := decodeObject("list", kind, item)
		if err != nil {
			return nil, 0, err
		}
		objects = append(objects, o)
	}
	return objects, version, nil
}

// ConfigurationVersion returns the version of the configuration collection with a call that carries no objects.
func (c *Client) ConfigurationVersion(ctx context.Context) (int64, error) {
	var w wireList
	probe := call{op: "probe", method: http.MethodGet, query: url.Values{"limit": {"1"}}, accept: partialList}
	if err := c.do(ctx, probe, &w); err != nil {
		return 0, err
	}
	version, err := parseVersion(w.Metadata.ResourceVersion)
	if err != nil {
		return 0, &Error{Op: "probe", Kind: InvalidRequest, Err: err}
	}
	return version, nil
}

// Create stores a new object and returns it with its version. It fails with VersionConflict if the object exists
// and with OutcomeUnknown if the answer was lost.
func (c *Client) Create(ctx context.Context, o Object) (Object, error) {
	o.Version = 0
	return c.write(ctx, call{op: "create", method: http.MethodPost, kind: o.Kind}, o)
}

// Update replaces an object if it still has o.Version. It fails with VersionConflict otherwise and with
// OutcomeUnknown if the answer was lost.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	return c.write(ctx, call{op: "update", method: http.MethodPut, kind: o.Kind, name: o.Name}, o)
}

// Delete removes an object if it still has the version. It fails as Update does.
func (c *Client) Delete(ctx context.Context, kind, name string, version int64) error {
	query := url.Values{c.Dialect.versionQuery(): {strconv.FormatInt(version, 10)}}
	return c.do(ctx, call{op: "delete", method: http.MethodDelete, kind: kind, name: name, query: query}, nil)
}

func (c *Client) write(ctx context.Context, k call, o Object) (Object, error) {
	k.object = o.Name
	if len(o.Spec) > maxSpecBytes {
		return Object{}, &Error{Op: k.op, Object: k.String(), Kind: InvalidRequest, Err: errors.New("spec above 1 MB")}
	}
	encode := encodeObject
	if c.Dialect.EncodeObject != nil {
		encode = c.Dialect.EncodeObject
	}
	body, err := encode(o)
	if err != nil {
		return Object{}, &Error{Op: k.op, Object: k.String(), Kind: InvalidRequest, Err: err}
	}
	k.body = body
	return c.object(ctx, k)
}

func decodeObject(op, kind string, w wireObject) (Object, error) {
	o, err := w.object(kind)
	if err != nil {
		return Object{}, &Error{Op: op, Object: kind + "/" + w.Metadata.Name, Kind: InvalidRequest, Err: err}
	}
	return o, nil
}

type call struct {
	op, method, kind, name string
	object                 string // object names the object in errors if the path does not.
	query                  url.Values
	accept                 string
	body                   []byte
	timeout                time.Duration // timeout replaces the client's own unless it is zero.
}

func (k call) String() string {
	s := k.kind
	if s == "" {
		s = ConfigurationPath
	}
	switch {
	case k.name != "":
		s += "/" + k.name
	case k.object != "":
		s += "/" + k.object
	}
	return s
}

func (k call) fail(kind ErrorKind, err error) error {
	return &Error{Op: k.op, Object: k.String(), Kind: kind, Err: err}
}

func (k call) writes() bool { return k.method != http.MethodGet }

func (c *Client) request(ctx context.Context, k call) (*http.Request, error) {
	plural := k.kind
	if plural == "" {
		plural = ConfigurationPath
	}
	u := c.BaseURL + c.Dialect.base() + plural
	if k.name != "" {
		u += "/" + url.PathEscape(k.name)
	}
	if len(k.query) > 0 {
		u += "?" + k.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, k.method, u, bytes.NewReader(k.body))
	if err != nil {
		return nil, k.fail(InvalidRequest, err)
	}
	if k.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if k.accept != "" {
		req.Header.Set("Accept", k.accept)
	}
	return req, nil
}

var sharedHTTP = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: defaultTimeout}).DialContext,
	MaxIdleConnsPerHost: 16,
	IdleConnTimeout:     30 * time.Second,
}}

func (c *Client) client() *http.Client {
	if c.HTTPClient != nil {
		return c.HTTPClient
	}
	return sharedHTTP
}

// watchClient returns a client that never uses an idle connection, since it may have gone silent.
func (c *Client) watchClient() *http.Client {
	c.once.Do(func() {
		w := *c.client()
		if t, ok := w.Transport.(*http.Transport); ok {
			t = t.Clone()
			t.DisableKeepAlives = true
			w.Transport = t
		}
		c.watcher = &w
	})
	return c.watcher
}

// do carries out a call and decodes the answer into out unless out is nil.
func (c *Client) do(ctx context.Context, k call, out any) error {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if k.timeout > 0 {
		timeout = k.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if k.writes() {
		c.WriteCount.Add(1)
	} else {
		c.ReadCount.Add(1)
	}
	var asked, opened atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { opened.Store(true) },
	})
	req, err := c.request(traced, k)
	if err != nil {
		return err
	}
	resp, err := c.client().Do(req)
	if err != nil {
		if ctx.Err() != nil {
			// The other idle connections may have gone silent together with this one.
			c.client().CloseIdleConnections()
		}
		// Without an open connection no byte of the request has left this process.
		if !k.writes() || (asked.Load() && !opened.Load()) {
			return k.fail(PlatformUnavailable, err)
		}
		return k.fail(OutcomeUnknown, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return k.refused(resp.StatusCode, body)
	}
	if err == nil && out != nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		return k.lost(err)
	}
	return nil
}

// lost classifies a call that may have been carried out but whose answer did not arrive whole.
func (k call) lost(err error) error {
	if k.writes() {
		return k.fail(OutcomeUnknown, err)
	}
	return k.fail(PlatformUnavailable, err)
}

func (k call) refused(status int, body []byte) error {
	const shown = 200
	err := errors.Errorf("status %d: %s", status, body[:min(len(body), shown)])
	switch status {
	case http.StatusNotFound:
		return k.fail(ObjectNotFound, err)
	case http.StatusConflict:
		return k.fail(VersionConflict, err)
	case http.StatusGone:
		return k.fail(VersionExpired, err)
	case http.StatusTooManyRequests:
		return k.fail(PlatformUnavailable, err)
	}
	if status >= http.StatusInternalServerError {
		// A server or a proxy in front of it may fail after the write took effect.
		return k.lost(err)
	}
	return k.fail(InvalidRequest, err)
}
