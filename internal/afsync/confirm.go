package afsync

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

const (
	// kindVersionQuery is the kind of the message that carries a versionQuery.
	kindVersionQuery = "hold"
	// confirmRetryInterval is the time between two attempts to confirm a version with the witnesses.
	confirmRetryInterval = 100 * time.Millisecond
	// versionQueryTimeout limits one round of version queries, so that a witness that does not answer does not delay the
	// confirmation.
	versionQueryTimeout = time.Second
	// confirmTimeout limits the confirmation and the replacement of a witness set.
	confirmTimeout = 5 * time.Second

	// witnessSetHomeKey is the key whose home VM maintains the witness set.
	witnessSetHomeKey = "witnesses"
)

// versionQuery asks a witness which configuration version it holds. Version is the version to confirm.
type versionQuery struct {
	Version int64 `msgpack:"version"`
}

// versionAnswer is the answer of a witness: its incarnation and the configuration version that it holds.
type versionAnswer struct {
	Start   int64 `msgpack:"start"`
	Version int64 `msgpack:"version"`
}

// answerVersionQuery returns the configuration version that this VM holds. If the version is below the queried one, it
// also starts to fetch the changes from the caller.
func (s *Service) answerVersionQuery(caller arbutusfork.Incarnation, body []byte) (any, error) {
	var query versionQuery
	if err := msgpack.Unmarshal(body, &query); err != nil {
		return nil, &Error{Op: "hold", Kind: MalformedMessage, Err: err}
	}
	version := s.Version()
	if version < query.Version {
		s.events.TryPush(func() {
			if s.Version() < query.Version {
				s.pullChanges(caller.VM)
			}
		})
	}
	return versionAnswer{Start: s.Self.StartID, Version: version}, nil
}

// ConfirmVersion waits until a majority of the witnesses has acknowledged the version in both rounds. It fails with
// VersionUnconfirmed when ctx ends first.
func (s *Service) ConfirmVersion(ctx context.Context, version int64) error {
	for {
		versionRaised := s.nextVersionRaise()
		if snapshot := s.Snapshot(); snapshot.Version >= version {
			c := s.askWitnesses(ctx, afconfig.NewConfirmation(version, snapshot.Witnesses()))
			if s.askWitnesses(ctx, c).IsAccepted() {
				return nil
			}
		} else {
			s.events.TryPush(s.pullFromWatcher)
		}
		retryDue := make(chan struct{})
		sub := s.Timer.CallAfter(confirmRetryInterval, func(time.Time) { close(retryDue) })
		select {
		case <-retryDue:
		case <-versionRaised:
		case <-ctx.Done():
			sub.Stop()
			return &Error{Op: "confirm", Kind: VersionUnconfirmed, Err: ctx.Err()}
		}
		sub.Stop()
	}
}

// pullFromWatcher fetches changes from a VM that watches the platform, which receives a change before heartbeats
// announce the new version.
func (s *Service) pullFromWatcher() {
	view := s.Membership()
	for _, self := range view.PossiblyAliveVMs() {
		if self.Name != s.Self.VM {
			continue
		}
		for _, vm := range view.PlatformWatchers(self.Centre) {
			if vm.Name != s.Self.VM {
				s.pullChanges(vm.Name)
				return
			}
		}
	}
}

// askWitnesses runs one round of a confirmation. It returns when the round is complete or all witnesses have answered
// or failed.
func (s *Service) askWitnesses(ctx context.Context, c afconfig.Confirmation) afconfig.Confirmation {
	ctx, cancel := context.WithTimeout(ctx, versionQueryTimeout)
	defer cancel()
	type witnessAnswer struct {
		vm     string
		answer versionAnswer
		err    error
	}
	round, vms := c.CurrentRound()
	query := versionQuery{Version: c.Version()}
	answers := make(chan witnessAnswer, len(vms))
	for _, vm := range vms {
		if vm == s.Self.VM {
			answers <- witnessAnswer{vm: vm, answer: versionAnswer{Start: s.Self.StartID, Version: s.Version()}}
			continue
		}
		go func() {
			a := witnessAnswer{vm: vm}
			a.err = s.CallVM(ctx, vm, kindVersionQuery, query, &a.answer)
			answers <- a
		}()
	}
	for range vms {
		a := <-answers
		if a.err == nil {
			c = c.WithAcknowledgement(round, a.vm, a.answer.Start, a.answer.Version)
		}
		if next, _ := c.CurrentRound(); next != round || c.IsAccepted() {
			break
		}
	}
	return c
}

