package afsoak

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

// Guards against a play that takes a damaged stream for a whole one.
func TestDamagedStreamsBesideSilenceAreFound(t *testing.T) {
	whole := ""
	for i := 1; i <= silenceEvents; i++ {
		whole += afplatform.StreamEvent("r", i)
	}
	first, second := afplatform.StreamEvent("r", 1), afplatform.StreamEvent("r", 2)
	for name, c := range map[string]struct {
		call
		want string
	}{
		"whole":          {call{status: 200, body: whole, isComplete: true}, ""},
		"cut":            {call{status: 200, body: first, err: errors.New("EOF")}, "CUT"},
		"ends early":     {call{status: 200, body: first, isComplete: true}, "WHOLE"},
		"missing event":  {call{status: 200, body: second, isComplete: true}, "ORDER"},
		"event twice":    {call{status: 200, body: first + first, isComplete: true}, "ORDER"},
		"refused":        {call{status: 503, isComplete: true}, "REFUSED"},
		"without answer": {call{err: errors.New("EOF")}, "REFUSED"},
	} {
		c.id = "r"
		rule, _ := checkSilenceCall(c.call)
		require.Equal(t, c.want, rule, name)
	}
}

// Guards against a play that overlooks too many retries, or counts those of several windows together.
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
	}{
		"within":                  {times(50, 0.1), times(53, 0.1), 0},
		"one more":                {times(50, 0.01), times(63, 0.01), 63},
		"spread over two windows": {nil, times(104, 0.2), 0},
		"too many in one window":  {nil, times(106, 0.15), 53},
	} {
		_, n, _ := exceededBudget(c.requests, c.retries)
		require.Equal(t, c.want, n, name)
	}
}
