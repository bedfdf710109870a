package afquota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShareRefusals guards against admitting more than the limit under any load. With -v it logs the refusals of an
// equal split and of base shares with loans.
func TestShareRefusals(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*Scenario)
	}{
		{"spread evenly", func(*Scenario) {}},
		{"all on one VM", func(s *Scenario) { s.ShiftInterval = 20 * time.Second }},
		{"all on one VM, full rate", func(s *Scenario) { s.ShiftInterval, s.LoadFactor = 20*time.Second, 1 }},
		{"all on one VM, used tokens at the rate", func(s *Scenario) { s.ShiftInterval, s.LoadFactor = 20*time.Second, 1.6 }},
		{"VMs die", func(s *Scenario) {
			s.DeathInterval, s.DeathListingDelay, s.RestartDelay = 20*time.Second, 3*time.Second, 5*time.Second
		}},
		{"all on one VM, VMs die", func(s *Scenario) {
			s.ShiftInterval, s.DeathInterval, s.DeathListingDelay, s.RestartDelay = 20*time.Second, 25*time.Second, 3*time.Second, 5*time.Second
		}},
		{"messages lost", func(s *Scenario) { s.LossPercent = 10 }},
		{"five times the rate", func(s *Scenario) { s.LoadFactor = 5 }},
		{"all on one VM, five times the rate", func(s *Scenario) { s.LoadFactor, s.ShiftInterval = 5, 20*time.Second }},
	} {
		for _, burst := range []int64{20_000, 60_000} {
			sc := Scenario{VMs: 6, Rate: 10_000, Burst: burst, LoadFactor: 0.8, Duration: 3 * time.Minute, SettlingTime: time.Second, Seed: 1}
			tc.change(&sc)
			equalSplit, loans := MeasureEqualSplit(sc), MeasureLoans(sc)
			t.Logf("%-38s burst %d, equal split: %+v", tc.name, burst, equalSplit)
			t.Logf("%-38s burst %d, loans: %+v", tc.name, burst, loans)
			require.LessOrEqual(t, loans.PeakAboveRate, sc.Burst)
		}
	}
}

// TestNoRefusalWithinRate guards against refusing a request within the rate more than a second after the demand has
// moved.
func TestNoRefusalWithinRate(t *testing.T) {
	for _, sc := range []Scenario{
		{Burst: 20_000, LoadFactor: 0.8},
		{Burst: 20_000, LoadFactor: 0.8, ShiftInterval: 20 * time.Second},
		{Burst: 60_000, LoadFactor: 1, ShiftInterval: 20 * time.Second},
	} {
		requireNoRefusal(t, sc)
	}
}

// TestNoRefusalAtSmallBurst guards against refusing a request within the rate more than a second after the demand has
// moved, at the full rate with a burst of two seconds. Open reservations alone can fill such a burst, so that
// refusals depend on which reservations lose their refund.
func TestNoRefusalAtSmallBurst(t *testing.T) {
	requireNoRefusal(t, Scenario{Burst: 20_000, LoadFactor: 1, ShiftInterval: 20 * time.Second})
}

func requireNoRefusal(t *testing.T, sc Scenario) {
	t.Helper()
	offered, refused := int64(0), int64(0)
	for seed := range uint64(8) {
		sc.VMs, sc.Rate, sc.Duration, sc.SettlingTime, sc.Seed = 6, 10_000, 3*time.Minute, time.Second, seed
		r := MeasureLoans(sc)
		offered, refused = offered+r.OfferedRequests, refused+r.RefusedWithinRate
	}
	require.Zero(t, refused, "requests refused within the rate, of %d offered: %+v", offered, sc)
}

// TestLimitUnderFaults guards against admitting more than the limit when messages and platform answers are lost, VMs
// die, and the demand moves between VMs.
func TestLimitUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		r := MeasureLoans(Scenario{
			VMs: 10, Rate: 2000, Burst: 9000, LoadFactor: 4, UsesWholeReservation: seed%2 == 0, LossPercent: 25, ShiftInterval: 7 * time.Second,
			DeathInterval: 11 * time.Second, DeathListingDelay: 3 * time.Second, RestartDelay: 4 * time.Second, Duration: time.Minute, Seed: seed,
		})
		require.LessOrEqual(t, r.PeakAboveRate, int64(9000), "seed %d", seed)
		if seed < 4 {
			t.Logf("seed %d: %+v", seed, r)
		}
	}
}
