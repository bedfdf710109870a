package afkeeper

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// takeoverDelayStep separates the attempts of different VMs to take the lease, so that usually only one VM writes the record.
const takeoverDelayStep = 150 * time.Millisecond

// leaseWriteTimeout bounds a write of the lease. A holder must learn that the platform is away well before the TTL ends.
const leaseWriteTimeout = 600 * time.Millisecond

// maintainLease renews the lease, or tries to take it if the holder is silent.
func (s *Service) maintainLease(ctx context.Context) {
	now := s.BootTime()
	s.mu.Lock()
	lease, viewReceivedAt, isStopping, nextCheckAt := s.lease, s.viewReceivedAt, s.isStopping, s.nextLeaseCheckAt
	s.mu.Unlock()
	if isStopping || now < nextCheckAt {
		return
	}
	if !lease.IsHolder(now) && !viewReceivedAt.IsZero() {
		silence := s.Timer.Now().Sub(viewReceivedAt) - s.holderSilenceTimeout()
		if silence < 0 || silence < s.rankedTakeoverDelay() {
			return
		}
	}
	if lease.HasExpired(now) {
		s.announceStop(lease.Epoch())
	}
	action, record := lease.NextAction(now)
	switch action {
	case aflease.ActionWait:
		if !lease.IsHolder(now) {
			// This VM receives no views, but the holder may still renew the lease.
			s.setNextLeaseCheck(now + leaseReadInterval)
			s.readLease(ctx)
		}
	case aflease.ActionRead:
		s.setNextLeaseCheck(now + leaseReadInterval)
		if lease.IsHolder(now) {
			// A holder that goes on during an outage must send views meanwhile.
			s.setNextLeaseCheck(now + callTimeout + leaseReadInterval)
			go s.readLease(ctx)
			return
		}
		s.readLease(ctx)
	case aflease.ActionWrite:
		if !lease.IsHolder(now) && !lease.HolderIsEarlierProcess() && !s.hasDelayedTakeover {
			s.hasDelayedTakeover = true
			s.setNextLeaseCheck(now + s.rankedTakeoverDelay())
			return
		}
		s.setNextLeaseCheck(now + tickInterval)
		s.writeLease(ctx, record, lease.Version())
	}
}

// setNextLeaseCheck sets the boot time before which maintainLease does nothing.
func (s *Service) setNextLeaseCheck(at time.Duration) {
	s.mu.Lock()
	s.nextLeaseCheckAt = at
	s.mu.Unlock()
}

// rankedTakeoverDelay returns how long this VM waits for others to take the lease first. It is zero for the deputy and grows
// with the VM's position in the list of live VMs.
func (s *Service) rankedTakeoverDelay() time.Duration {
	s.mu.Lock()
	deputy := s.deputy.vm
	s.mu.Unlock()
	if deputy == s.Self.VM {
		return 0
	}
	for i, vm := range s.LiveVMs() {
		if vm.Name == s.Self.VM {
			return time.Duration(min(i, 8))*takeoverDelayStep + s.TakeoverDelay
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Self.VM)) // A hash never fails.
	return time.Duration(h.Sum32()%8)*takeoverDelayStep + s.TakeoverDelay
}

// readLease reads the record of the lease from the platform.
func (s *Service) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := s.GetObject(ctx, LeaseKind, LeaseName)
	var r aflease.Record
	switch {
	case afobject.IsKind(err, afobject.ObjectNotFound):
	case err != nil:
		s.Log.Debug("placement lease not read", "error", err)
		return
	default:
		s.mu.Lock()
		knownEpoch := s.lease.Epoch()
		s.mu.Unlock()
		if r, err = decodeLease(o, knownEpoch); err != nil {
			s.Log.Warn("replacing malformed placement lease", "version", o.Version, "error", err)
		}
	}
	s.mu.Lock()
	s.lease = s.lease.WithReadRecord(r, o.Version, s.BootTime())
	s.mu.Unlock()
	if s.ApplyLeaseNote != nil {
		if err := s.ApplyLeaseNote(r.Note); err != nil {
			s.Log.Warn("malformed note in the placement lease", "version", o.Version, "error", err)
		}
	}
}

// writeLease writes the record if its stored version is as given, and applies the outcome to the lease.
func (s *Service) writeLease(ctx context.Context, r aflease.Record, version int64) {
	sentAt := s.BootTime()
	o, err := s.writeRecord(ctx, r, version)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		// A version conflict also means that the stored record is unknown.
		if !s.lease.IsHolder(sentAt) && afobject.IsKind(err, afobject.OutcomeUnknown) {
			s.promises.unknownTakeoverAt, s.promises.hasUnknown = sentAt, true
		}
		s.lease = s.lease.WithUnknownWriteOutcome()
		s.Log.Info("placement lease not written", "epoch", r.Epoch, "version", version, "error", err)
		return
	}
	s.lease = s.lease.WithWrittenRecord(r, o.Version, sentAt, s.BootTime())
}

