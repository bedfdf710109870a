// Package afscheduler grants the starts of requests at model engines, one VM for each engine, so that the prompts that all VMs
// send to an engine do not delay the streams that run there (package afprefill). Before a VM sends a request to an engine, it asks
// the engine's home VM for a start. While that VM does not answer, the asking VM decides alone, from what it sent itself.
package afscheduler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afprefill"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// askTimeout bounds a request for a start. A round trip takes some milliseconds, and a request of an urgent route has some hundred
	// milliseconds until its first event is late.
	askTimeout = 100 * time.Millisecond
	// silenceTime is how long a VM that did not answer is not asked again.
	silenceTime = time.Second
	// lateReportInterval is the time between two reports of late events of one engine.
	lateReportInterval = 250 * time.Millisecond
	// minRetryWait is the least time after which a request that got no start asks again.
	minRetryWait = 20 * time.Millisecond
	// maxKnownEngines bounds the engines whose backlog is kept.
	maxKnownEngines = 4096
)

// Service grants starts and asks for them on one VM. Set the exported fields before the first call.
type Service struct {
	// Self is the name of this VM.
	Self  string
	Timer *aftimer.Service
	Log   *slog.Logger
	// LiveVMs returns the VMs that take work, including this one unless it is leaving.
	LiveVMs func() []arbutusfork.VM
	// SendToVM sends a message to a VM. It must not block.
	SendToVM func(vm, kind string, message any) error
	// CallVM sends a message to a VM and waits for the answer.
	CallVM func(ctx context.Context, vm, kind string, message, answer any) error
	// OnRoom is called when waiting requests should be checked again. It must not block.
	OnRoom func()
	// Metrics counts starts. The zero value counts nothing.
	Metrics Metrics

	mu sync.Mutex
	// schedule holds the starts that this VM granted.
	schedule afprefill.Schedule
	// readAt holds when this VM expects that the prompts at an engine have been read.
	readAt map[afengine.EndpointStart]time.Time
	// lateReportedAt holds when this VM last reported a late event of an engine.
	lateReportedAt map[afengine.EndpointStart]time.Time
	// silentUntil holds the time until which a VM that did not answer is not asked.
	silentUntil map[string]time.Time
}

// ExpectedBacklog returns how long an engine probably needs for the prompts that were granted to it.
func (s *Service) ExpectedBacklog(e afengine.EndpointStart) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.readAt[e].Sub(s.Timer.Now()), 0)
}

// Take takes a start at an engine. If it is granted, the request may be sent after the wait. OnRoom is called when a further request may
// be granted. After the end of the context, nothing is granted.
func (s *Service) Take(ctx context.Context, r afprefill.Request) afprefill.Grant {
	grant := s.request(ctx, r)
	if ctx.Err() != nil {
		return afprefill.Grant{} // The caller has left.
	}
	grant.IsGranted = grant.IsGranted && grant.Wait <= r.MaxWait // A VM of another build may grant a later start.
	s.Metrics.countStart(grant)
	s.mu.Lock()
	s.setReadAt(r.Engine, s.Timer.Now().Add(grant.Backlog))
	s.mu.Unlock()
	if s.OnRoom != nil {
		wait := grant.Backlog // Patient requests start when the engine has read all prompts.
		if !grant.IsGranted {
			wait = max(grant.Wait-r.MaxWait, minRetryWait)
		}
		s.Timer.CallAfter(wait, func(time.Time) { s.OnRoom() })
	}
	return grant
}

// setReadAt sets when this VM expects that the prompts at an engine have been read. The caller holds mu.
func (s *Service) setReadAt(e afengine.EndpointStart, at time.Time) {
	if s.readAt == nil || len(s.readAt) >= maxKnownEngines {
		s.readAt = make(map[afengine.EndpointStart]time.Time)
	}
	s.readAt[e] = at
}

// request asks the home VM of the engine for a start. If it does not answer, this VM decides by its own schedule: the streams of the engine
// may pause then, but no caller waits for a VM that is gone.
func (s *Service) request(ctx context.Context, r afprefill.Request) afprefill.Grant {
	if home := s.homeVM(r.Engine); home != "" && home != s.Self {
		if grant, ok := s.askVM(ctx, home, r); ok {
			return grant
		}
	}
	if ctx.Err() != nil {
		return afprefill.Grant{}
	}
	return s.takeOwn(r)
}

