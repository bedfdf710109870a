// Package afmember holds the membership view of one VM and the choices that follow from it.
package afmember

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork"
)

const (
	// MaxHeartbeatPeers bounds the VMs that one VM exchanges heartbeats with, so that messages do not grow with the
	// square of the number of VMs.
	MaxHeartbeatPeers = 8
	// WatchersPerCentre is the number of VMs per data centre that watch the platform.
	WatchersPerCentre = 2
)

// Observation is what the heartbeats say about one VM.
type Observation struct {
	// VM is the VM as it describes itself, which counts while the platform's list does not name it yet.
	VM arbutusfork.VM
	// Alive means that the VM answers. Suspected means that it does not, also over a new connection.
	Alive, Suspected bool
	// Leaving means that the VM said that it stops.
	Leaving bool
}

// View is the membership as one VM sees it. It is immutable; With methods return changed copies. Views of
// different VMs may differ for a while.
type View struct {
	self     arbutusfork.VM
	listed   map[string]arbutusfork.VM
	observed map[string]Observation
}

// NewView returns the view of a VM that knows only itself.
func NewView(self arbutusfork.VM) View { return View{self: self} }

// WithList returns the view after an answer of the platform's list, which lags behind.
func (v View) WithList(vms []arbutusfork.VM) View {
	v.listed = make(map[string]arbutusfork.VM, len(vms))
	for _, vm := range vms {
		v.listed[vm.Name] = vm
	}
	return v
}

// WithObservation returns the view after a change of what the heartbeats say about a VM.
func (v View) WithObservation(o Observation) View {
	v.observed = maps.Clone(v.observed)
	if v.observed == nil {
		v.observed = make(map[string]Observation)
	}
	v.observed[o.VM.Name] = o
	return v
}

// WithoutObservation returns the view of a VM that exchanges no heartbeats with the named one any more.
func (v View) WithoutObservation(name string) View {
	v.observed = maps.Clone(v.observed)
	delete(v.observed, name)
	return v
}

// WithSelf returns the view with another description of the VM itself.
func (v View) WithSelf(self arbutusfork.VM) View {
	v.self = self
	return v
}

// PossiblyAliveVMs returns the VMs that may be alive, the VM itself included, in order of name. A VM is known if the list
// names it or it answers.
func (v View) PossiblyAliveVMs() []arbutusfork.VM {
	all := make(map[string]arbutusfork.VM, len(v.listed)+1)
	for name, o := range v.observed {
		if o.Alive {
			all[name] = o.VM
		}
	}
	for name, vm := range v.listed {
		if vm.State == arbutusfork.VMGone {
			continue
		}
		if o := v.observed[name]; o.Leaving {
			vm.State = arbutusfork.VMLeaving
		}
		all[name] = vm
	}
	all[v.self.Name] = v.self
	out := make([]arbutusfork.VM, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		out = append(out, all[name])
	}
	return out
}

// LiveVMs returns the VMs that take work, the VM itself included unless it is leaving, in order of name. The
// heartbeats overrule the list, which lags behind; a VM without heartbeats is live while it is listed so.
func (v View) LiveVMs() []arbutusfork.VM {
	return slices.DeleteFunc(v.PossiblyAliveVMs(), func(vm arbutusfork.VM) bool {
		o := v.observed[vm.Name]
		return vm.State != arbutusfork.VMLive || vm.Name != v.self.Name && (o.Suspected || o.Leaving)
	})
}

// ListedVM returns the platform's entry for a VM. A VM that the list does not name is gone; ok is false while
// the list has not been read.
func (v View) ListedVM(name string) (vm arbutusfork.VM, ok bool) {
	if v.listed == nil {
		return arbutusfork.VM{}, false
	}
	vm, found := v.listed[name]
	if !found {
		vm = arbutusfork.VM{Name: name, State: arbutusfork.VMGone}
	}
	return vm, true
}

// HeartbeatPeers returns the VMs to exchange heartbeats with: all others up to MaxHeartbeatPeers, else that many by
// rendezvous hash. Suspected VMs stay neighbours, so that their return is noticed.
func (v View) HeartbeatPeers() []arbutusfork.VM {
	others := slices.DeleteFunc(v.PossiblyAliveVMs(), func(vm arbutusfork.VM) bool { return vm.Name == v.self.Name })
	if len(others) <= MaxHeartbeatPeers {
		return others
	}
	return HighestRanked(others, v.self.Name, MaxHeartbeatPeers)
}

// HomeVM returns the live VM that a key belongs to. ok is false if no VM is live.
func (v View) HomeVM(key string) (vm arbutusfork.VM, ok bool) {
	top := HighestRanked(v.LiveVMs(), key, 1)
	if len(top) == 0 {
		return arbutusfork.VM{}, false
	}
	return top[0], true
}

// PlatformWatchers returns the live VMs of a data centre that watch the platform.
func (v View) PlatformWatchers(centre string) []arbutusfork.VM {
	live := slices.DeleteFunc(v.LiveVMs(), func(vm arbutusfork.VM) bool { return vm.Centre != centre })
	return HighestRanked(live, "watch/"+centre, WatchersPerCentre)
}

// IsPlatformWatcher reports whether the VM itself is a watcher.
func (v View) IsPlatformWatcher() bool {
	return slices.ContainsFunc(v.PlatformWatchers(v.self.Centre), func(vm arbutusfork.VM) bool { return vm.Name == v.self.Name })
}

// HighestRanked returns up to k VMs with the highest rendezvous weights for a key, in order of weight. When a VM joins or
// leaves, only choices that involve it change.
func HighestRanked(vms []arbutusfork.VM, key string, k int) []arbutusfork.VM {
	weights := make(map[string]uint64, len(vms))
	for _, vm := range vms {
		weights[vm.Name] = weight(key, vm.Name)
	}
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b arbutusfork.VM) int {
		if c := cmp.Compare(weights[b.Name], weights[a.Name]); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out[:min(k, len(out))]
}

func weight(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key) // A digest never fails.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