// maintainWitnesses replaces the witness set if the platform's list of VMs requires a change. Only the home VM of the
// set does so. If two VMs consider themselves the home VM, the conditional update lets only one of them succeed.
func (s *Service) maintainWitnesses() {
	home, ok := s.Membership().HomeVM(witnessSetHomeKey)
	if !ok || home.Name != s.Self.VM || s.isReplacingWitnesses || s.listedVMs == nil || !s.freshness.Load().IsFresh(s.Timer.Now()) {
		return
	}
	snapshot := s.Snapshot()
	set := snapshot.Witnesses()
	next, changed := set.NextSet(s.witnessCandidates(set))
	version := snapshot.ObjectVersion(afobject.KindWitnesses, afconfig.SingletonName)
	isLost := version > 0 && afversion.Era(version) < afversion.Era(snapshot.Version)
	if !changed && !isLost {
		return
	}
	s.isReplacingWitnesses = true
	confirm := s.hasListedMajority(set)
	go func() {
		next, err := s.replaceWitnesses(next, version, confirm, isLost)
		s.events.PushWithContext(s.ctx, func() {
			s.isReplacingWitnesses = false
			if err != nil {
				s.log().Warn("witness set not changed",
					"epoch", set.Epoch, "witnesses", set.VMs, "wanted", next.VMs, "error", err)
				return
			}
			s.log().Info("witness set changed", "epoch", next.Epoch, "witnesses", next.VMs, "before", set.VMs)
		})
	}()
}

// witnessCandidates returns the platform's list without the VMs that are not in the set and not live. A member that does
// not answer stays, since only its absence from the list proves that it is gone. A VM that is still starting must not
// become a member, since the set could then lose its majority.
func (s *Service) witnessCandidates(set afconfig.WitnessSet) []arbutusfork.VM {
	live := s.Membership().LiveVMs()
	return slices.DeleteFunc(slices.Clone(s.listedVMs), func(vm arbutusfork.VM) bool {
		return !slices.Contains(set.VMs, vm.Name) &&
			!slices.ContainsFunc(live, func(other arbutusfork.VM) bool { return other.Name == vm.Name })
	})
}

// hasListedMajority reports whether the platform lists a majority of the set. Only then can the set confirm its own
// version before it is replaced; no VM relies on a set that has permanently lost its majority.
func (s *Service) hasListedMajority(set afconfig.WitnessSet) bool {
	listedMembers := 0
	for _, vm := range s.listedVMs {
		if slices.Contains(set.VMs, vm.Name) {
			listedMembers++
		}
	}
	return len(set.VMs) > 0 && listedMembers >= set.MajoritySize()
}

// replaceWitnesses writes the next witness set if the object of the current set still has the given version. If confirm
// is set, it first confirms that version. If the store has lost the current set, next replaces whatever the store has. It
// returns the set with its epoch.
func (s *Service) replaceWitnesses(next afconfig.WitnessSet, version int64, confirm, isLost bool) (afconfig.WitnessSet, error) {
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	if confirm {
		// A majority of the current set must hold the current set's version before the set changes, so that no VM relies on
		// an older set.
		if err := s.ConfirmVersion(ctx, version); err != nil {
			return next, err
		}
	}
	basis := version
	if isLost || version == 0 {
		stored, err := s.Client.Get(ctx, afobject.KindWitnesses, afconfig.SingletonName)
		if err != nil && !afobject.IsKind(err, afobject.ObjectNotFound) {
			return next, err
		}
		basis = stored.Version
		if version = 0; isLost && err == nil {
			version = basis
		}
	}
	next = next.EpochFrom(basis)
	spec, err := json.Marshal(next)
	if err != nil {
		return next, err
	}
	_, err = s.Client.WriteWithReadback(ctx, afobject.Object{
		Kind: afobject.KindWitnesses, Name: afconfig.SingletonName, Version: version, Spec: spec,
	})
	return next, err
}
