// Package afmember holds one VM's view of the membership and derives heartbeat peers, platform watchers and homes of
// keys from the view.
package afmember

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork"
)

const (
	// MaxHeartbeatPeers is the largest number of VMs with which one VM exchanges heartbeats. It keeps the number of
	// messages from growing with the square of the number of VMs.
	MaxHeartbeatPeers = 8
	// WatchersPerCentre is the number of VMs per data centre that watch the platform's objects.
	WatchersPerCentre = 2
)

// Observation is the state of one VM according to heartbeats.
type Observation struct {
	// VM is the VM's own description. It is used while the platform's list does not contain the VM.
	VM arbutusfork.VM
	// Alive means that the VM answers heartbeats.
	Alive bool
	// Suspected means that the VM answers heartbeats neither over the existing connection nor over a new one.
	Suspected bool
	// Leaving means that the VM has announced that it stops.
	Leaving bool
}

// View is the membership as one VM sees it. It is immutable; the With methods return changed copies. The views of
// different VMs may differ for a while.
type View struct {
	self     arbutusfork.VM
	listed   map[string]arbutusfork.VM
	observed map[string]Observation
	// derived holds what was derived from the fields above. Copies of the same view share it. Nil means that nothing is kept.
	derived *derivedLists
}

// derivedLists holds lists that follow from a view. Each is built at its first use, since a large fleet asks for them many
// times between two changes of the membership.
type derivedLists struct {
	possiblyAlive, live, heartbeatPeers derivedList
}

// derivedList is one list of derivedLists.
type derivedList struct {
	once sync.Once
	vms  []arbutusfork.VM
}

// get returns the list, which build makes at the first call.
func (l *derivedList) get(build func() []arbutusfork.VM) []arbutusfork.VM {
	l.once.Do(func() { l.vms = build() })
	return l.vms
}

// derivedOrNew returns the derived lists of the view, or new ones that are not kept.
func (v View) derivedOrNew() *derivedLists {
	if v.derived != nil {
		return v.derived
	}
	return new(derivedLists)
}

// NewView returns the view of a VM that has no other members yet.
func NewView(self arbutusfork.VM) View { return View{self: self, derived: new(derivedLists)} }

// WithList returns the view with the VMs of the platform's list, which lags behind.
func (v View) WithList(vms []arbutusfork.VM) View {
	v.derived = new(derivedLists)
	v.listed = make(map[string]arbutusfork.VM, len(vms))
	for _, vm := range vms {
		v.listed[vm.Name] = vm
	}
	return v
}

// WithObservation returns the view with a VM's state according to heartbeats.
func (v View) WithObservation(o Observation) View {
	v.derived = new(derivedLists)
	v.observed = maps.Clone(v.observed)
	if v.observed == nil {
		v.observed = make(map[string]Observation)
	}
	v.observed[o.VM.Name] = o
	return v
}

// WithoutObservation returns the view without the state of a VM with which no heartbeats are exchanged any more.
func (v View) WithoutObservation(name string) View {
	v.derived = new(derivedLists)
	v.observed = maps.Clone(v.observed)
	delete(v.observed, name)
	return v
}

// WithSelf returns the view with another description of this VM.
func (v View) WithSelf(self arbutusfork.VM) View {
	v.derived = new(derivedLists)
	v.self = self
	return v
}

// PossiblyAliveVMs returns the VMs that the list contains and does not mark as gone, or that answer heartbeats. It
// includes this VM and is sorted by name. The caller must not change the slice.
func (v View) PossiblyAliveVMs() []arbutusfork.VM {
	return v.derivedOrNew().possiblyAlive.get(v.buildPossiblyAliveVMs)
}

