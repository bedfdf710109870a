package afobject_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// restoredStore answers each call with the next answer of a script.
type restoredStore struct {
	t       *testing.T
	answers []storeAnswer
	paths   []string
	changes []afobject.EraChange
}

type storeAnswer struct {
	eras   []string
	status int
	body   string
}

func (s *restoredStore) RoundTrip(r *http.Request) (*http.Response, error) {
	require.NotEmpty(s.t, s.answers, "unexpected call %s", r.URL)
	a := s.answers[0]
	s.answers, s.paths = s.answers[1:], append(s.paths, r.Method+" "+r.URL.RequestURI())
	w := httptest.NewRecorder()
	for _, era := range a.eras {
		w.Header().Add("Store-Era", era)
	}
	w.WriteHeader(a.status)
	_, err := w.WriteString(a.body)
	return w.Result(), err
}

func (s *restoredStore) client(dialect afobject.Dialect) *afobject.Client {
	return &afobject.Client{
		HTTPClient: &http.Client{Transport: s}, Dialect: dialect, OnEraChange: func(c afobject.EraChange) { s.changes = append(s.changes, c) },
	}
}

func answer(era, status int, body string) storeAnswer {
	return storeAnswer{eras: []string{fmt.Sprint(era)}, status: status, body: body}
}

func customerBody(revision int) string {
	return fmt.Sprintf(`{"kind":"customers","metadata":{"name":"a","resourceVersion":"%d"},"spec":{"rate":1}}`, revision)
}

// pagedDialect has pages of one object and long-poll watches, with the revision as the body.
func pagedDialect() afobject.Dialect {
	decode := func(kind string, body []byte) (afobject.AnswerPage, error) {
		var p struct {
			Revision int64
			Next     string
		}
		err := json.Unmarshal(body, &p)
		o := afobject.Object{Kind: kind, Name: "a", Version: p.Revision}
		return afobject.AnswerPage{Version: p.Revision, Objects: []afobject.Object{o}, Events: []afobject.Event{{Type: afobject.Modified, Object: o}}, NextAfterName: p.Next}, err
	}
	return afobject.Dialect{
		DecodeObject: func(string, []byte) (afobject.Object, error) { return afobject.Object{}, nil },
		EncodeObject: func(afobject.Object) ([]byte, error) { return nil, nil }, DecodeListPage: decode, DecodeChanges: decode,
		NextPageQuery: func(name string) url.Values { return url.Values{"after": {name}} },
		ChangesQuery:  func(v int64, _ time.Duration) url.Values { return url.Values{"watch": {fmt.Sprint(v)}} },
	}
}

// Guards against versions that repeat or fall after the store came back from an older copy.
func TestVersionsRiseWhenStoreGoesBack(t *testing.T) {
	s := &restoredStore{t: t, answers: []storeAnswer{answer(1, 200, customerBody(90)), answer(2, 200, customerBody(40)), answer(2, 404, "")}}
	c := s.client(afobject.Dialect{})
	before, err := c.Get(t.Context(), afobject.KindCustomers, "a")
	require.NoError(t, err)
	after, err := c.Get(t.Context(), afobject.KindCustomers, "a")
	require.NoError(t, err)
	require.Greater(t, after.Version, before.Version)
	absent, err := c.Get(t.Context(), afobject.KindCustomers, "a")
	require.True(t, afobject.IsKind(err, afobject.ObjectNotFound), err)
	require.EqualValues(t, 2, afversion.Era(absent.Version))
	require.Equal(t, []afobject.EraChange{{Previous: 1, Current: 2}}, s.changes)
}

// Guards against a conditional write that replaces another process's object because its revision was given out again.
func TestWriteFromEarlierEraIsNoSuccess(t *testing.T) {
	s := &restoredStore{t: t, answers: []storeAnswer{answer(1, 200, customerBody(90)), answer(2, 200, customerBody(91)), answer(2, 200, customerBody(91))}}
	c := s.client(afobject.Dialect{})
	o, err := c.Get(t.Context(), afobject.KindCustomers, "a")
	require.NoError(t, err)
	_, err = c.Update(t.Context(), o)
	require.True(t, afobject.IsKind(err, afobject.OutcomeUnknown), err)
	_, err = c.Update(t.Context(), o)
	require.True(t, afobject.IsKind(err, afobject.VersionConflict), err)
	require.True(t, afobject.IsKind(c.Delete(t.Context(), o.Kind, o.Name, o.Version), afobject.VersionConflict))
	require.Len(t, s.paths, 2, "a write whose version is known to be of an earlier era must not be sent")
	_, err = c.WriteWithReadback(t.Context(), o)
	require.True(t, afobject.IsKind(err, afobject.VersionConflict), err)
}

