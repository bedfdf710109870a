package afobject

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/afhead"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

const (
	// defaultBasePath is the path before the kind in the default REST API.
	defaultBasePath    = "/apis/arbutusfork.example/v1/"
	defaultCallTimeout = 2 * time.Second
	// metadataListMediaType requests metadata without specs, so that the answer stays small whatever the size of the
	// listed object.
	metadataListMediaType = "application/json;as=PartialObjectMetadataList;v=v1;g=meta.k8s.io"
	// maxAnswerBytes limits the body of one answer. A list of 20,000 adapters takes a few MB.
	maxAnswerBytes = 16 << 20
	// maxAnswerHeadBytes limits the head of one answer.
	maxAnswerHeadBytes = 64 << 10
	// maxSpecBytes limits the spec of an object that is written.
	maxSpecBytes = 1 << 20
)

// Client calls the platform's object API. It is safe for concurrent use. Set the fields before the first call.
type Client struct {
	// BaseURL is the scheme and host of the platform, without a path.
	BaseURL string
	// HTTPClient sends the requests. Nil means an http.Client that all Clients share. Streaming watches use a copy
	// whose transport opens a new connection for each request. Malformed answers are found more reliably if the
	// connections of its transport are opened by afhead.DialConns.
	HTTPClient *http.Client
	// Timeout limits the duration of each call other than a watch. Zero means 2 s.
	Timeout time.Duration
	// WatchIdleTimeout is the time after which a streaming watch ends if it has received no line. Zero means 15 s.
	WatchIdleTimeout time.Duration
	// Dialect adapts paths, encoding, lists and watches to the platform's API. The zero value means the default REST
	// API with streaming watches.
	Dialect Dialect

	// ReadCount is the number of GET requests, without streaming watches.
	ReadCount atomic.Int64
	// WriteCount is the number of requests that create, update or delete an object.
	WriteCount atomic.Int64
	// WatchCount is the number of watch requests. Each request of a long-poll watch also counts as a read.
	WatchCount atomic.Int64
	// OnEraChange is called when the platform's store has come back from an older copy, and when the era in its answers becomes
	// unsound or sound again. It must not block. Nil means that nothing is called.
	OnEraChange func(EraChange)

	eras    eraTracker
	answers answerReader

	httpClientsOnce sync.Once
	// callClient and watchClient send the requests. They are set by httpClientsOnce.
	callClient, watchClient *http.Client
}

// wireMetadata is the JSON form of the metadata of an object or a list.
type wireMetadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// wireObject is the JSON form of an object in the default dialect.
type wireObject struct {
	Kind     string          `json:"kind,omitempty"`
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// wireList is the JSON form of a list in the default dialect, without its objects.
type wireList struct {
	Metadata wireMetadata `json:"metadata"`
}

// decodeListedObject decodes one object of a list or a watch, whose spec may be anything. If only the name and the kind can
// be read, the object has no spec.
func decodeListedObject(kind string, body []byte) (Object, error) {
	members, err := SplitObject(body)
	if err != nil {
		return Object{}, err
	}
	var (
		w       wireObject
		kindErr error
	)
	if raw := members["kind"]; raw != nil {
		kindErr = json.Unmarshal(raw, &w.Kind)
	}
	metadataErr := json.Unmarshal(members["metadata"], &w.Metadata)
	w.Spec = bytes.Clone(members["spec"]) // The body is a buffer of the watch, or holds all objects of the list.
	o, versionErr := w.toObject(kind)
	if err := errors.Join(kindErr, metadataErr, versionErr); err != nil {
		if o.Name == "" {
			return Object{}, err
		}
		o.Spec = nil
	}
	if o.Version < 0 || o.Version > afversion.MaxRevision {
		o.Version, o.Spec = 0, nil
	}
	return o, nil
}

// toObject converts the JSON form. The kind argument applies if the object does not state its kind.
func (w wireObject) toObject(kind string) (Object, error) {
	if w.Kind != "" {
		kind = w.Kind
	}
	version, err := parseVersion(w.Metadata.ResourceVersion)
	return Object{Kind: kind, Name: w.Metadata.Name, Version: version, Spec: w.Spec}, err
}

// parseVersion parses a resource version. An empty version is zero.
func parseVersion(s string) (int64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseInt(s, 10, 64)
}

// parseVersionInEra parses a resource version of that era.
func parseVersionInEra(era int64, s string) (int64, error) {
	revision, err := parseVersion(s)
	if err != nil {
		return 0, err
	}
	return afversion.Join(era, revision)
}

// encodeObject encodes an object in the default dialect. A version of zero is left out.
func encodeObject(o Object) ([]byte, error) {
	w := wireObject{Kind: o.Kind, Metadata: wireMetadata{Name: o.Name}, Spec: o.Spec}
	if o.Version > 0 {
		w.Metadata.ResourceVersion = strconv.FormatInt(o.Version, 10)
	}
	return json.Marshal(w)
}

// Get returns the object of that kind and name. It fails with ObjectNotFound if there is none and with
// PlatformUnavailable if no complete answer arrives. With ObjectNotFound, the version of the returned object is the era of the
// store with a revision of zero.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.callForObject(ctx, call{op: "get", method: http.MethodGet, kind: kind, name: name})
}

