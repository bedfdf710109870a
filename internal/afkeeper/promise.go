package afkeeper

import (
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
)

const (
	// promiseDuration is how long a VM that can't reach the platform promises the holder not to take the lease. It is at most the
	// TTL of the lease, and longer than the longest time between two views.
	promiseDuration = 1400 * time.Millisecond
	// lateWriteTime is how long a write without an answer may take effect late. A VM promises nothing for that long.
	lateWriteTime = 15 * time.Second
	// maxViewAge bounds the age of the views whose time of sending is kept.
	maxViewAge = 3 * time.Second
)

// KindPromise is the kind of the message by which a VM promises the holder not to take the lease for promiseDuration after the
// holder sent a view. During an outage of the platform, the holder goes on with the promises of all other VMs.
//
// A VM that the holder does not know yet promises nothing and must not take the lease either: see DelayTakeover.
const KindPromise = "promise"

// promiseMessage answers a view.
type promiseMessage struct {
	Epoch   int64 `msgpack:"epoch"`
	ViewSeq int64 `msgpack:"seq"`
}

// promiseState is what a holder needs to count promises.
type promiseState struct {
	// viewSeq is the number of views that this VM sent.
	viewSeq int64
	// viewsSentAt holds the boot times at which recent views were sent, by number.
	viewsSentAt map[int64]time.Duration
	// endsAt holds the boot times at which the promises to this VM end, by VM, without those that have ended.
	endsAt map[string]time.Duration
	// promisedUntil is the boot time until which all VMs have promised.
	promisedUntil time.Duration
	// unknownTakeoverAt is the boot time of this VM's last attempt to take the lease whose outcome is unknown.
	unknownTakeoverAt time.Duration
	hasUnknown        bool
}

// nextViewSeq returns the number of the view that is sent now. The caller holds mu.
func (s *Service) nextViewSeq() int64 {
	p, now := &s.promises, s.BootTime()
	if p.viewsSentAt == nil {
		p.viewsSentAt = make(map[int64]time.Duration)
	}
	p.viewSeq++
	p.viewsSentAt[p.viewSeq] = now
	for seq, at := range p.viewsSentAt {
		if now-at > maxViewAge {
			delete(p.viewsSentAt, seq)
		}
	}
	return p.viewSeq
}

// answerView promises a holder that has lost the platform not to take the lease, unless this VM has reached the platform since.
func (s *Service) answerView(holder string, epoch, viewSeq int64, isPlatformLost bool) {
	now := s.BootTime()
	s.mu.Lock()
	if !isPlatformLost {
		s.holderLostPlatformAt = time.Time{}
		s.mu.Unlock()
		return
	}
	if s.holderLostPlatformAt.IsZero() {
		s.holderLostPlatformAt = s.Timer.Now()
	}
	mayPromise := s.PlatformReachedAt != nil && !s.PlatformReachedAt().After(s.holderLostPlatformAt) && s.lease.Epoch() == epoch && !s.lease.IsHolder(now) && (!s.promises.hasUnknown || now-s.promises.unknownTakeoverAt > lateWriteTime)
	if mayPromise {
		s.lease = s.lease.WithOwnPromise(epoch, now+promiseDuration+s.LeaseTiming.SafetyMargin)
	}
	s.mu.Unlock()
	if !mayPromise {
		return
	}
	if err := s.SendToVM(holder, KindPromise, promiseMessage{Epoch: epoch, ViewSeq: viewSeq}); err != nil {
		s.Log.Debug("promise not sent", "to", holder, "error", err)
	}
}

// newVMTakeoverDelay is how long a VM that has just been listed takes no lease from a silent holder, which may not know this VM.
const newVMTakeoverDelay = 8 * time.Second

// DelayTakeover is called when this VM was listed for the first time.
func (s *Service) DelayTakeover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = s.lease.WithTakeoverDelay(s.BootTime() + newVMTakeoverDelay)
}

// HandlePromise counts the promise of another VM. With the promises of all listed VMs, this VM remains the holder without the
// platform.
func (s *Service) HandlePromise(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m promiseMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "promise", Kind: MalformedMessage, Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sentAt, ok := s.promises.viewsSentAt[m.ViewSeq]
	if !ok || m.Epoch != s.lease.Epoch() {
		return nil, nil
	}
	if s.promises.endsAt == nil {
		s.promises.endsAt = make(map[string]time.Duration)
	}
	now := s.BootTime()
	maps.DeleteFunc(s.promises.endsAt, func(_ string, endsAt time.Duration) bool { return endsAt <= now })
	s.promises.endsAt[from.VM] = max(s.promises.endsAt[from.VM], sentAt+promiseDuration)
	until := s.promisedByAll()
	if until > now && s.promises.promisedUntil < now {
		s.Log.Info("placement goes on without the platform", "epoch", m.Epoch, "promises", len(s.promises.endsAt))
	}
	s.promises.promisedUntil = max(s.promises.promisedUntil, until)
	s.lease = s.lease.WithPromises(until, now)
	return nil, nil
}

// promisedByAll returns until when all other listed VMs have promised not to take the lease, or zero if one has not or the list
// is unknown. The caller holds mu.
func (s *Service) promisedByAll() time.Duration {
	until, isListed := time.Duration(0), false
	for _, vm := range s.ListedVMs() {
		if vm == s.Self.VM {
			isListed = true
			continue
		}
		endsAt, ok := s.promises.endsAt[vm]
		if !ok {
			return 0
		}
		if until == 0 || endsAt < until {
			until = endsAt
		}
	}
	if !isListed {
		return 0
	}
	return until
}
