package afkeeper

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// deputyTimeout bounds the question to the deputy, which may have to ask the holder first.
	deputyTimeout = forwardTimeout + spendTimeout
	// forwardTimeout is how long the deputy waits for the holder's answer before it takes the holder for silent. It is
	// above spendTimeout, so that a holder that answers the VMs in time answers the deputy too.
	forwardTimeout = 150 * time.Millisecond
)

// deputy is a VM that answers for the holder while that is silent: it gives units of the customers' limits, and takes
// the lease first. The holder names it in its views.
type deputy struct {
	vm string
	// silent means that the holder has not given this VM, the deputy, an answer from a ledger since its last view.
	silent bool
}

// choose returns the VM that answers for a silent holder: the one before if its beats still come, else the first one
// with a full link.
func (s *Service) choose(beats map[string]beat, members []arbutusfork.VM) string {
	s.mu.Lock()
	old := s.deputy.vm
	s.mu.Unlock()
	best := ""
	for _, vm := range members {
		b, heard := beats[vm.Name]
		switch {
		case vm.Name == s.Self.VM, !heard, b.Small:
		case vm.Name == old:
			return old
		case best == "":
			best = vm.Name
		}
	}
	return best
}

// ahead returns the part of the customers' limits that the VMs may use without asking. In a large fleet it is small, since
// most of it would lie unused in parts that are too small for a request.
func ahead(vms int) float64 {
	return grantPart * min(1, float64(smallFleet)/float64(max(vms, 1)))
}

// FractionUsableWithoutGrants returns the part of the limits that all VMs together may use while no grants come: all of it unless a deputy
// gives the rest.
func (s *Service) FractionUsableWithoutGrants() float64 {
	s.mu.Lock()
	known := s.deputy.vm != ""
	s.mu.Unlock()
	if !known {
		return 1
	}
	return ahead(s.ListedVMCount())
}

// answer gives units of a customer's limit for the holder, if that does not answer or does not hold the lease any more.
func (s *Service) answer(r spendRequest) spendAnswer {
	s.mu.Lock()
	mine, silent, holder := s.deputy.vm == s.Self.VM, s.deputy.silent, s.holder
	s.mu.Unlock()
	if !mine {
		return spendAnswer{}
	}
	if !silent && holder != "" && holder != s.Self.VM {
		ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
		defer cancel()
		var a spendAnswer
		err := s.CallVM(ctx, holder, KindSpendRequest, r, &a)
		if err == nil && a.Kept {
			return a
		}
		s.setSilent(holder, err)
	}
	members := len(s.LiveVMs())
	s.mu.Lock()
	defer s.mu.Unlock()
	live := float64(members) / float64(max(s.ListedVMCount(), members, 1)) * (1 - ahead(members))
	return s.give(r, live)
}

func (s *Service) setSilent(holder string, err error) {
	s.mu.Lock()
	known := s.deputy.silent
	s.deputy.silent = true
	s.mu.Unlock()
	if !known {
		s.Log.Info("holder silent; limits are kept by its deputy", "holder", holder, "error", err)
	}
}

// heardHolder ends this VM's part as a deputy until the holder is silent again.
func (s *Service) heardHolder(named string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deputy = deputy{vm: named}
	clear(s.ledgers)
}