// writeRecord creates or updates the record on the platform, depending on whether the revision of version is zero.
func (s *Service) writeRecord(ctx context.Context, r aflease.Record, version int64) (afobject.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseWriteTimeout)
	defer cancel()
	if s.LeaseNote != nil {
		r.Note = s.LeaseNote()
	}
	spec, err := json.Marshal(r)
	if err != nil {
		return afobject.Object{}, err
	}
	o := afobject.Object{Kind: LeaseKind, Name: LeaseName, Version: version, Spec: spec}
	if afversion.Revision(version) == 0 {
		return s.CreateObject(ctx, o)
	}
	return s.UpdateObject(ctx, o)
}

// KindHolderStop is the kind of the message by which a VM announces that it has stopped using the lease.
const KindHolderStop = "stop"

// holderStop announces that the holder of an epoch sends no more orders.
type holderStop struct {
	Epoch int64 `msgpack:"epoch"`
	// SuccessorDelayMs is the time in milliseconds until another holder may send orders. It is above zero if the holder that
	// stopped still had to wait after the last orders of a previous holder, which it does not know.
	SuccessorDelayMs int64 `msgpack:"after,omitempty"`
	// OrderAgesMs holds, for each engine that got an order recently, how long ago the call of the last one ended, in milliseconds.
	OrderAgesMs map[string]int64 `msgpack:"orders,omitempty"`
}

// maxSuccessorDelay is far above the time between the orders of two holders. A longer one would leave the engines without a holder.
const maxSuccessorDelay = time.Hour

// isSound reports whether a holder can have sent the announcement. An order in the future would block its engine.
func (m holderStop) isSound() bool {
	for _, ms := range m.OrderAgesMs {
		if ms < 0 || !isMessageTime(ms) {
			return false
		}
	}
	return m.Epoch >= 0 && m.Epoch <= maxLeaseCount && m.SuccessorDelayMs >= 0 && m.SuccessorDelayMs <= maxSuccessorDelay.Milliseconds()
}

// announceStop stops the use of the lease for good and ends the calls of orders. It sends the other VMs the age of the last order
// to each engine, so that the next holder waits no longer than necessary.
func (s *Service) announceStop(epoch int64) {
	now := s.BootTime()
	s.mu.Lock()
	if s.lease.Epoch() != epoch || !s.lease.IsOwnEpoch(epoch) {
		s.mu.Unlock()
		return // Another VM has taken the lease.
	}
	m := holderStop{Epoch: s.lease.Epoch(), OrderAgesMs: make(map[string]int64)}
	m.SuccessorDelayMs = max(0, (s.lease.HandoverAt() - now + time.Millisecond - 1).Milliseconds())
	s.lease = s.lease.WithOwnUseEnded()
	for call := range s.ordersUnderWay {
		call.cancel()
		s.lastOrdersAt[call.engineID] = now
	}
	for id, at := range s.lastOrdersAt {
		if age := now - at; age < 2*s.LeaseTiming.QuietPeriod {
			m.OrderAgesMs[id] = age.Milliseconds()
		}
	}
	s.mu.Unlock()
	s.Log.Info("placement lease given up", "epoch", m.Epoch, "ordered_lately", len(m.OrderAgesMs), "after_ms", m.SuccessorDelayMs)
	for _, vm := range s.otherVMs() {
		if err := s.SendToVM(vm.Name, KindHolderStop, m); err != nil {
			s.Log.Debug("stop message not sent", "to", vm.Name, "error", err)
		}
	}
}

// HandleHolderStop handles the announcement of a former holder that it has stopped using the lease.
func (s *Service) HandleHolderStop(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m holderStop
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "stop", Kind: MalformedMessage, Err: err}
	}
	if !m.isSound() {
		return nil, &Error{Op: "stop", Kind: MalformedMessage, Err: errOutOfRange}
	}
	now := s.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, ms := range m.OrderAgesMs {
		// The delay of the message makes the order seem more recent than it is, which is safe.
		s.lastOrdersAt[id] = max(s.lastOrdersAt[id], now-time.Duration(ms)*time.Millisecond)
	}
	s.lease = s.lease.WithHolderStopped(m.Epoch, now+time.Duration(max(0, m.SuccessorDelayMs))*time.Millisecond)
	if s.holder == from.VM {
		s.viewReceivedAt = time.Time{}
		s.holder = ""
	}
	if !s.lease.IsHolder(now) {
		s.nextLeaseCheckAt = now + s.takeoverDelayAfterStop(from.VM)
	}
	s.Log.Info("placement holder stopped", "holder", from.VM, "epoch", m.Epoch, "after_ms", m.SuccessorDelayMs)
	return nil, nil
}

// takeoverDelayAfterStop returns how long this VM waits before it tries to take the lease after a stop. The delay differs
// between VMs, so that usually only one of them writes the record. The caller holds mu.
func (s *Service) takeoverDelayAfterStop(formerHolder string) time.Duration {
	if s.deputy.vm == s.Self.VM {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Self.VM + formerHolder)) // A hash never fails.
	return time.Duration(h.Sum32()%1000)*takeoverDelayStep/1000 + s.TakeoverDelay
}
