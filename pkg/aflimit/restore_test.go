package aflimit

import (
	"fmt"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// storedRecord is a state of the platform's store.
type storedRecord struct {
	record  ShareRecord
	version int64
}

// settling is since when all VMs have applied the lost record that a VM wants to settle.
type settling struct {
	key   string
	since time.Duration
}

// goBack replaces the store by a copy that lacks up to four writes.
func (f *fleet) goBack(pick func(int) int) {
	if len(f.history) == 0 {
		return
	}
	n := len(f.history) - 1 - pick(min(len(f.history), 4))
	s := f.history[n]
	f.history = f.history[:n]
	f.record = s.record
	f.version, _ = afversion.Join(afversion.Era(f.version)+1, afversion.Revision(s.version))
}

// planWrite plans the write of a record. A lost record is settled when all VMs that may be alive have applied it.
func (f *fleet) planWrite(n *fleetVM, target int64) (RecordWrite, bool) {
	if !n.shareView.IsLost() {
		return n.shareView.PlanWrite(target, n.account.LentParts(), f.localTime(n))
	}
	key, isApplied, isUnused := fmt.Sprint(n.shareView.Version()), true, true
	for _, vm := range []string{"a", "b", "c"} {
		other := f.vms[vm]
		if f.gone[other.self] {
			continue
		}
		key += fmt.Sprint(other.self)
		other.account.AdvanceTo(f.localTime(other))
		isApplied = isApplied && !other.isDead && other.shareView.HasApplied(n.shareView.Version(), other.account.LentParts())
		isUnused = isUnused && !other.shareView.HasUsedLostParts() && len(other.account.TakenLoans()) == 0
	}
	if now := f.localTime(n); !isApplied {
		n.settling = settling{}
	} else if n.settling.key != key {
		n.settling = settling{key, now}
	}
	isNew := isUnused && afversion.Revision(n.shareView.Version()) == 0
	if f.disabledGuards.has(guardSettled) || isApplied && (isNew || f.localTime(n)-n.settling.since >= SettleDuration) {
		return n.shareView.PlanSettlement(target, n.account.LentParts(), isNew), true
	}
	return RecordWrite{}, false
}
