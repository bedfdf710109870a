package afconfig

import (
	"net/netip"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
)

const (
	// maxCount bounds slots, accelerators and loads. Products of two counts and sums over all endpoints do not overflow.
	maxCount = 1_000_000
	// maxAmount bounds tokens and MB.
	maxAmount = 1_000_000_000_000
	// maxLoadMillis is three years, far below the longest time.Duration.
	maxLoadMillis = 100_000_000_000
)

// checkEndpoint fails for an endpoint that cannot be used.
func checkEndpoint(e arbutusfork.Endpoint) error {
	a, err := netip.ParseAddrPort(e.Address)
	switch {
	case err != nil:
		return err
	case a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return errors.Errorf("address %q is not that of one host", e.Address)
	}
	return checkRanges([]amount{{"slots", int64(e.Slots), maxCount}, {"memory", e.MemoryMB, maxAmount}, {"accelerators", int64(e.Accelerators), maxCount}})
}

// checkModel fails for a model whose memory or load times cannot be used.
func checkModel(m arbutusfork.Model) error {
	return checkRanges([]amount{
		{"memory", m.MemoryMB, maxAmount},
		{"remote", m.StoreLoadMillis, maxLoadMillis},
		{"disk", m.DiskLoadMillis, maxLoadMillis},
		{"host", m.MemoryLoadMillis, maxLoadMillis},
		{"replicas", int64(m.MaxReplicas), maxCount},
	})
}

// checkCustomer fails for a customer whose limit cannot be used.
func checkCustomer(c arbutusfork.Customer) error {
	return checkRanges([]amount{{"rate", c.RatePerSecond, maxAmount}, {"burst", c.Burst, maxAmount}})
}

// checkService fails for a service whose bounds cannot be used.
func checkService(s arbutusfork.Service) error {
	if !(s.LoadsPerSecond >= 0 && s.LoadsPerSecond <= maxCount) {
		return errors.Errorf("loads %v is out of range", s.LoadsPerSecond)
	}
	return checkRanges([]amount{{"parallel", int64(s.ParallelLoads), maxCount}, {"replicas", int64(s.Policy.MaxReplicas), maxCount}})
}

// amount is a number of an object and the largest value that it may have. The least is zero.
type amount struct {
	name         string
	value, limit int64
}

func checkRanges(amounts []amount) error {
	for _, a := range amounts {
		if a.value < 0 || a.value > a.limit {
			return errors.Errorf("%s %d is out of range", a.name, a.value)
		}
	}
	return nil
}
