package afgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request at a hung endpoint that never leaves it because later requests get each place that becomes free, and
// against later requests that wait for endpoints that only it cannot use.
func TestSilentRequestWaitsInItsTurn(t *testing.T) {
	places, usable := 0, 0
	newRequest := func(at int64, isReplacement bool) *waitingRequest {
		return &waitingRequest{
			service: "llm", model: "m1", arrivedAt: time.Unix(at, 0), isReplacement: isReplacement, acquired: make(chan acquiredEndpoint, 1),
			isUnservable: func() bool { return false },
			pickEndpoint: func() (acquiredEndpoint, bool) {
				available := &places
				if isReplacement {
					available = &usable
				}
				if *available == 0 || places == 0 {
					return acquiredEndpoint{}, false
				}
				*available--
				return acquiredEndpoint{}, true
			},
		}
	}
	var q waitingQueue
	later, silent := newRequest(2, false), newRequest(1, true)
	for _, r := range []*waitingRequest{later, silent} {
		_, ok := q.acquireOrAdd(r)
		require.False(t, ok)
	}
	require.Equal(t, 1, q.length())
	require.Equal(t, 1, q.countByModel(time.Unix(3, 0))[demandKey{"m1", ""}].requests)

	places = 1
	q.dispatch()
	require.Len(t, later.acquired, 1, "the silent request cannot use the place")
	require.Empty(t, silent.acquired)
	q.insert(newRequest(2, false))
	places, usable = 1, 1
	q.dispatch()
	require.Len(t, silent.acquired, 1)
	_, ok := q.retry(silent)
	require.True(t, ok)
}
