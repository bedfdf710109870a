package afkeeper

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// Guards against a repeated report of an older state that replaces a newer one, and against an engine whose reports are ignored
// for good after one odd report.
func TestOlderReportIsIgnored(t *testing.T) {
	startedAt := time.Now()
	timer := &aftimer.Service{}
	s := &Service{Timer: timer, Log: slog.New(slog.DiscardHandler)}
	s.Init()
	es := &engineState{adapterReadyAt: map[string]time.Time{}, closingEndsAt: map[string]time.Time{}}
	es.entry.StartUnixMs = 1
	s.engines["i-1"] = es
	report := func(after time.Duration, orders int64, models ...afengine.LoadedModel) {
		timer.AdvanceTo(startedAt.Add(after))
		s.handleReport(reportResult{endpointID: "i-1", born: 1, requestedAt: timer.Now(), report: afengine.Report{StartUnixMs: 1, AcceptedOrders: orders, Models: models}})
	}
	report(0, 4, afengine.LoadedModel{Model: "m1"})
	report(10*time.Second, 5)
	report(20*time.Second, 4, afengine.LoadedModel{Model: "m1"})
	require.Empty(t, es.report.Models)
	require.EqualValues(t, 5, es.acceptedOrders)
	report(21*time.Second, 1<<53)
	for i := range time.Duration(maxOlderReports + 1) {
		report((22+i)*time.Second, 5)
	}
	require.EqualValues(t, 5, es.acceptedOrders)
}