// callForObject sends a call and decodes its answer as one object.
func (c *Client) callForObject(ctx context.Context, k call) (Object, error) {
	var body json.RawMessage
	era, err := c.doCall(ctx, k, &body)
	if err != nil {
		o := Object{Kind: k.kind, Name: k.name}
		if IsKind(err, ObjectNotFound) {
			o, _ = withEra(o, era) // A revision of zero is always in range.
		}
		return o, err
	}
	o, err := c.decodeObject(k.kind, body)
	if err == nil {
		o, err = withEra(o, era)
	}
	if err != nil {
		return Object{}, k.lostAnswerError(err)
	}
	return c.checkAnswer(k, o)
}

// decodeObject decodes the answer to a request for one object. Its version is the store's revision.
func (c *Client) decodeObject(kind string, body []byte) (Object, error) {
	if c.Dialect.DecodeObject != nil {
		return c.Dialect.DecodeObject(kind, body)
	}
	var w wireObject
	if err := json.Unmarshal(body, &w); err != nil {
		return Object{}, err
	}
	return w.toObject(kind)
}

// checkAnswer returns the object of an answer if it is the object of the call. The answer to another call can arrive on a kept
// connection on which the platform sent it twice; the answer to this call is lost then, and so are those that follow.
func (c *Client) checkAnswer(k call, o Object) (Object, error) {
	name := k.name
	if name == "" {
		name = k.bodyObjectName
	}
	if o.Name == "" || o.Name == name {
		return o, nil
	}
	c.httpClient().CloseIdleConnections()
	return Object{}, k.lostAnswerError(errors.Errorf("the answer is about the object %q", o.Name))
}

// List returns the objects of a kind and the version of the collection. An empty kind lists the objects of all
// configuration kinds.
func (c *Client) List(ctx context.Context, kind string) ([]Object, int64, error) {
	if c.Dialect.DecodeListPage != nil {
		return c.listPages(ctx, kind)
	}
	k := call{op: "list", method: http.MethodGet, kind: kind}
	var body json.RawMessage
	era, err := c.doCall(ctx, k, &body)
	if err != nil {
		return nil, 0, err
	}
	members, err := SplitObject(body)
	if err != nil {
		return nil, 0, k.lostAnswerError(err)
	}
	var w wireList
	items, err := SplitArray(members["items"])
	if err == nil && members["metadata"] != nil {
		err = json.Unmarshal(members["metadata"], &w.Metadata)
	}
	version, versionErr := parseVersionInEra(era, w.Metadata.ResourceVersion)
	if err != nil || versionErr != nil {
		return nil, 0, k.newError(InvalidRequest, errors.Join(err, versionErr))
	}
	objects := make([]Object, 0, len(items))
	for _, item := range items {
		o, err := decodeListedObject(kind, item)
		if err == nil {
			o, err = withEra(o, era)
		}
		switch {
		case err == nil:
			objects = append(objects, o)
		case kind != "":
			// The object may be any of this kind, such as a VM that counts as gone if it is missing from the list.
			return nil, 0, k.newError(InvalidRequest, err)
		}
		// In the configuration, the others must not wait until an object without a readable name is repaired.
	}
	return objects, version, nil
}

