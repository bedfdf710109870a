package afnode

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	// vmKind is the kind of the objects by which VMs list themselves, called VM entries.
	vmKind = "vms"
	// vmEntryRetryDelay is the delay before this VM tries again to write its VM entry.
	vmEntryRetryDelay = 500 * time.Millisecond
	// unreachableTimeout is how long a VM must be unreachable before its entry is removed. Until then, its part of the
	// customers' limits stays unused, since it may still serve requests.
	unreachableTimeout = 25 * time.Second
	// vmPollDelay is the time between two calls after a change of the VM entries, so that VMs that start together cause few
	// calls. The time grows with the number of VMs, except on the placement holder, which sends the engines' state to a
	// new VM.
	vmPollDelay = 800 * time.Millisecond
	// maxVMPollDelay bounds the time between two calls after a change of the VM entries.
	maxVMPollDelay = 3 * time.Second
	// smallFleetVMs is the number of VMs up to which vmPollDelay does not grow. It is the same as for the intervals in
	// package afkeeper.
	smallFleetVMs = 24
	// unreachableCheckInterval is the time between two searches for entries of unreachable VMs.
	unreachableCheckInterval = 2 * time.Second
)

// vmSpec is the content of a VM entry.
type vmSpec struct {
	// Address is the address at which other VMs reach the VM.
	Address string `json:"address"`
	// Centre is the data centre of the VM.
	Centre string `json:"centre"`
	// Start is when the VM's process started, in nanoseconds since the Unix epoch.
	Start int64 `json:"start"`
}

// vmList is this VM's copy of the VM entries. The keys of the maps are names of VMs.
type vmList struct {
	mu  sync.Mutex
	vms map[string]arbutusfork.VM
	// versions holds the object versions of the entries.
	versions map[string]int64
	// startTimes holds vmSpec.Start of the entries, or zero for an entry that became odd and for one of this VM that is to be
	// replaced, since the platform came back with it from an earlier start.
	startTimes map[string]int64
	// unreachableSince is when a VM of vms was first found unreachable. It has no value for VMs that are reachable.
	unreachableSince map[string]time.Time
	// missing holds the VMs of vms whose entries the platform lost. They may still serve requests and write their entries
	// again, and are removed from vms when they have been unreachable for unreachableTimeout.
	missing map[string]bool
	// writeRequests receives a value when the entry of this VM is missing and must be written.
	writeRequests chan struct{}
}

func (l *vmList) initMaps() {
	l.vms = make(map[string]arbutusfork.VM)
	l.versions = make(map[string]int64)
	l.startTimes = make(map[string]int64)
	l.unreachableSince = make(map[string]time.Time)
	l.missing = make(map[string]bool)
	l.writeRequests = make(chan struct{}, 1)
}

// remove removes a VM from the copy. The caller holds mu.
func (l *vmList) remove(vm string) {
	delete(l.vms, vm)
	delete(l.versions, vm)
	delete(l.startTimes, vm)
	delete(l.unreachableSince, vm)
	delete(l.missing, vm)
}

// countListedVMs returns the number of VMs that may be alive: this VM, those that answer its heartbeats, and others that have
// an entry or had one that the platform lost. A VM that has just started may have no list yet, or an older one.
func (n *Node) countListedVMs() int {
	live := n.peers.LiveMembers()
	n.vmList.mu.Lock()
	defer n.vmList.mu.Unlock()
	count := len(n.vmList.vms)
	if _, hasOwnEntry := n.vmList.vms[n.self.VM]; !hasOwnEntry {
		count++
	}
	for _, vm := range live {
		if _, hasEntry := n.vmList.vms[vm.Name]; !hasEntry && vm.Name != n.self.VM {
			count++
		}
	}
	return count
}

// listedVMNames returns the names of the VMs that have an entry, or had one that the platform lost.
func (n *Node) listedVMNames() []string {
	n.vmList.mu.Lock()
	defer n.vmList.mu.Unlock()
	return slices.Collect(maps.Keys(n.vmList.vms))
}

// vmFeedPollDelay returns the time between two calls after a change of the VM entries.
func (n *Node) vmFeedPollDelay() time.Duration {
	if n.keeper.HoldsLease() {
		return vmPollDelay
	}
	return min(max(vmPollDelay, vmPollDelay*time.Duration(n.countListedVMs())/smallFleetVMs), maxVMPollDelay)
}

// runVMEntries keeps the entry of this VM written and the copy of all VM entries up to date.
func (n *Node) runVMEntries(ctx context.Context, f *affeed.Feed) {
	go n.keepOwnEntry(ctx)
	checks := n.timer.CallEvery(unreachableCheckInterval, func(now time.Time) { go n.removeUnreachableVMs(ctx, now) })
	defer checks.Stop()
	f.Run(ctx)
}

