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
)

const (
	kindHold = "hold"
	// holdPeriod is the time between two rounds of questions to witnesses that lag behind.
	holdPeriod = 100 * time.Millisecond
	// holdTimeout bounds one question, so that a witness that does not answer delays nothing.
	holdTimeout    = time.Second
	confirmTimeout = 5 * time.Second

	witnessKey = "witnesses"
)

// hold asks a witness whether it holds a version.
type hold struct {
	Version int64 `msgpack:"version"`
}

type holdAnswer struct {
	Start   int64 `msgpack:"start"`
	Version int64 `msgpack:"version"`
}

// serveHold answers with the version that this VM holds. If it is behind, it pulls from the VM that asks.
func (s *Service) serveHold(from arbutusfork.Incarnation, body []byte) (any, error) {
	var in hold
	if err := msgpack.Unmarshal(body, &in); err != nil {
		return nil, &Error{Op: "hold", Kind: MalformedMessage, Err: err}
	}
	version := s.Version()
	if version < in.Version {
		s.events.TryPush(func() {
			if s.Version() < in.Version {
				s.pull(from.VM)
			}
		})
	}
	return holdAnswer{Start: s.Self.StartID, Version: version}, nil
}

// ConfirmVersion waits until a majority of the witnesses holds the version. It fails with VersionUnconfirmed when ctx
// ends.
func (s *Service) ConfirmVersion(ctx context.Context, version int64) error {
	for {
		raised := s.wait()
		if snapshot := s.Snapshot(); snapshot.Version >= version {
			c := s.askWitnesses(ctx, afconfig.NewConfirmation(version, snapshot.Witnesses()))
			if s.askWitnesses(ctx, c).IsAccepted() {
				return nil
			}
		} else {
			s.events.TryPush(s.seek)
		}
		pause := make(chan struct{})
		sub := s.Timer.CallAfter(holdPeriod, func(time.Time) { close(pause) })
		select {
		case <-pause:
		case <-raised:
		case <-ctx.Done():
			sub.Stop()
			return &Error{Op: "confirm", Kind: VersionUnconfirmed, Err: ctx.Err()}
		}
		sub.Stop()
	}
}

// seek pulls from a watcher, which learns of a change before the heartbeats carry it.
func (s *Service) seek() {
	view := s.Membership()
	for _, self := range view.PossiblyAliveVMs() {
		if self.Name != s.Self.VM {
			continue
		}
		for _, vm := range view.PlatformWatchers(self.Centre) {
			if vm.Name != s.Self.VM {
				s.pull(vm.Name)
				return
			}
		}
	}
}

// askWitnesses runs one round of a confirmation. It returns once the round is complete or all have answered.
func (s *Service) askWitnesses(ctx context.Context, c afconfig.Confirmation) afconfig.Confirmation {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	type ack struct {
		vm     string
		answer holdAnswer
		err    error
	}
	round, vms := c.CurrentRound()
	question := hold{Version: c.Version()}
	acks := make(chan ack, len(vms))
	for _, vm := range vms {
		if vm == s.Self.VM {
			acks <- ack{vm: vm, answer: holdAnswer{Start: s.Self.StartID, Version: s.Version()}}
			continue
		}
		go func() {
			a := ack{vm: vm}
			a.err = s.CallVM(ctx, vm, kindHold, question, &a.answer)
			acks <- a
		}()
	}
	for range vms {
		a := <-acks
		if a.err == nil {
			c = c.WithAcknowledgement(round, a.vm, a.answer.Start, a.answer.Version)
		}
		if next, _ := c.CurrentRound(); next != round || c.IsAccepted() {
			break
		}
	}
	return c
}

// maintain changes the witness set by one member if the platform's list of VMs calls for it. It runs on one VM,
// the home of the set; should two VMs believe that they are it, the conditional update lets one of them win.
func (s *Service) maintain() {
	home, ok := s.Membership().HomeVM(witnessKey)
	if !ok || home.Name != s.Self.VM || s.maintaining || s.vms == nil || !s.evidence.Load().IsFresh(s.Timer.Now()) {
		return
	}
	snapshot := s.Snapshot()
	set := snapshot.Witnesses()
	next, changed := set.NextSet(s.candidates(set))
	if !changed {
		return
	}
	s.maintaining = true
	version := snapshot.ObjectVersion(afobject.KindWitnesses, afconfig.SingletonName)
	confirm := s.mustConfirm(set)
	go func() {
		err := s.replaceWitnesses(next, version, confirm)
		s.events.PushWithContext(s.ctx, func() {
			s.maintaining = false
			if err != nil {
				s.log().Warn("witness set not changed",
					"epoch", set.Epoch, "witnesses", set.VMs, "wanted", next.VMs, "error", err)
				return
			}
			s.log().Info("witness set changed", "epoch", next.Epoch, "witnesses", next.VMs, "before", set.VMs)
		})
	}()
}

// candidates returns the platform's list without the VMs that are no members and do not answer. A member that
// does not answer stays, since only the list says for certain that it is gone; a VM that is still starting must
// not become one, since the set could then lose its majority.
func (s *Service) candidates(set afconfig.WitnessSet) []arbutusfork.VM {
	live := s.Membership().LiveVMs()
	return slices.DeleteFunc(slices.Clone(s.vms), func(vm arbutusfork.VM) bool {
		return !slices.Contains(set.VMs, vm.Name) &&
			!slices.ContainsFunc(live, func(other arbutusfork.VM) bool { return other.Name == vm.Name })
	})
}

// mustConfirm reports whether the set can still confirm its successor. A set that has lost its majority for
// good cannot, and nobody relies on it.
func (s *Service) mustConfirm(set afconfig.WitnessSet) bool {
	present := 0
	for _, vm := range s.vms {
		if slices.Contains(set.VMs, vm.Name) {
			present++
		}
	}
	return len(set.VMs) > 0 && present >= set.MajoritySize()
}

func (s *Service) replaceWitnesses(next afconfig.WitnessSet, version int64, confirm bool) error {
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	if confirm {
		// The set may change only after its own majority holds it, so that no reader relies on an older one.
		if err := s.ConfirmVersion(ctx, version); err != nil {
			return err
		}
	}
	spec, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = s.Client.WriteWithReadback(ctx, afobject.Object{
		Kind: afobject.KindWitnesses, Name: afconfig.SingletonName, Version: version, Spec: spec,
	})
	return err
}
