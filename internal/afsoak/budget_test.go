package afsoak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a check that overlooks too many retries, or counts those of several windows together.
func TestRetriesBeyondTheBudgetAreFound(t *testing.T) {
	times := func(n int, step float64) (out []time.Time) {
		for i := range n {
			out = append(out, at(float64(i)*step))
		}
		return out
	}
	for name, c := range map[string]struct {
		requests, retries []time.Time
		want              int
		isOver            bool
	}{
		"within":                  {times(50, 0.1), times(53, 0.1), 53, false},
		"one more":                {times(50, 0.01), times(63, 0.01), 63, true},
		"spread over two windows": {nil, times(104, 0.2), 50, false},
		"too many in one window":  {nil, times(106, 0.15), 67, true},
	} {
		use := mostOfBudget(c.requests, c.retries, 52)
		require.Equal(t, c.want, use.n, name)
		require.Equal(t, c.isOver, use.isOver(), name)
	}
}