// newVMFeed creates the feed of the VM entries.
func (n *Node) newVMFeed() *affeed.Feed {
	f := n.newFeed(vmKind)
	f.PollTimeout = func() time.Duration { return pollTimeoutWithHolder }
	f.PollDelay = n.vmFeedPollDelay
	// The holder's views show whether VMs came or went since this copy was read.
	f.IsSuspended = func() bool { return n.keeper.ReceivesPlacementViews() && f.IsInStep(n.vmFeedPollDelay()) }
	odd := n.newOddObjects(vmKind)
	f.OnList = func(objects []afobject.Object, gap affeed.Gap) {
		odd.keep(objects)
		listed := make(map[string]bool, len(objects))
		for _, o := range objects {
			listed[o.Name] = true
			n.putVM(o, odd)
		}
		n.removeUnlistedVMs(listed, gap)
		n.hasListedVMs.Store(true)
		n.publishVMs()
	}
	f.OnChange = func(e afobject.Event) {
		if e.Type == afobject.Deleted {
			odd.remove(e.Object.Name)
			n.vmList.mu.Lock()
			n.vmList.remove(e.Object.Name)
			n.vmList.mu.Unlock()
			n.log.Info("VM no longer listed", "name", e.Object.Name)
		} else {
			n.putVM(e.Object, odd)
		}
		n.publishVMs()
	}
	return f
}

// removeUnlistedVMs removes the VMs that a list lacks, except those whose entries the platform may have lost during the gap
// before the list or an earlier one. This VM's own entry is removed in any case, so that it is written again.
func (n *Node) removeUnlistedVMs(listed map[string]bool, gap affeed.Gap) {
	n.vmList.mu.Lock()
	defer n.vmList.mu.Unlock()
	for vm := range n.vmList.vms {
		if listed[vm] {
			continue
		}
		if vm == n.self.VM || !gap.MayLackEntries() && !n.vmList.missing[vm] {
			n.vmList.remove(vm)
			continue
		}
		delete(n.vmList.versions, vm)
		if !n.vmList.missing[vm] {
			n.vmList.missing[vm] = true
			n.log.Info("VM entry lost by the platform", "name", vm, "outage", gap.Outage, "store_went_back", gap.WentBack)
		}
	}
}

// decodeVMSpec decodes a VM entry. It fails if the entry names no VM.
func decodeVMSpec(raw []byte) (spec vmSpec, err error) {
	if err := json.Unmarshal(raw, &spec); err != nil {
		return vmSpec{}, err
	}
	a, err := netip.ParseAddrPort(spec.Address)
	if err == nil && (a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || spec.Start <= 0) {
		err = errors.Errorf("address %q or start %d is out of range", spec.Address, spec.Start)
	}
	return spec, err
}

// putVM adds or updates the VM of an entry in the copy. A known VM whose entry another writer replaced by an odd one stays
// known, since it may still use its part of the customers' limits. It writes its entry again, or is removed once it is
// unreachable.
func (n *Node) putVM(o afobject.Object, odd *oddObjects) {
	spec, err := decodeVMSpec(o.Spec)
	n.vmList.mu.Lock()
	defer n.vmList.mu.Unlock()
	if err != nil {
		if fault, isNew := odd.add(o, err); isNew {
			n.log.Warn("VM entry ignored", "name", o.Name, "error", fault)
		}
		if _, known := n.vmList.vms[o.Name]; known {
			n.vmList.versions[o.Name], n.vmList.startTimes[o.Name] = o.Version, 0
			delete(n.vmList.missing, o.Name)
		}
		return
	}
	odd.remove(o.Name)
	n.vmList.vms[o.Name] = arbutusfork.VM{Name: o.Name, Address: spec.Address, Centre: spec.Centre}
	n.vmList.versions[o.Name] = o.Version
	start := spec.Start
	previous, known := n.vmList.startTimes[o.Name]
	if o.Name == n.self.VM && known && (previous == n.self.StartID || previous == 0) && start < n.self.StartID {
		start = 0
	}
	n.vmList.startTimes[o.Name] = start
	delete(n.vmList.missing, o.Name)
}

// publishVMs passes the listed VMs to the links between VMs. If the entry of this VM is missing or to be replaced, it requests that the entry
// is written.
func (n *Node) publishVMs() {
	n.vmList.mu.Lock()
	vms := make([]arbutusfork.VM, 0, len(n.vmList.vms))
	for _, vm := range n.vmList.vms {
		vms = append(vms, vm)
	}
	_, hasOwnEntry := n.vmList.vms[n.self.VM]
	hasOwnEntry = hasOwnEntry && n.vmList.startTimes[n.self.VM] != 0
	// The feed and the checks publish at the same time. The last list must not be an older one.
	n.peers.SetListedVMs(vms)
	n.vmList.mu.Unlock()
	if !hasOwnEntry && !n.isStopping.Load() {
		select {
		case n.vmList.writeRequests <- struct{}{}:
		default:
		}
	}
}

