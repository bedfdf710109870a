package afnode

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	// memberKind is the kind of the VMs' own entries.
	memberKind = "vms"
	// joinRetry is the pause between attempts to write the own entry.
	joinRetry = 500 * time.Millisecond
	// goneAfter is how long a VM must be unreachable before its entry is removed. Until then its part of the
	// customers' limits stays unused, since it may still serve.
	goneAfter = 25 * time.Second
	// memberPause is the time between two calls after a change, so that VMs that start together cost few calls. It grows
	// with the fleet up to maxMemberPause but for the placement holder, which tells a new VM of the engines.
	memberPause    = 800 * time.Millisecond
	maxMemberPause = 3 * time.Second
	// smallFleet is the number of VMs up to which the pause does not grow, as in the keeper's periods.
	smallFleet = 24
	// sweepPeriod is how often entries of unreachable VMs are looked at.
	sweepPeriod = 2 * time.Second
)

// memberSpec is the content of a VM's entry.
type memberSpec struct {
	Address string `json:"address"`
	Centre  string `json:"centre"`
	Start   int64  `json:"start"`
}

// members is the copy of the VMs' entries.
type members struct {
	mu      sync.Mutex
	listed  map[string]arbutusfork.VM
	version map[string]int64
	start   map[string]int64
	// missed is since when a VM has been unreachable.
	missed map[string]time.Time
	// rejoin asks for the own entry to be written.
	rejoin chan struct{}
}

func (m *members) init() {
	m.listed = make(map[string]arbutusfork.VM)
	m.version = make(map[string]int64)
	m.start = make(map[string]int64)
	m.missed = make(map[string]time.Time)
	m.rejoin = make(chan struct{}, 1)
}

// listed returns the number of VMs that may be alive.
func (n *Node) listed() int {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	return max(len(n.members.listed), 1)
}

// memberPause returns the time between two calls after a change of the VMs' entries.
func (n *Node) memberPause() time.Duration {
	if n.keeper.HoldsLease() {
		return memberPause
	}
	return min(max(memberPause, memberPause*time.Duration(n.listed())/smallFleet), maxMemberPause)
}

// runMembers writes the own entry and keeps the copy of all entries.
func (n *Node) runMembers(ctx context.Context, f *affeed.Feed) {
	go n.join(ctx)
	sweep := n.timer.CallEvery(sweepPeriod, func(now time.Time) { go n.sweep(ctx, now) })
	defer sweep.Stop()
	f.Run(ctx)
}

func (n *Node) memberFeed() *affeed.Feed {
	f := n.feed(memberKind)
	f.PollTimeout = func() time.Duration { return coveredWait }
	f.PollDelay = n.memberPause
	f.OnList = func(objects []afobject.Object, _ time.Duration) {
		n.members.mu.Lock()
		clear(n.members.listed)
		clear(n.members.version)
		n.members.mu.Unlock()
		for _, o := range objects {
			n.setMember(o)
		}
		n.publishMembers()
	}
	f.OnChange = func(e afobject.Event) {
		if e.Type == afobject.Deleted {
			n.members.mu.Lock()
			delete(n.members.listed, e.Object.Name)
			delete(n.members.version, e.Object.Name)
			n.members.mu.Unlock()
			n.log.Info("VM no longer listed", "name", e.Object.Name)
		} else {
			n.setMember(e.Object)
		}
		n.publishMembers()
	}
	return f
}

func (n *Node) setMember(o afobject.Object) {
	var m memberSpec
	if err := json.Unmarshal(o.Spec, &m); err != nil {
		n.log.Warn("entry of a VM ignored", "name", o.Name, "error", err)
		return
	}
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	n.members.listed[o.Name] = arbutusfork.VM{Name: o.Name, Address: m.Address, Centre: m.Centre}
	n.members.version[o.Name] = o.Version
	n.members.start[o.Name] = m.Start
}

// publishMembers passes the copy on and asks for the own entry if it is missing.
func (n *Node) publishMembers() {
	n.members.mu.Lock()
	vms := make([]arbutusfork.VM, 0, len(n.members.listed))
	for _, vm := range n.members.listed {
		vms = append(vms, vm)
	}
	_, own := n.members.listed[n.self.VM]
	n.members.mu.Unlock()
	n.peers.SetListedVMs(vms)
	if !own && !n.stopping.Load() {
		select {
		case n.members.rejoin <- struct{}{}:
		default:
		}
	}
}

// join writes the own entry at the start and whenever it was removed.
func (n *Node) join(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.joined() {
			if err := n.writeMember(ctx); err != nil {
				n.log.Info("own entry not written", "error", err)
				n.timer.Sleep(ctx, joinRetry)
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-n.members.rejoin:
			n.timer.Sleep(ctx, joinRetry)
		}
	}
}

// joined reports whether the copy of the entries holds that of this process.
func (n *Node) joined() bool {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	return n.members.start[n.self.VM] == n.self.Start && n.members.listed[n.self.VM].Name != ""
}

func (n *Node) writeMember(ctx context.Context) error {
	spec, err := json.Marshal(memberSpec{Address: n.Settings.PeerAddress, Centre: n.Settings.Centre, Start: n.self.Start})
	if err != nil {
		return err
	}
	o := afobject.Object{Kind: memberKind, Name: n.self.VM, Spec: spec}
	_, err = n.client.Create(ctx, o)
	if !afobject.IsKind(err, afobject.VersionConflict) {
		return err
	}
	old, err := n.client.Get(ctx, memberKind, n.self.VM)
	if err != nil {
		return err
	}
	var m memberSpec
	if json.Unmarshal(old.Spec, &m) == nil && m.Start == n.self.Start {
		return nil // An earlier write took effect although its answer was lost.
	}
	o.Version = old.Version
	_, err = n.client.Update(ctx, o)
	return err
}

// leave removes the own entry.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, endMargin/2)
	defer cancel()
	n.members.mu.Lock()
	version := n.members.version[n.self.VM]
	n.members.mu.Unlock()
	if version == 0 {
		return
	}
	if err := n.client.Delete(ctx, memberKind, n.self.VM, version); err != nil {
		n.log.Info("own entry not removed; other VMs remove it later", "error", err)
	}
}

// sweep removes entries of VMs that have been unreachable for long. The holder of the placement duty does it, so that
// one VM writes.
func (n *Node) sweep(ctx context.Context, now time.Time) {
	live := make(map[string]bool)
	for _, vm := range n.peers.LiveMembers() {
		live[vm.Name] = true
	}
	type entry struct {
		vm      string
		version int64
	}
	var gone []entry
	n.members.mu.Lock()
	for vm, version := range n.members.version {
		if live[vm] || vm == n.self.VM {
			delete(n.members.missed, vm)
			continue
		}
		if n.members.missed[vm].IsZero() {
			n.members.missed[vm] = now
		}
		if now.Sub(n.members.missed[vm]) > goneAfter {
			gone = append(gone, entry{vm, version})
		}
	}
	n.members.mu.Unlock()
	if !n.keeper.HoldsLease() {
		return
	}
	for _, e := range gone {
		err := n.client.Delete(ctx, memberKind, e.vm, e.version)
		n.log.Info("entry of an unreachable VM removed", "name", e.vm, "error", err)
	}
}
