package afsync

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	// kindVMList is the kind of the message that carries a vmListRequest.
	kindVMList = "vms"
	// listInterval is the interval at which a VM reads the platform's list of VMs.
	listInterval = 5 * time.Second
	// maxVMsReadingList is the largest fleet in which each VM reads the list. In a larger fleet only the VMs that watch
	// the platform read the list, and the other VMs fetch it from peers.
	maxVMsReadingList = 8
	// staleListAge is the age of the list from which a VM that does not watch the platform reads the list from the
	// platform, since no watcher seems reachable.
	staleListAge = 3 * listInterval

	// stateLeaving is the state of a listed VM that is shutting down.
	stateLeaving = "leaving"
)

// vmList is the platform's list of VMs, read from the platform or fetched from a peer. It is immutable.
type vmList struct {
	vms []arbutusfork.VM
	// requestedAt is a moment at or before the request to the platform, on this VM's monotonic clock.
	requestedAt time.Time
	// digest is the digest of the content. It is never zero.
	digest int64
}

// vmSpec is the spec of an object in the platform's list of VMs.
type vmSpec struct {
	Address    string `json:"address"`
	Datacentre string `json:"datacentre"`
	State      string `json:"state"`
}

// vmListRequest asks a peer for its list of VMs.
type vmListRequest struct{}

// vmListAnswer is the list of VMs that a peer holds.
type vmListAnswer struct {
	Digest int64 `msgpack:"digest"`
	// Age is the age of the list when the answer was sent, in milliseconds, rounded up.
	Age int64   `msgpack:"age"`
	VMs []vmRow `msgpack:"vms"`
}

// vmRow is one VM of a vmListAnswer. It is encoded as an array, since field names would take most of its size.
type vmRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads the option from the field of this name.

	Name, Address, Centre string
	State                 int
}

// ListedMembership returns the membership with the latest list of VMs from the platform, and a moment at or before the
// request for that list. The time is zero until this VM has a list.
func (s *Service) ListedMembership() (afmember.View, time.Time) {
	l := s.list.Load()
	if l == nil {
		return s.Membership(), time.Time{}
	}
	return s.Membership().WithList(l.vms), l.requestedAt
}

// isListShared reports whether the fleet is so large that VMs fetch the list from peers instead of the platform.
func (s *Service) isListShared() bool {
	return len(s.Membership().PossiblyAliveVMs()) > maxVMsReadingList
}

// refreshList reads the platform's list if this VM is responsible for doing so. In a large fleet a VM that does not watch
// the platform reads the list only if its list is stale, at an interval that grows with the fleet, so that an outage does
// not make all VMs query the platform.
func (s *Service) refreshList(now time.Time) {
	if n := len(s.Membership().PossiblyAliveVMs()); n > maxVMsReadingList && !s.Membership().IsPlatformWatcher() {
		interval := listInterval * time.Duration(n/maxVMsReadingList)
		l := s.list.Load()
		if l != nil && now.Sub(l.requestedAt) < staleListAge || now.Sub(s.listRequestedAt) < interval {
			return
		}
	}
	s.readList()
}

// readList reads the list of VMs from the platform unless a read is in progress.
func (s *Service) readList() {
	if s.isReadingList {
		return
	}
	s.isReadingList = true
	requestedAt := s.Timer.Now()
	s.listRequestedAt = requestedAt
	go func() {
		objects, _, err := s.Client.List(s.ctx, afobject.KindVMs)
		s.events.PushWithContext(s.ctx, func() {
			s.isReadingList = false
			if err != nil {
				s.log().Debug("reading the list of VMs failed", "error", err)
				return
			}
			s.storeListIfNewer(s.decodeVMs(objects), requestedAt)
		})
	}()
}