// keepOwnEntry writes the entry of this VM at the start and whenever it was removed.
func (n *Node) keepOwnEntry(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.isOwnEntryListed() {
			if err := n.writeOwnEntry(ctx); err != nil {
				n.log.Info("own VM entry not written", "error", err)
				n.timer.Sleep(ctx, vmEntryRetryDelay)
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-n.vmList.writeRequests:
			n.timer.Sleep(ctx, vmEntryRetryDelay)
		}
	}
}

// isOwnEntryListed reports whether the copy has an entry of this VM that this process wrote.
func (n *Node) isOwnEntryListed() bool {
	n.vmList.mu.Lock()
	defer n.vmList.mu.Unlock()
	return n.vmList.startTimes[n.self.VM] == n.self.StartID && n.vmList.vms[n.self.VM].Name != ""
}

// writeOwnEntry creates the entry of this VM or replaces the entry of an earlier process.
func (n *Node) writeOwnEntry(ctx context.Context) error {
	spec, err := json.Marshal(vmSpec{Address: n.Settings.PeerAddress, Centre: n.Settings.Centre, Start: n.self.StartID})
	if err != nil {
		return err
	}
	o := afobject.Object{Kind: vmKind, Name: n.self.VM, Spec: spec}
	_, err = n.platformClient.Create(ctx, o)
	if err == nil {
		n.keeper.DelayTakeover()
	}
	if !afobject.IsKind(err, afobject.VersionConflict) {
		return err
	}
	old, err := n.platformClient.Get(ctx, vmKind, n.self.VM)
	if err != nil {
		return err
	}
	var oldSpec vmSpec
	if json.Unmarshal(old.Spec, &oldSpec) == nil && oldSpec.Start == n.self.StartID {
		n.keeper.DelayTakeover() // The holder may not know this VM.
		return nil               // An earlier write succeeded although its response was lost.
	}
	o.Version = old.Version
	_, err = n.platformClient.Update(ctx, o)
	return err
}

// removeOwnEntry deletes the entry of this VM during a graceful shutdown.
func (n *Node) removeOwnEntry(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownMargin/2)
	defer cancel()
	n.vmList.mu.Lock()
	version := n.vmList.versions[n.self.VM]
	n.vmList.mu.Unlock()
	if version == 0 {
		return
	}
	if err := n.platformClient.Delete(ctx, vmKind, n.self.VM, version); err != nil {
		n.log.Info("own VM entry not removed", "error", err)
	}
}

// removeUnreachableVMs records which VMs are unreachable, removes the entries of VMs that have been so for more than
// unreachableTimeout, and forgets those whose entries the platform lost. Only the placement holder removes entries, so that
// only one VM writes.
func (n *Node) removeUnreachableVMs(ctx context.Context, now time.Time) {
	live, membership := make(map[string]bool), n.peers.Membership()
	for _, vm := range membership.LiveVMs() {
		live[vm.Name] = true
	}
	type entry struct {
		vm      string
		version int64
	}
	var unreachable []entry
	hasForgotten := false
	n.vmList.mu.Lock()
	for vm := range n.vmList.vms {
		// A listed VM with which this VM exchanges no heartbeats counts as live. No other VM removes a missing one from this copy.
		isReachable := live[vm] && (!n.vmList.missing[vm] || membership.AnswersHeartbeats(vm))
		if isReachable || vm == n.self.VM {
			delete(n.vmList.unreachableSince, vm)
			continue
		}
		if n.vmList.unreachableSince[vm].IsZero() {
			n.vmList.unreachableSince[vm] = now
		}
		if now.Sub(n.vmList.unreachableSince[vm]) <= unreachableTimeout {
			continue
		}
		if n.vmList.missing[vm] {
			n.vmList.remove(vm)
			hasForgotten = true
		} else {
			unreachable = append(unreachable, entry{vm, n.vmList.versions[vm]})
		}
	}
	n.vmList.mu.Unlock()
	if hasForgotten {
		n.publishVMs()
	}
	if !n.keeper.HoldsLease() {
		return
	}
	for _, e := range unreachable {
		err := n.platformClient.Delete(ctx, vmKind, e.vm, e.version)
		n.log.Info("entry of an unreachable VM removed", "name", e.vm, "error", err)
	}
}
