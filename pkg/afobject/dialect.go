package afobject

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

const (
	defaultPollWait = 5 * time.Second
	// pollMargin is what an answer to a waiting call may take beyond the wait. The platform answers in milliseconds.
	pollMargin = 500 * time.Millisecond
	// maxPages bounds one list: 20,000 objects in pages of 500, with room.
	maxPages = 200
)

// Dialect is the form in which a platform speaks, for platforms that list in pages and watch with waiting calls. The
// functions are all set or all nil.
type Dialect struct {
	// BasePath is the path before the kind, with slashes at both ends. Empty means the customary one.
	BasePath string
	// VersionParameter is the query field that makes a deletion conditional. Empty means resourceVersion.
	VersionParameter string
	// EncodeObject returns the body of a write, Decode an object of an answer.
	EncodeObject func(o Object) ([]byte, error)
	DecodeObject func(kind string, body []byte) (Object, error)
	// DecodeListPage decodes one answer of a list, DecodeChanges one of a watch.
	DecodeListPage func(kind string, body []byte) (AnswerPage, error)
	DecodeChanges  func(kind string, body []byte) (AnswerPage, error)
	// NextPageQuery returns the query for the page after a name, ChangesQuery the one for changes after a
	// version.
	NextPageQuery func(name string) url.Values
	ChangesQuery  func(version int64, wait time.Duration) url.Values
}

// AnswerPage is one answer of a list or a watch.
type AnswerPage struct {
	Objects []Object
	Events  []Event
	// NextAfterName is the name to continue the list after. Empty means that the list is complete.
	NextAfterName string
	// Version is the collection version of the answer.
	Version int64
}

func (d Dialect) base() string {
	if d.BasePath == "" {
		return basePath
	}
	return d.BasePath
}

func (d Dialect) versionQuery() string {
	if d.VersionParameter == "" {
		return "resourceVersion"
	}
	return d.VersionParameter
}

// listPages reads a collection page by page. The version is that of the first page, so that a watch from it reports
// what changed in between.
func (c *Client) listPages(ctx context.Context, kind string) ([]Object, int64, error) {
	var (
		all     []Object
		version int64
		next    string
	)
	for n := range maxPages {
		k := call{op: "list", method: http.MethodGet, kind: kind}
		if next != "" {
			k.query = c.Dialect.NextPageQuery(next)
		}
		var raw json.RawMessage
		if err := c.do(ctx, k, &raw); err != nil {
			return nil, 0, err
		}
		page, err := c.Dialect.DecodeListPage(kind, raw)
		if err != nil {
			return nil, 0, k.fail(InvalidRequest, err)
		}
		if n == 0 {
			version = page.Version
		}
		all = append(all, page.Objects...)
		next = page.NextAfterName
		if next == "" {
			return all, version, nil
		}
	}
	return nil, 0, &Error{Op: "list", Object: kind, Kind: InvalidRequest}
}

// WatchByLongPoll watches as Watch does, with calls that wait for a change for the time that wait returns. Each answer
// ends in a bookmark. It needs a dialect with pages.
func (c *Client) WatchByLongPoll(ctx context.Context, kind string, since int64, wait func() time.Duration, fn func(Event)) error {
	for {
		c.WatchCount.Add(1)
		d := wait()
		k := call{
			op: "watch", method: http.MethodGet, kind: kind, query: c.Dialect.ChangesQuery(since, d), timeout: d + pollMargin,
		}
		var raw json.RawMessage
		if err := c.do(ctx, k, &raw); err != nil {
			return err
		}
		page, err := c.Dialect.DecodeChanges(kind, raw)
		if err != nil {
			return k.fail(InvalidRequest, err)
		}
		for _, e := range page.Events {
			fn(e)
		}
		since = max(since, page.Version)
		fn(Event{Type: Bookmark, Object: Object{Kind: kind, Version: since}})
	}
}