// Guards against a read-back that takes a write into another era for a success.
func TestReadBackInLaterEraIsConflict(t *testing.T) {
	s := &restoredStore{t: t, answers: []storeAnswer{answer(1, 200, customerBody(90)), answer(2, 200, customerBody(91)), answer(2, 200, customerBody(91))}}
	c := s.client(afobject.Dialect{})
	o, err := c.Get(t.Context(), afobject.KindCustomers, "a")
	require.NoError(t, err)
	_, err = c.WriteWithReadback(t.Context(), o)
	require.True(t, afobject.IsKind(err, afobject.VersionConflict), err)
}

// Guards against changes that are missed because the watch goes on from a revision that was given out again.
func TestWatchFromEarlierEraExpires(t *testing.T) {
	s := &restoredStore{t: t, answers: []storeAnswer{answer(1, 200, `{"Revision":7}`), answer(1, 200, `{"Revision":8}`), answer(2, 200, `{"Revision":9}`)}}
	c := s.client(pagedDialect())
	_, version, err := c.List(t.Context(), afobject.KindCustomers)
	require.NoError(t, err)
	var seen []int64
	watch := func(ctx context.Context) error {
		return c.WatchByLongPoll(ctx, afobject.KindCustomers, version, func() time.Duration { return time.Second }, func(e afobject.Event) { seen = append(seen, e.Object.Version) })
	}
	require.True(t, afobject.IsKind(watch(t.Context()), afobject.VersionExpired))
	require.Equal(t, []int64{version + 1, version + 1}, seen, "the change and the bookmark of the first era only")
	require.True(t, afobject.IsKind(watch(t.Context()), afobject.VersionExpired))
	require.Len(t, s.paths, 3, "a watch from a known earlier era must not be sent")
}

// Guards against a list that joins pages of before and after the store went back.
func TestPagesOfTwoErasAreNoList(t *testing.T) {
	s := &restoredStore{t: t, answers: []storeAnswer{answer(1, 200, `{"Revision":7,"Next":"a"}`), answer(2, 200, `{"Revision":5}`)}}
	_, _, err := s.client(pagedDialect()).List(t.Context(), afobject.KindCustomers)
	require.True(t, afobject.IsKind(err, afobject.PlatformUnavailable), err)
}

// Guards against state that is taken from an answer of an earlier or unknown era.
func TestUnsoundErasAreIgnored(t *testing.T) {
	for name, eras := range map[string][]string{"missing": nil, "late": {"1"}, "negative": {"-3"}, "text": {"x"}, "huge": {"99999999999999999999"}, "two": {"2", "2"}} {
		t.Run(name, func(t *testing.T) {
			s := &restoredStore{t: t, answers: []storeAnswer{
				answer(2, 200, customerBody(40)),
				{eras: eras, status: 200, body: customerBody(90)},
				{eras: eras, status: 404},
				{eras: eras, status: 409},
				answer(2, 200, customerBody(41)),
				{status: 503},
			}}
			c := s.client(afobject.Dialect{})
			before, err := c.Get(t.Context(), afobject.KindCustomers, "a")
			require.NoError(t, err)
			for range 2 {
				_, err = c.Get(t.Context(), afobject.KindCustomers, "a")
				require.True(t, afobject.IsKind(err, afobject.PlatformUnavailable), err)
			}
			_, err = c.Update(t.Context(), before)
			require.True(t, afobject.IsKind(err, afobject.OutcomeUnknown), err)
			after, err := c.Get(t.Context(), afobject.KindCustomers, "a")
			require.NoError(t, err)
			require.Equal(t, before.Version+1, after.Version)
			_, err = c.Get(t.Context(), afobject.KindCustomers, "a")
			require.True(t, afobject.IsKind(err, afobject.PlatformUnavailable), err)
			require.Len(t, s.changes, 2, "one change when the era becomes unsound and one when it is sound again: %v", s.changes)
		})
	}
}

// Guards against a store without eras that is refused.
func TestStoreWithoutErasWorks(t *testing.T) {
	s := &restoredStore{t: t, answers: []storeAnswer{{status: 200, body: customerBody(90)}, {status: 200, body: customerBody(91)}}}
	c := s.client(afobject.Dialect{})
	o, err := c.Get(t.Context(), afobject.KindCustomers, "a")
	require.NoError(t, err)
	require.EqualValues(t, 90, o.Version)
	_, err = c.Update(t.Context(), o)
	require.NoError(t, err)
	require.Empty(t, s.changes)
}
