package afquota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShareRefusals guards against refusals within rate. With -v it prints the figures for a static split and for shares
// with loans.
func TestShareRefusals(t *testing.T) {
	base := Scenario{VMs: 6, Rate: 10_000, Burst: 20_000, Load: 0.8, Duration: 3 * time.Minute, Settling: time.Second, Seed: 1}
	for _, x := range []struct {
		name   string
		change func(*Scenario)
	}{
		{"even", func(*Scenario) {}},
		{"skew", func(s *Scenario) { s.Shift = 20 * time.Second }},
		{"skew at the whole rate", func(s *Scenario) { s.Shift, s.Load = 20*time.Second, 1 }},
		{"skew, counts at the rate", func(s *Scenario) { s.Shift, s.Load = 20*time.Second, 1.6 }},
		{"deaths", func(s *Scenario) { s.Death, s.Lag, s.Absence = 20*time.Second, 3*time.Second, 5*time.Second }},
		{"skew and deaths", func(s *Scenario) {
			s.Shift, s.Death, s.Lag, s.Absence = 20*time.Second, 25*time.Second, 3*time.Second, 5*time.Second
		}},
		{"fivefold", func(s *Scenario) { s.Load = 5 }},
		{"fivefold skew", func(s *Scenario) { s.Load, s.Shift = 5, 20*time.Second }},
	} {
		sc := base
		x.change(&sc)
		split, loans := MeasureSplit(sc), MeasureLoans(sc)
		t.Logf("%-24s split %+v", x.name, split)
		t.Logf("%-24s loans %+v", x.name, loans)
		require.LessOrEqual(t, loans.Peak, sc.Burst)
		if sc.Load <= 1 && sc.Death == 0 {
			require.Zero(t, loans.WithinRate, x.name)
		}
	}
}
