package afsoak

import (
	"errors"
	"testing"

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
		rule, _ := checkSilenceCall(c.call, silenceEvents)
		require.Equal(t, c.want, rule, name)
	}
}
