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
	"arbutusfork.example/arbutusfork/pkg/afversion"
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
	// listed are the VMs that the platform lists, and vms these and those that the store lost.
	listed, vms []arbutusfork.VM
	// lostUntil holds, by name, until when VMs that the store lost count as listed.
	lostUntil map[string]time.Time
	// era is the era of the store from which the list was read.
	era int64
	// requestedAt is a moment at or before the request to the platform, on this VM's monotonic clock.
	requestedAt time.Time
	// digest is the digest of the era and of what the platform lists. It is never zero.
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
	Age int64 `msgpack:"age"`
	// Era is the era of the store from which the list was read.
	Era int64   `msgpack:"era"`
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
		objects, version, err := s.Client.List(s.ctx, afobject.KindVMs)
		s.events.PushWithContext(s.ctx, func() {
			s.isReadingList = false
			if err != nil {
				s.log().Debug("reading the list of VMs failed", "error", err)
				return
			}
			s.storeListIfNewer(s.decodeVMs(objects), afversion.Era(version), requestedAt)
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

// storeListIfNewer stores a list of an era if it was requested later than the stored list.
func (s *Service) storeListIfNewer(vms []arbutusfork.VM, era int64, requestedAt time.Time) {
	old := s.list.Load()
	if old != nil && !requestedAt.After(old.requestedAt) {
		return
	}
	next := newVMList(old, vms, era, requestedAt)
	for name := range next.lostUntil {
		if _, known := old.lostUntil[name]; !known {
			s.log().Info("VM entry lost by the platform", "vm", name, "era", next.era, "before", old.era)
		}
	}
	s.list.Store(next)
	s.listedVMs = next.vms
	s.SetListedVMs(next.vms)
}

// newVMList returns the list that follows old, which may be nil. If the store came back from an older copy since old, the VMs of old
// that it lacks may run, so that they stay in the list for as long as the platform's list may lag behind.
func newVMList(old *vmList, listed []arbutusfork.VM, era int64, requestedAt time.Time) *vmList {
	next := &vmList{listed: listed, vms: listed, era: era, requestedAt: requestedAt}
	if old != nil {
		next.era = max(era, old.era)
		next.addLostVMs(old)
	}
	next.digest = digestVMs(next.listed, next.era)
	return next
}

// addLostVMs adds the VMs of the list before that the store lost and that may still run.
func (l *vmList) addLostVMs(old *vmList) {
	lost := make(map[string]time.Time)
	for _, vm := range old.vms {
		if slices.ContainsFunc(l.listed, func(other arbutusfork.VM) bool { return other.Name == vm.Name }) {
			continue
		}
		until := old.lostUntil[vm.Name]
		if l.era > old.era {
			until = l.requestedAt.Add(afmember.DefaultMaxListLag)
		}
		if until.After(l.requestedAt) {
			lost[vm.Name] = until
			l.vms = append(slices.Clip(l.vms), vm)
		}
	}
	l.lostUntil = lost
}

// digestVMs returns a digest of a list of an era that does not depend on the order of the list.
func digestVMs(vms []arbutusfork.VM, era int64) int64 {
	sorted := slices.SortedFunc(slices.Values(vms), func(a, b arbutusfork.VM) int { return cmp.Compare(a.Name, b.Name) })
	d := xxhash.New()
	if era > 0 {
		_, _ = d.WriteString(strconv.FormatInt(era, 10) + "\x00")
	}
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
	case l != nil && digest == l.digest && len(l.lostUntil) == 0:
		next := *l
		next.requestedAt = requestedAt
		s.list.Store(&next)
	case l != nil && digest == l.digest:
		s.storeListIfNewer(l.listed, l.era, requestedAt) // A VM that the store lost may not count as listed any more.
	default:
		s.pullList(vm)
	}
}

// answerListRequest returns the list of VMs that this VM holds, without those that the store lost: each VM keeps those that it knew.
func (s *Service) answerListRequest(arbutusfork.Incarnation, []byte) (any, error) {
	l := s.list.Load()
	if l == nil {
		return nil, &Error{Op: "list of VMs", Kind: NoVMList}
	}
	out := vmListAnswer{Digest: l.digest, Era: l.era, Age: s.Timer.Now().Sub(l.requestedAt).Milliseconds() + 1}
	for _, vm := range l.listed {
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
			s.storeListIfNewer(vms, answer.Era, sentAt.Add(-time.Duration(answer.Age)*time.Millisecond))
		})
	}()
}
