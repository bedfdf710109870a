package afobject

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/afversion"
)

const (
	// defaultLongPollWait is the time that Watch lets the platform hold a long-poll request.
	defaultLongPollWait = 5 * time.Second
	// longPollAnswerMargin is the time that the answer to a long-poll request may take beyond its wait. The platform
	// answers within milliseconds.
	longPollAnswerMargin = 500 * time.Millisecond
	// maxListPages limits the pages of one list. 20,000 objects in pages of 500 take 40 pages.
	maxListPages = 200
	// maxListBytes limits the pages of one list together. 20,000 objects take a few MB.
	maxListBytes = 32 << 20
)

// Dialect adapts Client to a platform whose lists are paged and whose watches are long polls. The functions are all
// set or all nil; with nil functions Client uses the default REST API with streaming watches.
type Dialect struct {
	// BasePath is the path before the kind, with slashes at both ends. Empty means the path of the default REST API.
	BasePath string
	// VersionParameter is the name of the query parameter with the version that a deletion requires. Empty means
	// resourceVersion.
	VersionParameter string
	// EraHeader is the name of the header with the era of the store. Empty means Store-Era.
	EraHeader string
	// EncodeObject encodes an object as the body of a write request.
	EncodeObject func(o Object) ([]byte, error)
	// DecodeObject decodes the answer to a request for one object.
	DecodeObject func(kind string, body []byte) (Object, error)
	// DecodeListPage decodes one page of a list.
	DecodeListPage func(kind string, body []byte) (AnswerPage, error)
	// DecodeChanges decodes the answer to one long-poll request.
	DecodeChanges func(kind string, body []byte) (AnswerPage, error)
	// NextPageQuery returns the query of the list page that follows the object of that name.
	NextPageQuery func(name string) url.Values
	// ChangesQuery returns the query of a long-poll request for the changes after a version.
	ChangesQuery func(version int64, wait time.Duration) url.Values
}

// AnswerPage is the decoded answer to one request of a paged list or a long-poll watch.
type AnswerPage struct {
	// Objects holds the objects of a list page.
	Objects []Object
	// Events holds the changes in a long-poll answer.
	Events []Event
	// NextAfterName is the object name after which the next list page starts. Empty means that the list is complete.
	NextAfterName string
	// Version is the version of the collection at the time of the answer.
	Version int64
}

func (d Dialect) basePathOrDefault() string {
	if d.BasePath == "" {
		return defaultBasePath
	}
	return d.BasePath
}

func (d Dialect) versionParameterOrDefault() string {
	if d.VersionParameter == "" {
		return "resourceVersion"
	}
	return d.VersionParameter
}

func (d Dialect) eraHeaderOrDefault() string {
	if d.EraHeader == "" {
		return defaultEraHeader
	}
	return d.EraHeader
}

// withEra returns the page with its revisions replaced by their versions in the era.
func (p AnswerPage) withEra(era int64) (AnswerPage, error) {
	version, err := afversion.Join(era, p.Version)
	if err != nil {
		return p, err
	}
	p.Version = version
	for i, o := range p.Objects {
		if p.Objects[i], err = withEra(o, era); err != nil {
			return p, err
		}
	}
	for i, e := range p.Events {
		if p.Events[i].Object, err = withEra(e.Object, era); err != nil {
			return p, err
		}
	}
	return p, nil
}

// listPages lists a collection page by page. It returns the version of the first page, so that a watch from that
// version reports every change made while the later pages were read.
func (c *Client) listPages(ctx context.Context, kind string) ([]Object, int64, error) {
	var (
		objects       []Object
		version       int64
		nextAfterName string
		totalBytes    int
	)
	for pageIndex := range maxListPages {
		k := call{op: "list", method: http.MethodGet, kind: kind}
		if nextAfterName != "" {
			k.query = c.Dialect.NextPageQuery(nextAfterName)
		}
		var body json.RawMessage
		era, err := c.doCall(ctx, k, &body)
		if err != nil {
			return nil, 0, err
		}
		if pageIndex > 0 && era != afversion.Era(version) {
			return nil, 0, k.newError(PlatformUnavailable, errors.Errorf("page %d is of era %d, the first page of era %d", pageIndex, era, afversion.Era(version)))
		}
		if totalBytes += len(body); totalBytes > maxListBytes {
			return nil, 0, k.newError(InvalidRequest, errors.Errorf("the list is longer than %d bytes", maxListBytes))
		}
		page, err := c.Dialect.DecodeListPage(kind, body)
		if err == nil {
			page, err = page.withEra(era)
		}
		if err != nil {
			return nil, 0, k.lostAnswerError(err)
		}
		if pageIndex == 0 {
			version = page.Version
		}
		objects = append(objects, page.Objects...)
		nextAfterName = page.NextAfterName
		if nextAfterName == "" {
			return objects, version, nil
		}
	}
	return nil, 0, &Error{Op: "list", Object: kind, Kind: InvalidRequest}
}

// WatchByLongPoll does what Watch does, with long-poll requests. The platform holds each request until there is a
// change, at most for the duration that wait returns. After the events of each answer, fn receives a bookmark with the
// version reached. The functions of the Dialect must be set.
func (c *Client) WatchByLongPoll(ctx context.Context, kind string, since int64, wait func() time.Duration, fn func(Event)) error {
	for {
		c.WatchCount.Add(1)
		pollWait := wait()
		k := call{
			op: "watch", method: http.MethodGet, kind: kind, query: c.Dialect.ChangesQuery(afversion.Revision(since), pollWait),
			timeout: pollWait + longPollAnswerMargin, basis: since,
		}
		var body json.RawMessage
		era, err := c.doCall(ctx, k, &body)
		if err != nil {
			return err
		}
		page, err := c.Dialect.DecodeChanges(kind, body)
		if err == nil {
			page, err = page.withEra(era)
		}
		if err != nil {
			return k.lostAnswerError(err)
		}
		for _, e := range page.Events {
			fn(e)
		}
		since = max(since, page.Version)
		fn(Event{Type: Bookmark, Object: Object{Kind: kind, Version: since}})
	}
}
