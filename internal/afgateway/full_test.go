package afgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are sent one after the other to an endpoint that refuses each because it is full, and against an
// endpoint that gets none although it has room again.
func TestFullEndpointGetsOneMoreRequestAtATime(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	once := fullEndpoint{}.withRefusal(3, 100, start)
	twice := once.withRefusal(4, 100, after(200*time.Millisecond))
	burst := once.withRefusal(4, 100, after(time.Millisecond))
	for _, c := range []struct {
		name        string
		state       fullEndpoint
		ownRequests int
		tokens      int64
		at          time.Duration
		want        bool
	}{
		{"never refused", fullEndpoint{}, 99, 100, 0, false},
		{"just refused", once, 3, 100, time.Millisecond, true},
		{"a request has ended", once, 2, 100, time.Millisecond, false},
		{"one more", once, 3, 100, 150 * time.Millisecond, false},
		{"not two more", once, 4, 100, 299 * time.Millisecond, true},
		{"two more", once, 4, 100, 300 * time.Millisecond, false},
		{"refused again, the time is twice as long", twice, 4, 100, 400 * time.Millisecond, true},
		{"refused again, later", twice, 4, 100, 500 * time.Millisecond, false},
		{"a smaller request", once, 3, 99, time.Millisecond, false},
		{"a larger request", once, 3, 101, time.Millisecond, true},
		{"refusals of requests that were on their way count once", burst, 4, 100, 152 * time.Millisecond, false},
	} {
		require.Equal(t, c.want, c.state.isFull(c.ownRequests, c.tokens, after(c.at)), c.name)
	}
	long := once
	for i := range 10 {
		long = long.withRefusal(0, 100, after(time.Duration(i+1)*time.Minute))
	}
	require.Equal(t, maxFullTime, long.fullTime)
}
