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
)

// rankDelay spreads the VMs that want the lease, so that one call usually decides.
const rankDelay = 150 * time.Millisecond

// keepLease renews the lease, or tries to take it when its holder is silent.
func (s *Service) keepLease(ctx context.Context) {
	now := s.BootTime()
	s.mu.Lock()
	lease, viewed, stopping, next := s.lease, s.viewed, s.stopping, s.nextLease
	s.mu.Unlock()
	if stopping || now < next {
		return
	}
	if !lease.IsHolder(now) && !viewed.IsZero() && s.Timer.Now().Sub(viewed) < s.silence()+s.rank() {
		return
	}
	if lease.HasExpired(now) {
		s.retire()
	}
	action, record := lease.NextAction(now)
	switch action {
	case aflease.ActionWait:
		if !lease.IsHolder(now) {
			// The holder is silent towards this VM but may renew.
			s.setNext(now + leaseRead)
			s.readLease(ctx)
		}
	case aflease.ActionRead:
		s.setNext(now + leaseRead)
		s.readLease(ctx)
	case aflease.ActionWrite:
		if !lease.IsHolder(now) && !lease.HolderIsEarlierProcess() && !s.ranked {
			s.ranked = true
			s.setNext(now + s.rank())
			return
		}
		s.setNext(now + tickPeriod)
		s.writeLease(ctx, record, lease.Version())
	}
}

func (s *Service) setNext(at time.Duration) {
	s.mu.Lock()
	s.nextLease = at
	s.mu.Unlock()
}

// rank returns a delay by which this VM follows others in taking the lease.
func (s *Service) rank() time.Duration {
	s.mu.Lock()
	deputy := s.deputy.vm
	s.mu.Unlock()
	if deputy == s.Self.VM {
		return 0
	}
	for i, vm := range s.LiveVMs() {
		if vm.Name == s.Self.VM {
			return time.Duration(min(i, 8))*rankDelay + s.TakeoverDelay
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Self.VM)) // A hash never fails.
	return time.Duration(h.Sum32()%8)*rankDelay + s.TakeoverDelay
}

func (s *Service) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := s.GetObject(ctx, LeaseKind, LeaseName)
	var r aflease.Record
	switch {
	case afobject.IsKind(err, afobject.NotFound):
	case err != nil:
		s.Log.Debug("placement lease not read", "error", err)
		return
	default:
		if err := json.Unmarshal(o.Spec, &r); err != nil {
			s.Log.Warn("placement lease unreadable; it is replaced", "version", o.Version, "error", err)
		}
	}
	s.mu.Lock()
	s.lease = s.lease.WithReadRecord(r, o.Version, s.BootTime())
	s.mu.Unlock()
}

func (s *Service) writeLease(ctx context.Context, r aflease.Record, version int64) {
	sent := s.BootTime()
	o, err := s.write(ctx, r, version)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		// A conflict also means that the record is not the known one.
		s.lease = s.lease.WithUnknownWriteOutcome()
		s.Log.Info("placement lease not written", "epoch", r.Epoch, "version", version, "error", err)
		return
	}
	s.lease = s.lease.WithWrittenRecord(r, o.Version, sent, s.BootTime())
}

func (s *Service) write(ctx context.Context, r aflease.Record, version int64) (afobject.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	spec, err := json.Marshal(r)
	if err != nil {
		return afobject.Object{}, err
	}
	o := afobject.Object{Kind: LeaseKind, Name: LeaseName, Version: version, Spec: spec}
	if version == 0 {
		return s.CreateObject(ctx, o)
	}
	return s.UpdateObject(ctx, o)
}

// KindHolderStop is the kind of peer message by which a VM says that it has stopped using the lease.
const KindHolderStop = "stop"

// stop tells that the holder of an epoch gives no more orders.
type stop struct {
	Epoch int64 `msgpack:"epoch"`
	// After is the time in milliseconds until another holder may give orders. It is above zero if the holder that stopped
	// was still waiting for orders of one before it that it does not know.
	After int64 `msgpack:"after,omitempty"`
	// Orders holds the age of the last order to each engine that got one lately, in milliseconds.
	Orders map[string]int64 `msgpack:"orders,omitempty"`
}

// retire stops the use of the lease for good and tells the other VMs when each engine got its last order, so that they
// need not wait for orders that will not come.
func (s *Service) retire() {
	now := s.BootTime()
	s.mu.Lock()
	m := stop{Epoch: s.lease.Epoch(), Orders: make(map[string]int64)}
	m.After = max(0, (s.lease.HandoverAt() - now + time.Millisecond - 1).Milliseconds())
	s.lease = s.lease.WithOwnUseEnded()
	for id, at := range s.lastOrders {
		if age := now - at; age < 2*s.LeaseTiming.QuietPeriod {
			m.Orders[id] = age.Milliseconds()
		}
	}
	s.mu.Unlock()
	s.Log.Info("placement lease given up", "epoch", m.Epoch, "ordered_lately", len(m.Orders), "after_ms", m.After)
	for _, vm := range s.others() {
		if err := s.SendToVM(vm.Name, KindHolderStop, m); err != nil {
			s.Log.Debug("stop not sent", "to", vm.Name, "error", err)
		}
	}
}

// HandleHolderStop takes the word of a former holder.
func (s *Service) HandleHolderStop(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m stop
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "stop", Kind: MalformedMessage, Err: err}
	}
	now := s.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, ms := range m.Orders {
		// The message's own delay makes the order look younger than it is.
		s.lastOrders[id] = max(s.lastOrders[id], now-time.Duration(ms)*time.Millisecond)
	}
	s.lease = s.lease.WithHolderStopped(m.Epoch, now+time.Duration(max(0, m.After))*time.Millisecond)
	if s.holder == from.VM {
		s.viewed = time.Time{}
		s.holder = ""
	}
	s.nextLease = now + s.delay(from.VM)
	s.Log.Info("placement holder stopped", "holder", from.VM, "epoch", m.Epoch, "after_ms", m.After)
	return nil, nil
}

// delay returns a time that differs between VMs, so that one of them takes the lease. The caller holds mu.
func (s *Service) delay(key string) time.Duration {
	if s.deputy.vm == s.Self.VM {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Self.VM + key)) // A hash never fails.
	return time.Duration(h.Sum32()%1000)*rankDelay/1000 + s.TakeoverDelay
}
