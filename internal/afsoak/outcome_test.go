package afsoak

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

// Guards against a check that overlooks an answer that was cut, or blames the VM for a fault of an endpoint or of the soak.
func TestCutAnswersAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		status              int
		isComplete          bool
		path                string
		endsAt              float64
		faultFrom, faultEnd float64
		haltAt, stopAt      float64
		runs                int
		want                int
	}{
		"cut":                            {status: 200, path: "/talk/x", endsAt: 12, runs: 1, want: 1},
		"whole":                          {status: 200, isComplete: true, path: "/talk/x", endsAt: 12, runs: 1},
		"no answer":                      {path: "/pay/x", endsAt: 11, runs: 1, want: 1},
		"no answer, not run":             {path: "/pay/x", endsAt: 11},
		"cut at the deadline":            {status: 200, path: "/talk/x", endsAt: 15.9, runs: 1},
		"cut before another deadline":    {status: 200, path: "/look/x", endsAt: 11.5, runs: 1, want: 1},
		"endpoint had a fault":           {status: 200, path: "/talk/x", endsAt: 12, faultFrom: 11, faultEnd: 11.5, runs: 1},
		"endpoint had a fault before":    {status: 200, path: "/talk/x", endsAt: 12, faultFrom: 8, faultEnd: 9, runs: 1, want: 1},
		"endpoint has a fault for good":  {status: 200, path: "/talk/x", endsAt: 12, faultFrom: 8, runs: 1},
		"VM was killed":                  {status: 200, path: "/talk/x", endsAt: 12, haltAt: 11.9, runs: 1},
		"VM was killed before the start": {status: 200, path: "/talk/x", endsAt: 12, haltAt: 9, runs: 1, want: 1},
		"stop, at work at its end":       {status: 200, path: "/talk/x", endsAt: 13.3, stopAt: 9, runs: 1},
		"stop, cut before its end":       {status: 200, path: "/talk/x", endsAt: 13, stopAt: 9, runs: 1, want: 1},
		"stop, sent late":                {status: 200, path: "/talk/x", endsAt: 11.3, stopAt: 6.9, runs: 1, want: 1},
		"stop, sent before":              {status: 200, path: "/talk/x", endsAt: 14.5, stopAt: 10.2, runs: 1},
	} {
		f := &fleet{}
		if c.faultFrom > 0 {
			fault := endpointFault{"i-1", period{startedAt: at(c.faultFrom)}}
			if c.faultEnd > 0 {
				fault.endedAt = at(c.faultEnd)
			}
			f.endpointFaults = []endpointFault{fault}
		}
		v := &vm{name: "vm1"}
		if c.haltAt > 0 {
			v.halts = []time.Time{at(c.haltAt)}
		}
		s := Soak{Output: io.Discard, fleet: f}
		if c.stopAt > 0 {
			s.plannedStops = []plannedStop{{vm: v, stoppedAt: at(c.stopAt)}}
		}
		req := call{id: "r", path: c.path, vm: v, status: c.status, isComplete: c.isComplete, sentAt: at(10), endedAt: at(c.endsAt)}
		if !c.isComplete {
			req.err = io.ErrUnexpectedEOF
		}
		var runs []afplatform.ExecutedRequest
		for range c.runs {
			runs = append(runs, afplatform.ExecutedRequest{RequestID: "r", EndpointID: "i-1"})
		}
		s.checkCut(req, runs)
		require.Len(t, s.violations, c.want, name)
	}
}
