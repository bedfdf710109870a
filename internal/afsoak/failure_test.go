package afsoak

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

// Guards against a check that overlooks a status that promises the contrary of what happened, or blames the VM for a status that an
// endpoint gave to a request that may be repeated.
func TestFalsePromisesAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		status   int
		isSigned bool
		// gave is the status of the endpoint that ran the request, 200 for a success, or 0 if none ran it.
		gave int
		want int
	}{
		"payment, endpoint's":      {"/pay/x", 503, true, 503, 1},
		"stream, endpoint's":       {"/note/x", 429, true, 429, 1},
		"repeatable, endpoint's":   {"/look/x", 408, true, 408, 0},
		"repeatable, gateway's":    {"/talk/x", 503, false, 503, 1},
		"repeatable, another's":    {"/look/x", 429, true, 503, 2},
		"payment, withheld":        {"/pay/x", 502, false, 503, 0},
		"payment, with signature":  {"/pay/x", 502, true, 503, 1},
		"payment, own error":       {"/pay/x", 500, true, 500, 0},
		"payment, gateway refused": {"/pay/x", 503, false, 0, 0},
		"payment, answer lost":     {"/pay/x", 503, false, 200, 1},
	} {
		s := &Soak{Output: io.Discard}
		var executions []afplatform.ExecutedRequest
		if c.gave != 0 {
			r := afplatform.ExecutedRequest{EndpointID: "i-1"}
			if c.gave != 200 {
				r.FailureStatus = c.gave
			}
			executions = append(executions, r)
		}
		s.checkStatus(call{path: c.path, status: c.status, isSigned: c.isSigned}, executions)
		require.Len(t, s.violations, c.want, "%s: %v", name, s.violations)
	}
}