// decodeVMs decodes the list of VMs. A VM of the previous list whose entry cannot be decoded any more stays listed, since a VM
// that is missing counts as gone.
func (s *Service) decodeVMs(objects []afobject.Object) []arbutusfork.VM {
	vms := make([]arbutusfork.VM, 0, len(objects))
	odd := make(map[string]int64)
	for _, o := range objects {
		var spec vmSpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			odd[o.Name] = o.Version
			if version, known := s.oddVMs[o.Name]; !known || version != o.Version {
				s.log().Warn("malformed entry in the list of VMs ignored", "vm", o.Name, "error", err)
			}
			if i := slices.IndexFunc(s.listedVMs, func(vm arbutusfork.VM) bool { return vm.Name == o.Name }); i >= 0 {
				vms = append(vms, s.listedVMs[i])
			}
			continue
		}
		vm := arbutusfork.VM{Name: o.Name, Address: spec.Address, Centre: spec.Datacentre}
		if spec.State == stateLeaving {
			vm.State = arbutusfork.VMLeaving
		}
		vms = append(vms, vm)
	}
	s.oddVMs = odd
	return vms
}

// storeListIfNewer stores a list if it was requested later than the stored list.
func (s *Service) storeListIfNewer(vms []arbutusfork.VM, requestedAt time.Time) {
	old := s.list.Load()
	if old != nil && !requestedAt.After(old.requestedAt) {
		return
	}
	next := &vmList{vms: vms, requestedAt: requestedAt, digest: digestVMs(vms)}
	s.list.Store(next)
	s.listedVMs = vms
	s.SetListedVMs(vms)
}

// digestVMs returns a digest of the list that does not depend on its order.
func digestVMs(vms []arbutusfork.VM) int64 {
	sorted := slices.SortedFunc(slices.Values(vms), func(a, b arbutusfork.VM) int { return cmp.Compare(a.Name, b.Name) })
	d := xxhash.New()
	for _, vm := range sorted {
		for _, field := range []string{vm.Name, vm.Address, vm.Centre, strconv.Itoa(int(vm.State))} {
			_, _ = d.WriteString(field + "\x00") // Writing to the digest never fails.
		}
	}
	return max(int64(d.Sum64()>>1), 1)
}

// handleListDigest handles a peer's report of its list of VMs. If the peer's list is newer, this VM advances the time of
// its own list when the digests are equal, and fetches the peer's list otherwise.
func (s *Service) handleListDigest(vm string, digest int64, requestedAt time.Time) {
	if digest == 0 || !s.isListShared() {
		return
	}
	l := s.list.Load()
	switch {
	case l != nil && !requestedAt.After(l.requestedAt):
	case l != nil && digest == l.digest:
		s.list.Store(&vmList{vms: l.vms, requestedAt: requestedAt, digest: digest})
	default:
		s.pullList(vm)
	}
}

// answerListRequest returns the list of VMs that this VM holds.
func (s *Service) answerListRequest(arbutusfork.Incarnation, []byte) (any, error) {
	l := s.list.Load()
	if l == nil {
		return nil, &Error{Op: "list of VMs", Kind: NoVMList}
	}
	out := vmListAnswer{Digest: l.digest, Age: s.Timer.Now().Sub(l.requestedAt).Milliseconds() + 1}
	for _, vm := range l.vms {
		out.VMs = append(out.VMs, vmRow{Name: vm.Name, Address: vm.Address, Centre: vm.Centre, State: int(vm.State)})
	}
	return out, nil
}

// pullList fetches the list that another VM holds. The age in the answer is counted back from the moment when this VM
// sent the request, so that the list never appears newer than it is.
func (s *Service) pullList(vm string) {
	if s.isPullingList {
		return
	}
	s.isPullingList = true
	sentAt := s.Timer.Now()
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, pullTimeout)
		defer cancel()
		var answer vmListAnswer
		err := s.CallVM(ctx, vm, kindVMList, vmListRequest{}, &answer)
		s.events.PushWithContext(s.ctx, func() {
			s.isPullingList = false
			if err != nil {
				s.log().Debug("fetching the list of VMs from a peer failed", "vm", vm, "error", err)
				return
			}
			vms := make([]arbutusfork.VM, 0, len(answer.VMs))
			for _, row := range answer.VMs {
				vms = append(vms, arbutusfork.VM{
					Name: row.Name, Address: row.Address, Centre: row.Centre, State: arbutusfork.VMState(row.State),
				})
			}
			s.storeListIfNewer(vms, sentAt.Add(-time.Duration(answer.Age)*time.Millisecond))
		})
	}()
}
