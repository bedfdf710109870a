package afexplain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const traceLog = `prefix {"time":"2026-01-01T00:00:01Z","level":"INFO","vm":"vm2","msg":"order decided","endpoint":"i-1","model":"m1","reason":"requests wait","takes":6000000000}
not a log line
{"time":"2026-01-01T00:00:01Z","level":"INFO","vm":"vm2","msg":"order decided","endpoint":"i-9","model":"m9"}
{"time":"2026-01-01T00:00:09Z","level":"INFO","vm":"vm2","msg":"order decided","endpoint":"i-1","model":"m1"}
{"time":"2026-01-01T00:00:02.5Z","level":"INFO","vm":"vm1","msg":"request ended","request":"abc1","model":"m1","outcome":"not run","status":503,"total":2000000000,"waited":1750000000,"code":"no_capacity"}
{"time":"2026-01-01T00:00:02.6Z","level":"INFO","vm":"vm1","msg":"request ended","request":"abd2","model":"m1","outcome":"answered","status":200,"total":1000000}
`

// TestTraceMergesLogsOfSeveralVMs guards against a timeline that leaves out a placement order in another VM's log, although
// the order explains the outcome of the request.
func TestTraceMergesLogsOfSeveralVMs(t *testing.T) {
	tr := RequestTrace{RequestID: "abc"}
	require.NoError(t, tr.ReadLog(strings.NewReader(traceLog)))
	var b strings.Builder
	require.NoError(t, tr.WriteTimeline(&b))
	require.Equal(t, "   +0.500s vm2                order decided endpoint=i-1 model=m1 reason=requests wait takes=6000ms\n"+
		"   +2.000s vm1                request ended code=no_capacity model=m1 outcome=not run request=abc1 status=503 total=2000ms waited=1750ms\n",
		b.String())
}

// TestTraceRequiresOneMatchingRequest guards against a timeline that mixes two requests, and against an empty timeline
// without an error.
func TestTraceRequiresOneMatchingRequest(t *testing.T) {
	for id, want := range map[string]string{"ab": "several requests", "zz": "no line names a request"} {
		tr := RequestTrace{RequestID: id}
		require.NoError(t, tr.ReadLog(strings.NewReader(traceLog)))
		require.ErrorContains(t, tr.WriteTimeline(&strings.Builder{}), want)
	}
}
