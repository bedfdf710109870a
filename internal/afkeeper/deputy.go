package afkeeper

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// deputyTimeout bounds a spend request to the deputy, which may have to forward the request to the holder first.
	deputyTimeout = forwardTimeout + spendTimeout
	// forwardTimeout is how long the deputy waits for the holder's answer before it treats the holder as silent. It is above
	// spendTimeout, so that a holder that answers other VMs in time also answers the deputy in time.
	forwardTimeout = 300 * time.Millisecond
)

// deputyState is what this VM knows about the deputy: the VM that grants units of the customers' limits while the holder is
// silent, and that takes the lease first. The holder names the deputy in its views.
type deputyState struct {
	// vm is the name of the deputy, or empty if there is none.
	vm string
	// isHolderSilent means that the holder failed to answer a spend request of this VM from its buckets since its last view, or
	// one that this VM forwarded as deputy.
	isHolderSilent bool
}

// chooseDeputy returns the VM to name as deputy: the previous deputy if it still sends reports, otherwise the first VM that
// sends reports and does not yield the lease. It returns an empty string if there is none.
func (s *Service) chooseDeputy(reports map[string]vmReport, members []arbutusfork.VM) string {
	s.mu.Lock()
	previous := s.deputy.vm
	s.mu.Unlock()
	best := ""
	for _, vm := range members {
		report, isReporting := reports[vm.Name]
		switch {
		case vm.Name == s.Self.VM, !isReporting, report.YieldsLease:
		case vm.Name == previous:
			return previous
		case best == "":
			best = vm.Name
		}
	}
	return best
}

// advanceGrantFraction returns the fraction of the customers' limits that the VMs of a small fleet are granted ahead of
// requests. In a larger one, it is what all VMs together use by themselves while the holder is silent; it is small there, since
// most of it stays unused in shares that are smaller than a request.
func advanceGrantFraction(vms int) float64 {
	return grantedFraction * min(1, float64(smallFleetVMs)/float64(max(vms, 1)))
}

// FractionUsableWithoutGrants returns the fraction of the limits that all VMs together may use while they receive no grants.
// It is 1 unless there is a deputy that grants the rest.
func (s *Service) FractionUsableWithoutGrants() float64 {
	s.mu.Lock()
	hasDeputy := s.deputy.vm != ""
	s.mu.Unlock()
	if !hasDeputy {
		return 1
	}
	return advanceGrantFraction(s.ListedVMCount())
}

// spendAsDeputy answers a spend request if this VM is the deputy. It forwards the request to the holder, and takes the units
// from its own bucket if the holder does not answer or no longer holds the lease.
func (s *Service) spendAsDeputy(r spendRequest) spendAnswer {
	s.mu.Lock()
	isDeputy, isHolderSilent, holder := s.deputy.vm == s.Self.VM, s.deputy.isHolderSilent, s.holder
	s.mu.Unlock()
	if !isDeputy {
		return spendAnswer{}
	}
	if !isHolderSilent && holder != "" && holder != s.Self.VM {
		ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
		defer cancel()
		var a spendAnswer
		err := s.CallVM(ctx, holder, KindSpendRequest, r, &a)
		if err == nil && a.KeepsBucket {
			return a
		}
		s.markHolderSilent(holder, err)
	}
	members := len(s.LiveVMs())
	s.mu.Lock()
	defer s.mu.Unlock()
	liveFraction := float64(members) / float64(max(s.ListedVMCount(), members, 1)) * (1 - advanceGrantFraction(members))
	return s.takeFromBucket(r, liveFraction)
}

// markHolderSilent makes the deputy answer spend requests itself until the holder's next view.
func (s *Service) markHolderSilent(holder string, err error) {
	if s.setHolderSilent(holder) {
		s.Log.Info("deputy took over customer limits from silent holder", "holder", holder, "error", err)
	}
}

// setHolderSilent records that the holder failed to answer a spend request. It returns false if that is known, or if another VM
// has become the holder meanwhile.
func (s *Service) setHolderSilent(holder string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := !s.deputy.isHolderSilent && s.holder == holder
	if s.holder == holder {
		s.deputy.isHolderSilent = true
	}
	return isNew
}

// resetDeputy sets the deputy named in a view. It discards the buckets, since the holder keeps them while it sends views.
func (s *Service) resetDeputy(deputy string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deputy = deputyState{vm: deputy}
	clear(s.buckets)
}
