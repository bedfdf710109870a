package afkeeper

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"time"

	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// rankDelay spreads the VMs that want the lease, so that one call usually decides.
const rankDelay = 150 * time.Millisecond

// keepLease renews the lease, or tries to take it when its holder is silent.
func (s *Service) keepLease(ctx context.Context) {
	now := s.BootTime()
	s.mu.Lock()
	lease, viewed, stopping := s.lease, s.viewed, s.stopping
	s.mu.Unlock()
	if stopping || now < s.nextLease {
		return
	}
	if !lease.Held(now) {
		quiet := s.Timer.Now().Sub(viewed)
		if !viewed.IsZero() && quiet < silence+s.rank() {
			return
		}
		if viewed.IsZero() && s.nextLease == 0 {
			s.nextLease = now + s.rank()
			return
		}
	}
	action, record := lease.Next(now)
	switch action {
	case aflease.Wait:
		if !lease.Held(now) {
			// The holder is silent towards this VM but may renew.
			s.nextLease = now + leaseRead
			s.readLease(ctx)
		}
	case aflease.Read:
		s.nextLease = now + leaseRead
		s.readLease(ctx)
	case aflease.Write:
		s.nextLease = now + tickPeriod
		s.writeLease(ctx, record, lease.Version())
	}
}

// rank returns a delay by which this VM follows others in taking the lease.
func (s *Service) rank() time.Duration {
	for i, vm := range s.Members() {
		if vm.Name == s.Self.VM {
			return time.Duration(min(i, 8)) * rankDelay
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Self.VM)) // A hash never fails.
	return time.Duration(h.Sum32()%8) * rankDelay
}

func (s *Service) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := s.Get(ctx, LeaseKind, LeaseName)
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
	s.lease = s.lease.WithRecord(r, o.Version, s.BootTime())
	s.mu.Unlock()
}

func (s *Service) writeLease(ctx context.Context, r aflease.Record, version int64) {
	sent := s.BootTime()
	o, err := s.write(ctx, r, version)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		// A conflict also means that the record is not the known one.
		s.lease = s.lease.WithoutVersion()
		s.Log.Info("placement lease not written", "epoch", r.Epoch, "version", version, "error", err)
		return
	}
	s.lease = s.lease.WithWritten(r, o.Version, sent, s.BootTime())
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
		return s.Create(ctx, o)
	}
	return s.Update(ctx, o)
}
