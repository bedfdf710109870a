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
	kindVMs = "vms"
	// listPeriod is the interval at which the platform's list of VMs is read.
	listPeriod = 5 * time.Second
	// ownReaders is the number of known VMs up to which each VM reads the list. Beyond it, only watchers do, and the
	// other VMs take the list from their neighbours.
	ownReaders = 8
	// staleList is the age from which a VM that is no watcher asks the platform itself, since no watcher is in reach.
	staleList = 3 * listPeriod

	stateLeaving = "leaving"
)

// listing is one answer of the platform's list of VMs, read here or taken from a peer. It is immutable.
type listing struct {
	vms []arbutusfork.VM
	// asked is when the platform was asked, or an earlier moment, on this VM's monotonic clock.
	asked time.Time
	// digest stands for the content. It is never zero.
	digest int64
}

// wireVM is the spec of an object in the platform's list of VMs.
type wireVM struct {
	Address    string `json:"address"`
	Datacentre string `json:"datacentre"`
	State      string `json:"state"`
}

// vmsRequest asks a peer for its list.
type vmsRequest struct{}

// vmsAnswer is a list with its age when the answer was sent, in milliseconds rounded up.
type vmsAnswer struct {
	Digest int64   `msgpack:"digest"`
	Age    int64   `msgpack:"age"`
	VMs    []vmRow `msgpack:"vms"`
}

// vmRow is sent as an array, since its field names would be most of it.
type vmRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack looks the field up by name.

	Name, Address, Centre string
	State                 int
}

// ListedMembership returns the membership by the last known answer of the platform's list, and a moment at or before the one
// when that was asked for. The time is zero before the first answer.
func (s *Service) ListedMembership() (afmember.View, time.Time) {
	l := s.listed.Load()
	if l == nil {
		return s.Membership(), time.Time{}
	}
	return s.Membership().WithList(l.vms), l.asked
}

// sharesList reports whether the fleet is too large for each VM to read the platform's list.
func (s *Service) sharesList() bool { return len(s.Membership().PossiblyAliveVMs()) > ownReaders }

// renewList reads the platform's list if that is up to this VM. Without a recent list from a watcher each VM reads it
// by itself, more rarely the larger the fleet, so that an outage does not bring all VMs to the platform.
func (s *Service) renewList(now time.Time) {
	if n := len(s.Membership().PossiblyAliveVMs()); n > ownReaders && !s.Membership().IsPlatformWatcher() {
		pause := listPeriod * time.Duration(n/ownReaders)
		l := s.listed.Load()
		if l != nil && now.Sub(l.asked) < staleList || now.Sub(s.listAsked) < pause {
			return
		}
	}
	s.listVMs()
}

// listVMs reads the platform's list of VMs.
func (s *Service) listVMs() {
	if s.listing {
		return
	}
	s.listing = true
	asked := s.Timer.Now()
	s.listAsked = asked
	go func() {
		objects, _, err := s.Client.List(s.ctx, afobject.KindVMs)
		s.events.PushWithContext(s.ctx, func() {
			s.listing = false
			if err != nil {
				s.log().Debug("list of VMs not read", "error", err)
				return
			}
			s.takeList(s.decodeVMs(objects), asked)
		})
	}()
}

func (s *Service) decodeVMs(objects []afobject.Object) []arbutusfork.VM {
	vms := make([]arbutusfork.VM, 0, len(objects))
	for _, o := range objects {
		var w wireVM
		if err := json.Unmarshal(o.Spec, &w); err != nil {
			s.log().Warn("malformed entry in the list of VMs", "vm", o.Name, "error", err)
			continue
		}
		vm := arbutusfork.VM{Name: o.Name, Address: w.Address, Centre: w.Datacentre}
		if w.State == stateLeaving {
			vm.State = arbutusfork.VMLeaving
		}
		vms = append(vms, vm)
	}
	return vms
}

// takeList takes a list that was asked for later than the one at hand.
func (s *Service) takeList(vms []arbutusfork.VM, asked time.Time) {
	old := s.listed.Load()
	if old != nil && !asked.After(old.asked) {
		return
	}
	next := &listing{vms: vms, asked: asked, digest: digestVMs(vms)}
	s.listed.Store(next)
	s.vms = vms
	s.SetListedVMs(vms)
}

// digestVMs returns a digest of the list that does not depend on its order.
func digestVMs(vms []arbutusfork.VM) int64 {
	sorted := slices.SortedFunc(slices.Values(vms), func(a, b arbutusfork.VM) int { return cmp.Compare(a.Name, b.Name) })
	d := xxhash.New()
	for _, vm := range sorted {
		for _, field := range []string{vm.Name, vm.Address, vm.Centre, strconv.Itoa(int(vm.State))} {
			_, _ = d.WriteString(field + "\x00") // A digest never fails.
		}
	}
	return max(int64(d.Sum64()>>1), 1)
}

// compareList takes a neighbour's report of its list. The same content seen later makes the own list more recent;
// other content seen later is fetched.
func (s *Service) compareList(vm string, digest int64, asked time.Time) {
	if digest == 0 || !s.sharesList() {
		return
	}
	l := s.listed.Load()
	switch {
	case l != nil && !asked.After(l.asked):
	case l != nil && digest == l.digest:
		s.listed.Store(&listing{vms: l.vms, asked: asked, digest: digest})
	default:
		s.pullVMs(vm)
	}
}

// serveVMs answers with the list that this VM holds.
func (s *Service) serveVMs(arbutusfork.Incarnation, []byte) (any, error) {
	l := s.listed.Load()
	if l == nil {
		return nil, &Error{Op: "list of VMs", Kind: NoVMList}
	}
	out := vmsAnswer{Digest: l.digest, Age: s.Timer.Now().Sub(l.asked).Milliseconds() + 1}
	for _, vm := range l.vms {
		out.VMs = append(out.VMs, vmRow{Name: vm.Name, Address: vm.Address, Centre: vm.Centre, State: int(vm.State)})
	}
	return out, nil
}

// pullVMs fetches the list that another VM holds. Its age counts from when this VM sent the question, so that it is
// never understated.
func (s *Service) pullVMs(vm string) {
	if s.listPulling {
		return
	}
	s.listPulling = true
	sent := s.Timer.Now()
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, pullTimeout)
		defer cancel()
		var answer vmsAnswer
		err := s.CallVM(ctx, vm, kindVMs, vmsRequest{}, &answer)
		s.events.PushWithContext(s.ctx, func() {
			s.listPulling = false
			if err != nil {
				s.log().Debug("list of VMs not pulled", "vm", vm, "error", err)
				return
			}
			vms := make([]arbutusfork.VM, 0, len(answer.VMs))
			for _, row := range answer.VMs {
				vms = append(vms, arbutusfork.VM{
					Name: row.Name, Address: row.Address, Centre: row.Centre, State: arbutusfork.VMState(row.State),
				})
			}
			s.takeList(vms, sent.Add(-time.Duration(answer.Age)*time.Millisecond))
		})
	}()
}
