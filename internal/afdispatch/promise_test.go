package afdispatch

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afretry"
)

// newStatusHarness returns a service with two endpoints whose first answer of all is serveFirst's and whose later ones are 200, and the
// number of answers.
func newStatusHarness(t *testing.T, serveFirst http.HandlerFunc) (*harness, *atomic.Int64) {
	var calls atomic.Int64
	serve := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			serveFirst(w, r)
		}
	}
	return newHarness(t, serveReplica("e1", serve, t), serveReplica("e2", serve, t)).startWithRealClock(), &calls
}

// TestTooManyRequestsMayHaveRun guards against a payment that runs twice, or whose caller is told that it has not run, because its
// endpoint answered 429 without saying that it did not run it. A call that may be repeated goes to another endpoint.
func TestTooManyRequestsMayHaveRun(t *testing.T) {
	for _, isIdempotent := range []bool{false, true} {
		for _, notRun := range []string{"", "true", "1"} {
			t.Run(strconv.FormatBool(isIdempotent)+notRun, func(t *testing.T) {
				h, calls := newStatusHarness(t, func(w http.ResponseWriter, _ *http.Request) {
					if notRun != "" {
						w.Header().Set(afretry.NotRunHeader, notRun)
					}
					w.Header().Set("Retry-After", "1")
					w.WriteHeader(http.StatusTooManyRequests)
				})
				c := newGetCall("/")
				c.IsIdempotent = isIdempotent
				r := h.newRequest("m", "a")
				r.Deadline = time.Now().Add(10 * time.Second)
				res := h.SendCall(t.Context(), r, c, (&recordingSink{}).sink())
				if isIdempotent || notRun == "true" {
					require.Nil(t, res.Refusal)
					require.EqualValues(t, 2, calls.Load())
					return
				}
				require.EqualValues(t, 1, calls.Load())
				require.Equal(t, arbutusfork.OutcomeUnknown, res.Outcome)
				require.Equal(t, arbutusfork.OutcomeUnknown, res.Refusal.Outcome)
				require.Equal(t, http.StatusBadGateway, res.Refusal.HTTPStatus())
				require.Zero(t, res.Refusal.RetryAfter)
			})
		}
	}
}

// TestTooManyRequestsEverywhere guards against "not run", or a wrong cause, for a call that may be repeated and that all endpoints answer with
// 429.
func TestTooManyRequestsEverywhere(t *testing.T) {
	h := newHarness(t, serveReplica("e1", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, t)).startWithRealClock()
	r := h.newRequest("m", "a")
	r.Deadline = time.Now().Add(time.Second)
	res := h.SendCall(t.Context(), r, newGetCall("/"), (&recordingSink{}).sink())
	require.Equal(t, arbutusfork.OutcomeUnknown, res.Refusal.Outcome)
	require.Equal(t, http.StatusBadGateway, res.Refusal.HTTPStatus())
	require.Contains(t, res.Refusal.Message, "answered 429")
}

// TestStatusPromisesOnlyWhatIsTrue guards against a caller that takes an endpoint's 408, 421, 429 or 503 for the promise that its call did
// not run, and against another status, or one of a call that may be repeated, that does not reach its caller.
func TestStatusPromisesOnlyWhatIsTrue(t *testing.T) {
	promises := []int{408, 421, 429, 503}
	long := strings.Repeat("error text ", 20_000)
	for _, isIdempotent := range []bool{false, true} {
		for _, status := range []int{400, 404, 408, 421, 429, 500, 502, 503, 504} {
			for _, contentType := range []string{"text/plain", "text/event-stream"} {
				for _, body := range []string{"data: error text\n\n", long + "\n\n"} {
					for _, header := range []string{"", "Retry-After", DrainingHeader, afretry.NotRunHeader} {
						if isIdempotent && status == 429 || header == afretry.NotRunHeader && (status == 429 || status == 503) {
							continue // They go to another endpoint.
						}
						name := fmt.Sprint(isIdempotent, status, contentType, len(body), header)
						h, calls := newStatusHarness(t, func(w http.ResponseWriter, _ *http.Request) {
							w.Header().Set("Content-Type", contentType)
							if header != "" {
								w.Header().Set(header, "true")
							}
							w.WriteHeader(status)
							_, _ = io.WriteString(w, body)
						})
						c := newGetCall("/")
						c.IsIdempotent = isIdempotent
						r := h.newRequest("m", "a")
						r.Deadline = time.Now().Add(10 * time.Second)
						rec := &recordingSink{}
						res := h.SendCall(t.Context(), r, c, rec.sink())
						assert.EqualValues(t, 1, calls.Load(), name)
						if isIdempotent || !slices.Contains(promises, status) {
							assert.Nil(t, res.Refusal, name)
							assert.Equal(t, status, rec.status, name)
							assert.Equal(t, arbutusfork.OutcomeAnswered, res.Outcome, name)
							continue
						}
						assert.Zero(t, rec.status, name)
						assert.Equal(t, arbutusfork.OutcomeUnknown, res.Outcome, name)
						if assert.NotNil(t, res.Refusal, name) {
							assert.Equal(t, http.StatusBadGateway, res.Refusal.HTTPStatus(), name)
							assert.Zero(t, res.Refusal.RetryAfter, name)
						}
					}
				}
			}
		}
	}
}
