// Package afprefill spaces the prompts that all VMs send to one engine.
//
// It answers this load: requests for a busy model arrive at many VMs at the same time, each VM knows the requests of the
// others only some hundred milliseconds later, and all choose the same engine. The engine then reads one prompt after
// another between two steps of the streams that it runs, so that all of them pause for longer than their callers accept. With 12 or
// more requests within 0.4 s, more than half of the streams of an engine did.
//
// One VM keeps the Schedule of an engine and says when each request may be sent. Engines and models differ in speed, so that the pace
// follows from what requests got: the time to their first event shows how fast the engine reads prompts of a model, and the part of
// its time that it may spend on reading falls when an event of a stream comes late, and rises while none does and requests wait. The
// functions are pure: time is an argument.
package afprefill

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

const (
	// MaxAhead is how far ahead a start may be granted. A request that would wait for longer asks again later, when another
	// engine may be free.
	MaxAhead = time.Second
	// startShare is the share of its time that an engine may spend on prompts at first. With two thirds, an event of a stream takes
	// three times as long as without prompts.
	startShare = 0.7
	// minShare and maxShare bound the share. It may exceed 1, since the speed of an engine is estimated from below.
	minShare = 0.2
	maxShare = 1.5
	// slowdown is the factor by which a late event lowers the share, at most once in slowdownInterval: one burst of prompts delays the
	// events of all streams.
	slowdown         = 0.8
	slowdownInterval = 300 * time.Millisecond
	// speedup is the factor by which a request that has to wait raises the share, at most once in speedupInterval and if no event was late
	// for calmTime. A late event shows only some hundred milliseconds after the prompts that caused it.
	speedup         = 1.06
	speedupInterval = 150 * time.Millisecond
	calmTime        = time.Second
	// burstTime is how long the prompts that are granted may last beside which a further request may start at once.
	burstTime = 120 * time.Millisecond
	// maxModels bounds the models of one engine whose speeds are kept.
	maxModels = 64
	// maxEngines bounds the engines in a Schedule. The largest deployment has 750.
	maxEngines = 4096
)

// Request asks for the start of a request at an engine.
type Request struct {
	Engine afengine.EndpointStart
	Model  string
	// PromptTokens is the number of tokens that the engine has to read.
	PromptTokens int64
	// IsPatient means that the request has time or is late already, so that it starts only if the engine has read all prompts.
	IsPatient bool
	// MaxWait is how long the asking VM waits for the start, at most MaxAhead.
	MaxWait time.Duration
}

// Grant is the answer to a Request.
type Grant struct {
	// IsGranted means that the request may be sent after Wait. Otherwise no start is free within MaxWait, and a further request
	// may be granted after Wait.
	IsGranted bool
	Wait      time.Duration
	// Backlog is how long the engine needs for the prompts that were granted until now, this one included.
	Backlog time.Duration
}

// Schedule holds the starts that were granted at each engine. The zero value is ready to use. It is not safe for concurrent use.
type Schedule struct {
	engines map[afengine.EndpointStart]engine
}

// engine is the state of one engine.
type engine struct {
	// readAt is when the prompts that were granted will have been read.
	readAt time.Time
	// share is the share of its time that the engine may spend on prompts.
	share float64
	// slowedAt and raisedAt are when the share was last lowered and raised.
	slowedAt, raisedAt time.Time
	// speeds holds how fast the engine reads the prompts of a model.
	speeds map[string]readSpeed
}

// Take grants a start, or returns the time until one may be free.
func (s *Schedule) Take(r Request, now time.Time) Grant {
	e := s.get(r.Engine, now)
	burst := burstTime
	if r.IsPatient {
		burst = 0
	}
	wait := max(e.readAt.Sub(now)-burst, 0)
	if wait > 0 && now.Sub(e.slowedAt) >= calmTime && now.Sub(e.raisedAt) >= speedupInterval {
		e.share, e.raisedAt = min(e.share*speedup, maxShare), now
	}
	isGranted := wait <= min(r.MaxWait, MaxAhead)
	if isGranted {
		readTime := e.speeds[r.Model].timeFor(r.PromptTokens)
		e.readAt = e.readAt.Add(time.Duration(float64(readTime) / e.share))
	}
	s.set(r.Engine, e, now)
	return Grant{IsGranted: isGranted, Wait: wait, Backlog: e.readAt.Sub(now)}
}

// RecordLateEvent records that an event of a stream of the engine came late. It returns the new share and whether it is a lower one.
func (s *Schedule) RecordLateEvent(id afengine.EndpointStart, now time.Time) (share float64, isLower bool) {
	e := s.get(id, now)
	if now.Sub(e.slowedAt) < slowdownInterval {
		return e.share, false
	}
	e.share, e.slowedAt = max(e.share*slowdown, minShare), now
	s.set(id, e, now)
	return e.share, true
}

// RecordFirstEvent records after which time the first event of a request came.
func (s *Schedule) RecordFirstEvent(id afengine.EndpointStart, model string, promptTokens int64, took time.Duration, now time.Time) {
	e := s.get(id, now)
	speed, isKnown := e.speeds[model]
	if e.speeds == nil || !isKnown && len(e.speeds) >= maxModels {
		e.speeds = make(map[string]readSpeed)
	}
	e.speeds[model] = speed.withSample(promptTokens, took)
	s.set(id, e, now)
}

// get returns the state of an engine.
func (s *Schedule) get(id afengine.EndpointStart, now time.Time) engine {
	e, ok := s.engines[id]
	if !ok {
		e.share = startShare
	}
	if e.readAt.Before(now) {
		e.readAt = now
	}
	return e
}

// set sets the state of an engine. If too many engines are known, it forgets those that have read all prompts.
func (s *Schedule) set(id afengine.EndpointStart, e engine, now time.Time) {
	if s.engines == nil {
		s.engines = make(map[afengine.EndpointStart]engine)
	}
	if _, isKnown := s.engines[id]; !isKnown && len(s.engines) >= maxEngines {
		for other, state := range s.engines {
			if !state.readAt.After(now) {
				delete(s.engines, other)
			}
		}
		if len(s.engines) >= maxEngines {
			clear(s.engines)
		}
	}
	s.engines[id] = e
}

// ExpectedWait returns how long a request waits at an engine with a backlog.
func ExpectedWait(backlog time.Duration, isPatient bool) time.Duration {
	if isPatient {
		return max(backlog, 0)
	}
	return max(backlog-burstTime, 0)
}