func (v View) buildPossiblyAliveVMs() []arbutusfork.VM {
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

// LiveVMs returns the VMs that take work, including this VM unless it is leaving, sorted by name. Heartbeats take
// precedence over the list, which lags behind. A VM without heartbeats is live if the list says so. The caller must not
// change the slice.
func (v View) LiveVMs() []arbutusfork.VM { return v.derivedOrNew().live.get(v.buildLiveVMs) }

func (v View) buildLiveVMs() []arbutusfork.VM {
	return slices.DeleteFunc(slices.Clone(v.PossiblyAliveVMs()), func(vm arbutusfork.VM) bool {
		o := v.observed[vm.Name]
		return vm.State != arbutusfork.VMLive || vm.Name != v.self.Name && (o.Suspected || o.Leaving)
	})
}

// AnswersHeartbeats reports whether a VM answers the heartbeats of this VM. It is false for a VM with which this VM exchanges none.
func (v View) AnswersHeartbeats(name string) bool { return v.observed[name].Alive }

// ListedVM returns the platform's entry for a VM. A VM that the list does not contain is gone. ok is false if the list
// has not been read yet.
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

// HeartbeatPeers returns the VMs with which to exchange heartbeats: all others if there are at most MaxHeartbeatPeers,
// otherwise that many by rendezvous hashing. Suspected VMs stay heartbeat peers, so that their recovery is detected. The
// caller must not change the slice.
func (v View) HeartbeatPeers() []arbutusfork.VM {
	return v.derivedOrNew().heartbeatPeers.get(v.buildHeartbeatPeers)
}

func (v View) buildHeartbeatPeers() []arbutusfork.VM {
	others := slices.DeleteFunc(slices.Clone(v.PossiblyAliveVMs()), func(vm arbutusfork.VM) bool { return vm.Name == v.self.Name })
	if len(others) <= MaxHeartbeatPeers {
		return others
	}
	return HighestRanked(others, v.self.Name, MaxHeartbeatPeers)
}

// HomeVM returns the live VM to which a key belongs. ok is false if no VM is live.
func (v View) HomeVM(key string) (vm arbutusfork.VM, ok bool) {
	highest := HighestRanked(v.LiveVMs(), key, 1)
	if len(highest) == 0 {
		return arbutusfork.VM{}, false
	}
	return highest[0], true
}

// PlatformWatchers returns the live VMs of a data centre that watch the platform.
func (v View) PlatformWatchers(centre string) []arbutusfork.VM {
	live := slices.DeleteFunc(slices.Clone(v.LiveVMs()), func(vm arbutusfork.VM) bool { return vm.Centre != centre })
	return HighestRanked(live, "watch/"+centre, WatchersPerCentre)
}

// IsPlatformWatcher reports whether this VM watches the platform.
func (v View) IsPlatformWatcher() bool {
	return slices.ContainsFunc(v.PlatformWatchers(v.self.Centre), func(vm arbutusfork.VM) bool { return vm.Name == v.self.Name })
}

// HighestRanked returns up to k VMs with the highest rendezvous weights for a key, in descending order. When a VM joins
// or leaves, only choices that include this VM change.
func HighestRanked(vms []arbutusfork.VM, key string, k int) []arbutusfork.VM {
	top := make([]rankedVM, 0, min(k, len(vms)))
	keyHash := hashRankKey(key)
	for _, vm := range vms {
		candidate := rankedVM{vm, rendezvousWeight(keyHash, vm.Name)}
		i, _ := slices.BinarySearchFunc(top, candidate, rankedVM.compare)
		if i >= k {
			continue
		}
		top = slices.Insert(top[:min(len(top), k-1)], i, candidate)
	}
	out := make([]arbutusfork.VM, len(top))
	for i, r := range top {
		out[i] = r.vm
	}
	return out
}

// rankedVM is a VM with its weight for a key.
type rankedVM struct {
	vm     arbutusfork.VM
	weight uint64
}

// compare orders VMs by descending weight, and by name if two weights are equal.
func (r rankedVM) compare(other rankedVM) int {
	return cmp.Or(cmp.Compare(other.weight, r.weight), strings.Compare(r.vm.Name, other.vm.Name))
}

// hashRankKey returns the state of a hash after a key, so that the key is hashed once for all VMs.
func hashRankKey(key string) xxhash.Digest {
	hash := xxhash.New()
	_, _ = hash.WriteString(key) // Writes to a hash never fail.
	_, _ = hash.Write([]byte{0})
	return *hash
}

// rendezvousWeight returns the VM's weight for a hashed key in rendezvous hashing.
func rendezvousWeight(keyHash xxhash.Digest, name string) uint64 {
	_, _ = keyHash.WriteString(name)
	return keyHash.Sum64()
}