// RecordLateEvent reports that an event of a stream came late to the home VM of its engine, which lowers the pace.
func (s *Service) RecordLateEvent(e afengine.EndpointStart) {
	now := s.Timer.Now()
	s.mu.Lock()
	isRecent := now.Sub(s.lateReportedAt[e]) < lateReportInterval
	if !isRecent {
		if s.lateReportedAt == nil || len(s.lateReportedAt) >= maxKnownEngines {
			s.lateReportedAt = make(map[afengine.EndpointStart]time.Time)
		}
		s.lateReportedAt[e] = now
	}
	s.mu.Unlock()
	if isRecent {
		return
	}
	home := s.homeVM(e)
	if home == "" || home == s.Self {
		s.applyLateEvent(e)
		return
	}
	if err := s.SendToVM(home, KindLateEvent, lateEventMessage{Endpoint: e.Endpoint, StartUnixMs: e.StartUnixMs}); err != nil {
		s.Log.Debug("late event not reported", "to", home, "engine", e.Endpoint, "error", err)
	}
}

// applyLateEvent lowers the pace of an engine in the schedule of this VM.
func (s *Service) applyLateEvent(e afengine.EndpointStart) {
	s.mu.Lock()
	share, isLower := s.schedule.RecordLateEvent(e, s.Timer.Now())
	s.mu.Unlock()
	if isLower {
		s.Metrics.countSlowdown()
		s.Log.Debug("engine pace lowered", "engine", e.Endpoint, "share", share)
	}
}

// RecordFirstEvent reports to the home VM of an engine after which time the first event of a request came.
func (s *Service) RecordFirstEvent(e afengine.EndpointStart, model string, promptTokens int64, took time.Duration) {
	home := s.homeVM(e)
	if home == "" || home == s.Self {
		s.applyFirstEvent(e, model, promptTokens, took)
		return
	}
	m := firstEventMessage{Endpoint: e.Endpoint, StartUnixMs: e.StartUnixMs, Model: model, PromptTokens: promptTokens, TookMicros: took.Microseconds()}
	if err := s.SendToVM(home, KindFirstEvent, m); err != nil {
		s.Log.Debug("first event not reported", "to", home, "engine", e.Endpoint, "error", err)
	}
}

// applyFirstEvent adds the time of a first event to the schedule of this VM.
func (s *Service) applyFirstEvent(e afengine.EndpointStart, model string, promptTokens int64, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.RecordFirstEvent(e, model, promptTokens, took, s.Timer.Now())
}

// homeVM returns the VM that keeps the schedule of an engine, or an empty string.
func (s *Service) homeVM(e afengine.EndpointStart) string {
	for _, vm := range afmember.HighestRanked(s.LiveVMs(), "prefill/"+e.Endpoint, 1) {
		return vm.Name
	}
	return ""
}

// takeOwn takes a start from the schedule of this VM.
func (s *Service) takeOwn(r afprefill.Request) afprefill.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schedule.Take(r, s.Timer.Now())
}

// askVM asks a VM for a start. It returns false if the VM does not answer, or did not a short time ago.
func (s *Service) askVM(ctx context.Context, vm string, r afprefill.Request) (afprefill.Grant, bool) {
	s.mu.Lock()
	isSilent := s.Timer.Now().Before(s.silentUntil[vm])
	s.mu.Unlock()
	if isSilent {
		return afprefill.Grant{}, false
	}
	callCtx, cancel := s.Timer.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer grantMessage
	err := s.CallVM(callCtx, vm, KindStart, encodeRequest(r), &answer)
	if err != nil && ctx.Err() != nil {
		return afprefill.Grant{}, false // The caller has left, which says nothing about the VM.
	}
	if err != nil {
		s.Metrics.countUnanswered()
		s.Log.Info("start request failed", "asked", vm, "engine", r.Engine.Endpoint, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if s.silentUntil == nil || len(s.silentUntil) >= maxKnownEngines {
			s.silentUntil = make(map[string]time.Time)
		}
		s.silentUntil[vm] = s.Timer.Now().Add(silenceTime)
		return afprefill.Grant{}, false
	}
	delete(s.silentUntil, vm)
	return answer.decode(), true
}
