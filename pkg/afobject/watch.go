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
)

const (
	defaultSilence = 15 * time.Second
	maxLineBytes   = 2 * maxSpecBytes
)

type wireEvent struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

type wireStatus struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Watch calls fn for each change after the version since, in order, until the stream ends, stays silent or
// breaks, or ctx ends. The empty kind watches all configuration kinds. The object of a deletion has no Spec and
// the version of the deletion. Watch never returns nil; VersionExpired means that since is no longer kept.
func (c *Client) Watch(ctx context.Context, kind string, since int64, fn func(Event)) error {
	if c.Dialect.DecodeListPage != nil {
		return c.WatchByLongPoll(ctx, kind, since, func() time.Duration { return defaultPollWait }, fn)
	}
	c.WatchCount.Add(1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := c.WatchIdleTimeout
	if silence <= 0 {
		silence = defaultSilence
	}
	timer := time.AfterFunc(silence, func() { cancel(errors.New("watch is silent")) })
	defer timer.Stop()

	k := call{op: "watch", method: http.MethodGet, kind: kind, query: url.Values{
		"watch":               {"true"},
		"allowWatchBookmarks": {"true"},
		"resourceVersion":     {strconv.FormatInt(since, 10)},
	}}
	req, err := c.request(ctx, k)
	if err != nil {
		return err
	}
	resp, err := c.watchClient().Do(req)
	if err != nil {
		return k.fail(PlatformUnavailable, cause(ctx, err))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes)) // The status decides; the body is a detail.
		return k.refused(resp.StatusCode, body)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		timer.Reset(silence)
		event, err := k.event(lines.Bytes())
		if err != nil {
			return err
		}
		fn(event)
	}
	if lines.Err() != nil {
		return k.fail(PlatformUnavailable, cause(ctx, lines.Err()))
	}
	return k.fail(PlatformUnavailable, io.EOF)
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

func (k call) event(line []byte) (Event, error) {
	var w wireEvent
	if err := json.Unmarshal(line, &w); err != nil {
		return Event{}, k.fail(InvalidRequest, err)
	}
	if w.Type == "ERROR" {
		var status wireStatus
		if err := json.Unmarshal(w.Object, &status); err != nil {
			return Event{}, k.fail(InvalidRequest, err)
		}
		return Event{}, k.refused(status.Code, []byte(status.Message))
	}
	t, ok := parseEventType(w.Type)
	if !ok {
		return Event{}, k.fail(InvalidRequest, errors.Errorf("event type %q", w.Type))
	}
	var o wireObject
	if err := json.Unmarshal(w.Object, &o); err != nil {
		return Event{}, k.fail(InvalidRequest, err)
	}
	object, err := o.object(k.kind)
	if err != nil {
		return Event{}, k.fail(InvalidRequest, err)
	}
	if t == Deleted || t == Bookmark {
		object.Spec = nil
	}
	return Event{Type: t, Object: object}, nil
}

func parseEventType(s string) (EventType, bool) {
	for t := Added; t <= Bookmark; t++ {
		if t.String() == s {
			return t, true
		}
	}
	return 0, false
}
