package afdispatch

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

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
