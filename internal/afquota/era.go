package afquota

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// The platform's store may come back from an older copy of itself and forget transfers of shares. Nobody gains parts of a lost
// record until all VMs that may be alive have applied it (package aflimit).

// KindShares is the kind of the message that asks a VM whether it has applied a share record.
const KindShares = "shares"

// lostRecordRetryDelay is the time between two attempts to settle a lost record.
const lostRecordRetryDelay = 500 * time.Millisecond

// sharesRequest asks whether the VM has applied a version of a customer's share record.
type sharesRequest struct {
	Customer string `msgpack:"customer"`
	Version  int64  `msgpack:"version"`
}

// sharesAnswer is the answer to a sharesRequest.
type sharesAnswer struct {
	// Start identifies the start of the daemon.
	Start int64 `msgpack:"start"`
	// Applied means that the VM uses no parts beyond the record.
	Applied bool `msgpack:"ok"`
	// Used means that the VM has used parts that a lost record named, or has loans.
	Used bool `msgpack:"used,omitempty"`
}

// settling is since when the same VMs have applied a version of a lost record.
type settling struct {
	key   string
	since time.Duration
}

// RecordEra records an era of the store and returns the highest known one. All records are read again in a new era.
func (s *Service) RecordEra(era int64) int64 {
	for {
		old := s.era.Load()
		if era <= old {
			return old
		}
		if s.era.CompareAndSwap(old, era) {
			s.init()
			trySignal(s.wakeRecords)
			return era
		}
	}
}

// planSettlement returns the write that settles a lost record, and false as long as a VM that may be alive has not applied it
// for aflimit.SettleDuration. A new customer's first record is settled at once.
func (s *Service) planSettlement(ctx context.Context, a *account, target int64) (aflimit.RecordWrite, bool) {
	vms, known := s.OtherVMs()
	own := s.applied(a, 0)
	a.mu.Lock()
	version, isNew := a.shareView.Version(), !own.Used && afversion.Revision(a.shareView.Version()) == 0
	a.mu.Unlock()
	key, isApplied := strings.Builder{}, own.Applied && known
	_, _ = fmt.Fprint(&key, version) // Writing to a strings.Builder never fails.
	for _, vm := range vms {
		var answer sharesAnswer
		if err := s.callWithTimeout(ctx, vm, KindShares, sharesRequest{Customer: a.name, Version: version}, &answer); err != nil || !answer.Applied {
			s.Log.Debug("share record not applied by a peer", "customer", a.name, "vm", vm, "version", version, "error", err)
			isApplied = false
			break
		}
		isNew = isNew && !answer.Used
		_, _ = fmt.Fprint(&key, " ", vm, answer.Start)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := s.now()
	if !isApplied {
		a.settling = settling{}
	} else if a.settling.key != key.String() {
		a.settling = settling{key.String(), now}
	}
	if !isApplied || a.shareView.Version() != version || !isNew && now-a.settling.since < aflimit.SettleDuration {
		return aflimit.RecordWrite{}, false
	}
	s.Log.Info("share record settled after the platform's store went back", "customer", a.name, "version", version, "new", isNew)
	return a.shareView.PlanSettlement(target, a.limiter.LentParts(), isNew), true
}

// applied reports whether this VM uses no parts beyond a version of the customer's share record.
func (s *Service) applied(a *account, version int64) sharesAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.AdvanceTo(s.now())
	isApplied := a.shareView.HasApplied(version, a.limiter.LentParts())
	if !isApplied && version > a.shareView.Version() {
		a.recordSchedule.announcedVersion = max(a.recordSchedule.announcedVersion, version)
		trySignal(s.wakeRecords)
	}
	return sharesAnswer{Start: s.Self.StartID, Applied: isApplied, Used: a.shareView.HasUsedLostParts() || len(a.limiter.TakenLoans()) > 0}
}

// HandleShares answers whether this VM has applied a share record. The body is a msgpack-encoded sharesRequest.
func (s *Service) HandleShares(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var m sharesRequest
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "decode shares request", Kind: MalformedMessage, Err: err}
	}
	s.RecordEra(afversion.Era(m.Version))
	s.mu.RLock()
	a := s.accounts[m.Customer]
	s.mu.RUnlock()
	if a == nil {
		return sharesAnswer{Start: s.Self.StartID, Applied: true}, nil
	}
	return s.applied(a, m.Version), nil
}
