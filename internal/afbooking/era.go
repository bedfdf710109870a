package afbooking

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
)

// The platform's store may come back from an older copy of itself and lose the latest claims. The VMs remember them: a claim
// record of an earlier era is completed from the memory of all VMs before anything is decided by it.

// KindClaims is the kind of the message that asks a VM for the claims that it remembers.
const KindClaims = "claims"

// claimsRequest asks for the claims of a bucket. The VM that answers relies on no answer of an earlier era from then on.
type claimsRequest struct {
	Bucket int   `msgpack:"bucket"`
	Era    int64 `msgpack:"era"`
}

// claimsAnswer holds what a VM remembers.
type claimsAnswer struct {
	// Start identifies the start of the daemon.
	Start int64 `msgpack:"start"`
	// Record is a record in its JSON form. It holds no claim of this start that was cancelled or never granted.
	Record []byte `msgpack:"record"`
	// Granted are the IDs of this VM's granted calls.
	Granted []string `msgpack:"granted"`
}

// RecordEra records an era of the store and returns the highest known one. In a new era this VM writes the claims again that it
// remembers.
func (s *Service) RecordEra(era int64) int64 {
	for {
		old := s.era.Load()
		if era <= old {
			return old
		}
		if s.era.CompareAndSwap(old, era) {
			if old != 0 {
				s.Log.Warn("claims are completed, the platform's store came back from an older copy", "era", era, "before", old)
			}
			for i := range s.buckets {
				s.buckets[i].enqueueRestore(s, i)
			}
			return era
		}
	}
}

// enqueueRestore makes the bucket's record be read and completed, unless this VM remembers no claim of it. The attempts for
// different records are spaced as after an outage.
func (b *bucket) enqueueRestore(s *Service, index int) {
	b.nameOnce.Do(func() { b.recordName = strconv.Itoa(index) })
	if len(b.rememberedRecord().Claims) == 0 {
		return
	}
	delay := s.outageRetryDelay(0)
	go func() {
		s.Timer.Sleep(context.Background(), delay)
		b.mu.Lock()
		defer b.mu.Unlock()
		// The cancellation of no claim changes nothing.
		b.enqueueOp(s, &queuedOp{op: afclaim.Op{Kind: afclaim.OpCancel}})
	}()
}

// remember keeps the record for the case that the store loses it. It reports false if the record is of an era that is over.
func (b *bucket) remember(s *Service, r afclaim.Record, era int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if era < s.era.Load() {
		return false
	}
	b.remembered = r
	return true
}

// rememberedRecord returns the latest record that this VM has read or written.
func (b *bucket) rememberedRecord() afclaim.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remembered
}

// memory returns what this VM remembers of the bucket.
func (b *bucket) memory(s *Service) (afclaim.Record, []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	isPending, isCancelled := make(map[afclaim.AttemptID]bool), make(map[afclaim.AttemptID]bool)
	for _, q := range b.queue {
		isPending[q.op.Attempt] = true
		isCancelled[q.op.Attempt] = q.op.Kind == afclaim.OpCancel || q.isAbandoned
	}
	var granted []string
	for id, g := range b.grantedCalls {
		if isPending[g.attempt] = true; !isCancelled[g.attempt] {
			granted = append(granted, id)
		}
	}
	return b.remembered.WithoutClaims(func(c afclaim.Claim) bool {
		return c.Attempt.Incarnation() == s.Self && !c.HasRun && (!isPending[c.Attempt] || isCancelled[c.Attempt])
	}), granted
}

// restoreClaims returns the record of an earlier era with the claims that the VMs remember. It fails unless all VMs that may be
// alive have answered, since each may have claimed a call that must not run again.
func (s *Service) restoreClaims(ctx context.Context, b *bucket, r afclaim.Record, era int64) (afclaim.Record, error) {
	index, err := strconv.Atoi(b.recordName)
	if err != nil {
		return r, err
	}
	own, granted := b.memory(s)
	memories := []afclaim.Memory{{Holder: s.Self, Record: own, Granted: granted}}
	vms, known := s.OtherVMs()
	if !known {
		return r, &Error{Op: "restore claims", Kind: UnknownVMs}
	}
	for _, vm := range vms {
		var answer claimsAnswer
		if err := s.CallVM(ctx, vm, KindClaims, claimsRequest{Bucket: index, Era: era}, &answer); err != nil {
			s.Log.Debug("claims not fetched from a peer", "vm", vm, "record", b.recordName, "error", err)
			return r, err
		}
		m := afclaim.Memory{Holder: arbutusfork.Incarnation{VM: vm, StartID: answer.Start}, Granted: answer.Granted}
		if err := json.Unmarshal(answer.Record, &m.Record); err != nil {
			return r, &Error{Op: "decode claims of " + vm, Kind: MalformedRecord, Err: err}
		}
		memories = append(memories, m)
	}
	return r.Restored(era, memories), nil
}

// HandleClaims answers a peer's request for the claims that this VM remembers. The body is a msgpack-encoded claimsRequest.
func (s *Service) HandleClaims(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var m claimsRequest
	if err := msgpack.Unmarshal(body, &m); err != nil || m.Bucket < 0 || m.Bucket >= len(s.buckets) {
		return nil, &Error{Op: "decode claims request", Kind: MalformedRecord, Err: err}
	}
	s.RecordEra(m.Era)
	r, granted := s.buckets[m.Bucket].memory(s)
	record, err := json.Marshal(r)
	return claimsAnswer{Start: s.Self.StartID, Record: record, Granted: granted}, err
}
