package afsoak

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

// at returns a time of a run, in seconds.
func at(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }

// Guards against a check that overlooks a process that goes back to an older configuration, or reports one that only lags.
func TestConfigRevertsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		statuses []int // Of requests that are sent a second apart from 1 s on and take 0.1 s.
		want     int
	}{
		"lags and follows":                     {[]int{200, 200, 200, 401, 401, 200, 200}, 0},
		"accepts a withdrawn key again":        {[]int{200, 200, 401, 200, 401, 200, 200}, 1},
		"refuses a key that was issued again":  {[]int{200, 200, 401, 401, 401, 200, 401}, 1},
		"never learns of either change":        {[]int{200, 200, 200, 200, 200, 200, 200}, 0},
		"refuses a key before it is withdrawn": {[]int{200, 401, 401, 401, 401, 200, 200}, 1},
	} {
		s := Soak{Output: io.Discard, callers: &callers{}, keyToggles: []time.Time{at(2.5), at(5.5)}}
		v := &vm{name: "vm1"}
		for i, status := range c.statuses {
			sentAt := at(float64(i + 1))
			s.callers.calls = append(s.callers.calls, call{id: fmt.Sprint(i), key: revokedKey, vm: v, status: status, sentAt: sentAt, endedAt: sentAt.Add(100 * time.Millisecond)})
		}
		s.checkConfigReverts()
		require.Len(t, s.violations, c.want, name)
	}
}

// Guards against a check that overlooks requests to an endpoint that drains, or counts those of a VM that could not know.
func TestRequestsToDrainingEndpointsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		sentAt, faultFree float64
		goBacks           []goBack
		restarts          []time.Time
		want              int
	}{
		"known":                                       {13, 60, nil, nil, 1},
		"not known yet":                               {11.5, 60, nil, nil, 0},
		"VM was faulty":                               {13, 1, nil, nil, 0},
		"known before the store went back":            {14, 60, []goBack{{at(13), at(14.5)}}, nil, 1},
		"not known before the store went back":        {14, 60, []goBack{{at(11), at(12.5)}}, nil, 0},
		"known after it was written again":            {16, 60, []goBack{{at(11), at(12.5)}}, nil, 1},
		"known between two times the store went back": {17.5, 60, []goBack{{at(11), at(12.5)}, {at(17), at(18)}}, nil, 1},
		"started again, ready":                        {13, 60, nil, []time.Time{at(12)}, 0},
		"started again twice":                         {13, 60, nil, []time.Time{at(12), at(14)}, 0},
		"started again later":                         {13, 60, nil, []time.Time{at(14)}, 1},
		"started again before":                        {13, 60, nil, []time.Time{at(9)}, 1},
	} {
		e := &endpoint{Endpoint: &afplatform.Endpoint{ID: "i-1"}, restarts: c.restarts}
		s := Soak{Output: io.Discard, goBacks: c.goBacks, drains: []drain{{e, at(10)}}, callers: &callers{}, fleet: &fleet{}}
		s.callers.calls = []call{{id: "r", vm: &vm{name: "vm1"}, sentAt: at(c.sentAt), vmFaultFreeTime: time.Duration(c.faultFree * float64(time.Second))}}
		s.fleet.executions = map[string][]afplatform.ExecutedRequest{"r": {{RequestID: "r", EndpointID: "i-1", ExecutedAt: at(c.sentAt)}}}
		s.checkDrains()
		require.Len(t, s.violations, c.want, name)
	}
}