// ConfigurationVersion returns the version of the configuration collection. Its request asks for the metadata of at
// most one object, so that the answer stays small.
func (c *Client) ConfigurationVersion(ctx context.Context) (int64, error) {
	var w wireList
	versionCall := call{op: "probe", method: http.MethodGet, query: url.Values{"limit": {"1"}}, accept: metadataListMediaType}
	era, err := c.doCall(ctx, versionCall, &w)
	if err != nil {
		return 0, err
	}
	version, err := parseVersionInEra(era, w.Metadata.ResourceVersion)
	if err != nil {
		return 0, &Error{Op: "probe", Kind: InvalidRequest, Err: err}
	}
	return version, nil
}

// Create stores a new object and returns it with its version. It fails with VersionConflict if the object already
// exists and with OutcomeUnknown if the answer was lost.
func (c *Client) Create(ctx context.Context, o Object) (Object, error) {
	o.Version = 0
	return c.writeObject(ctx, call{op: "create", method: http.MethodPost, kind: o.Kind}, o)
}

// Update replaces the stored object if its version equals o.Version, and returns it with its new version. It fails
// with VersionConflict if the versions differ and with OutcomeUnknown if the answer was lost.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	return c.writeObject(ctx, call{op: "update", method: http.MethodPut, kind: o.Kind, name: o.Name, basis: o.Version}, o)
}

// Delete deletes the stored object if its version equals the argument. It fails with VersionConflict if the versions
// differ and with OutcomeUnknown if the answer was lost.
func (c *Client) Delete(ctx context.Context, kind, name string, version int64) error {
	query := url.Values{c.Dialect.versionParameterOrDefault(): {strconv.FormatInt(afversion.Revision(version), 10)}}
	_, err := c.doCall(ctx, call{op: "delete", method: http.MethodDelete, kind: kind, name: name, query: query, basis: version}, nil)
	return err
}

// writeObject encodes o as the body of the call k, sends the call and returns the object in the answer.
func (c *Client) writeObject(ctx context.Context, k call, o Object) (Object, error) {
	k.bodyObjectName = o.Name
	if len(o.Spec) > maxSpecBytes {
		return Object{}, &Error{Op: k.op, Object: k.String(), Kind: InvalidRequest, Err: errors.New("spec above 1 MB")}
	}
	encode := encodeObject
	if c.Dialect.EncodeObject != nil {
		encode = c.Dialect.EncodeObject
	}
	o.Version = afversion.Revision(o.Version)
	body, err := encode(o)
	if err != nil {
		return Object{}, &Error{Op: k.op, Object: k.String(), Kind: InvalidRequest, Err: err}
	}
	k.body = body
	return c.callForObject(ctx, k)
}

// sharedHTTPClient serves all Clients without an HTTPClient, so that they share its idle connections.
var sharedHTTPClient = &http.Client{Transport: &http.Transport{
	DialContext:         afhead.DialConns((&net.Dialer{Timeout: defaultCallTimeout}).DialContext),
	MaxIdleConnsPerHost: 16,
	IdleConnTimeout:     30 * time.Second,

	MaxResponseHeaderBytes: maxAnswerHeadBytes,
}}

// initHTTPClients sets the clients that send the requests. Their transports fail for malformed answers, so that these count as lost.
func (c *Client) initHTTPClients() {
	base := c.HTTPClient
	if base == nil {
		base = sharedHTTPClient
	}
	transport := base.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	callClient, watchClient := *base, *base
	callClient.Transport = &afhead.Transport{Base: transport}
	if t, ok := transport.(*http.Transport); ok {
		t = t.Clone()
		t.DisableKeepAlives = true
		transport = t
	}
	watchClient.Transport = &afhead.Transport{Base: transport}
	c.callClient, c.watchClient = &callClient, &watchClient
}

// httpClient returns the client for calls other than streaming watches.
func (c *Client) httpClient() *http.Client {
	c.httpClientsOnce.Do(c.initHTTPClients)
	return c.callClient
}

// watchHTTPClient returns an HTTP client that opens a new connection for each request, because an idle connection may
// have stopped delivering data unnoticed.
func (c *Client) watchHTTPClient() *http.Client {
	c.httpClientsOnce.Do(c.initHTTPClients)
	return c.watchClient
}
