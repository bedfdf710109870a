package afobject

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/afversion"
)

const (
	defaultWatchIdleTimeout = 15 * time.Second
	// maxWatchLineBytes limits one line of a streaming watch: a spec of maxSpecBytes with its metadata.
	maxWatchLineBytes = 2 * maxSpecBytes
)

// wireEvent is the JSON form of one line of a streaming watch. Object is a wireObject, or a wireStatus if Type is ERROR.
type wireEvent struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// wireStatus is the error with which the platform ends a streaming watch. Code is an HTTP status.
type wireStatus struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Watch calls fn for each change after the version since, in order. It returns when the stream ends or fails, when no
// line arrives within WatchIdleTimeout, or when ctx ends. An empty kind watches all configuration kinds. The object of
// a deletion has no Spec, and its Version is that of the deletion. Watch never returns nil. It fails with
// VersionExpired if the platform no longer keeps the changes since that version. If the functions of the Dialect are
// set, Watch uses long-poll requests.
func (c *Client) Watch(ctx context.Context, kind string, since int64, fn func(Event)) error {
	if c.Dialect.DecodeListPage != nil {
		return c.WatchByLongPoll(ctx, kind, since, func() time.Duration { return defaultLongPollWait }, fn)
	}
	c.WatchCount.Add(1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimeout := c.WatchIdleTimeout
	if idleTimeout <= 0 {
		idleTimeout = defaultWatchIdleTimeout
	}
	idleTimer := time.AfterFunc(idleTimeout, func() { cancel(errors.New("no line within the watch idle timeout")) })
	defer idleTimer.Stop()

	k := call{op: "watch", method: http.MethodGet, kind: kind, basis: since, query: url.Values{
		"watch":               {"true"},
		"allowWatchBookmarks": {"true"},
		"resourceVersion":     {strconv.FormatInt(afversion.Revision(since), 10)},
	}}
	if err := c.checkBasis(k); err != nil {
		return err
	}
	req, err := c.newRequest(ctx, k)
	if err != nil {
		return err
	}
	resp, err := c.watchHTTPClient().Do(req)
	if err != nil {
		return k.newError(PlatformUnavailable, contextCauseOr(ctx, err))
	}
	defer func() { _ = resp.Body.Close() }()
	era, err := c.recordEra(resp.StatusCode, resp.Header)
	if err != nil {
		return k.lostAnswerError(err)
	}
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxWatchLineBytes)) // The status determines the error.
		return k.statusError(resp.StatusCode, body)
	}
	if err := k.checkAnswerEra(era); err != nil {
		return err
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxWatchLineBytes)
	for lines.Scan() {
		idleTimer.Reset(idleTimeout)
		event, err := k.decodeEvent(lines.Bytes())
		if err != nil {
			return err
		}
		if event.Object, err = withEra(event.Object, era); err != nil {
			return k.newError(InvalidRequest, err)
		}
		fn(event)
	}
	if lines.Err() != nil {
		return k.newError(PlatformUnavailable, contextCauseOr(ctx, lines.Err()))
	}
	return k.newError(PlatformUnavailable, io.EOF)
}

// contextCauseOr returns the cause that ended ctx, or err if ctx has not ended.
func contextCauseOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// decodeEvent decodes one line of a streaming watch. An ERROR line is returned as an error.
func (k call) decodeEvent(line []byte) (Event, error) {
	members, err := SplitObject(line)
	if err != nil {
		return Event{}, k.newError(InvalidRequest, err)
	}
	w := wireEvent{Object: members["object"]}
	if err := json.Unmarshal(members["type"], &w.Type); err != nil {
		return Event{}, k.newError(InvalidRequest, err)
	}
	if w.Type == "ERROR" {
		var status wireStatus
		if err := json.Unmarshal(w.Object, &status); err != nil {
			return Event{}, k.newError(InvalidRequest, err)
		}
		return Event{}, k.statusError(status.Code, []byte(status.Message))
	}
	eventType, ok := parseEventType(w.Type)
	if !ok {
		return Event{}, k.newError(InvalidRequest, errors.Errorf("unknown event type %q", w.Type))
	}
	object, err := decodeListedObject(k.kind, w.Object)
	if err != nil {
		// The watch goes on, since a new one would report the same change again.
		return Event{Type: Bookmark, Object: Object{Kind: k.kind}}, nil
	}
	if eventType == Deleted || eventType == Bookmark {
		object.Spec = nil
	}
	return Event{Type: eventType, Object: object}, nil
}

func parseEventType(s string) (EventType, bool) {
	for t := Added; t <= Bookmark; t++ {
		if t.String() == s {
			return t, true
		}
	}
	return 0, false
}
