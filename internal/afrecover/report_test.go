package afrecover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var noon = time.Date(2026, 1, 5, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return noon.Add(time.Duration(seconds * float64(time.Second))) }

// A limit that restarts full on a reborn VM admits too much only over a short interval, which the total hides.
func TestExcessLooksAtEveryInterval(t *testing.T) {
	l := Limit{Rate: 10, Burst: 100}
	grants := []grant{
		{at(0), at(0), 100},
		{at(50), at(50), 100},
		{at(51), at(51), 60},
	}
	assert.Equal(t, int64(50), l.excess(grants))
	assert.LessOrEqual(t, l.excess(grants[:2]), int64(0))
}

// Tokens count from the answer on: a request that waited was admitted at an unknown moment, which must not be
// held against the limit.
func TestExcessAllowsWaiting(t *testing.T) {
	l := Limit{Rate: 10, Burst: 100}
	assert.LessOrEqual(t, l.excess([]grant{{at(0), at(0), 100}, {at(0), at(10), 100}}), int64(0))
}

// A payment that ran twice, and a "not run" that is false, must not go unseen.
func TestPaymentContradictions(t *testing.T) {
	paid := Payment{ID: "p", Attempts: []Sample{{Result: ResultCut}, {Result: ResultAnswered}}}
	notRun := Payment{ID: "p", Attempts: []Sample{{Result: ResultRefused, Outcome: "not run"}}}
	unclear := Payment{ID: "p", Attempts: []Sample{{Result: ResultRefused, Outcome: "not run"}, {Result: ResultCut}}}
	for _, c := range []struct {
		name    string
		payment Payment
		runs    int
		wrong   bool
	}{
		{"paid once", paid, 1, false},
		{"paid and run twice", paid, 2, true},
		{"paid and not run", paid, 0, true},
		{"not run", notRun, 0, false},
		{"not run and run", notRun, 1, true},
		{"unclear and run", unclear, 1, false},
		{"unclear and run twice", unclear, 2, true},
	} {
		assert.Equal(t, c.wrong, c.payment.wrong(c.runs) != "", c.name)
	}
}

// Only a VM that fails its readiness checks may cut or delay requests; in strict mode none may.
func TestCheckExcusesOnlyFailedVMs(t *testing.T) {
	failed := func(vm int, _, _ time.Time) bool { return vm == 3 }
	late := at((requestDeadline + 2*lateSlack).Seconds())
	for _, c := range []struct {
		name   string
		sample Sample
		strict bool
		want   string
	}{
		{"answered", Sample{SentAt: noon, HeaderAt: noon}, true, ""},
		{"cut at a dead VM", Sample{VM: 3, Result: ResultCut}, false, ""},
		{"cut at a live VM", Sample{VM: 2, Result: ResultCut}, false, "C6"},
		{"cut in a planned stop", Sample{VM: 3, Result: ResultCut}, true, "C10"},
		{"truncated", Sample{VM: 3, Result: ResultTruncated}, false, "C6"},
		{"limited in a planned stop", Sample{Result: ResultRefused, Code: "rate_limited"}, true, ""},
		{"late at a live VM", Sample{VM: 2, SentAt: noon, HeaderAt: late}, false, "C3"},
		{"late at a frozen VM", Sample{VM: 3, SentAt: noon, HeaderAt: late}, false, ""},
	} {
		var r Report
		r.check(c.sample, c.strict, failed)
		if c.want == "" {
			assert.Empty(t, r.Violations, c.name)
			continue
		}
		if assert.Len(t, r.Violations, 1, c.name) {
			assert.Contains(t, r.Violations[0], c.want+":", c.name)
		}
	}
}

// The balancer sends nothing to a VM that is not ready, and a retry goes elsewhere while another VM is ready.
func TestBalancerPicksReadyVMs(t *testing.T) {
	b := newBalancer(make([]string, 3))
	_, ok := b.pick(-1)
	assert.False(t, ok)
	b.ready = []bool{true, false, true}
	seen := make(map[int]int)
	for range 4 {
		vm, _ := b.pick(-1)
		seen[vm]++
	}
	assert.Equal(t, map[int]int{0: 2, 2: 2}, seen)
	vm, _ := b.pick(0)
	assert.Equal(t, 2, vm)
	b.ready = []bool{true, false, false}
	vm, ok = b.pick(0)
	assert.True(t, ok)
	assert.Equal(t, 0, vm)
}
