package afsoak

import (
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	// maxForeignTime is how long an entry of another writer stays.
	minForeignTime, maxForeignTime = 500 * time.Millisecond, 2 * time.Second
	// maxRestartLead bounds the time from the restart of an endpoint until it drains.
	maxRestartLead = 2500 * time.Millisecond
	// restartCopyLead is how much older than the restart of an endpoint the copy is that a drill of the store comes back from.
	restartCopyLead = 300 * time.Millisecond
)

// injectMoment begins one of the faults below, or none, beside the others. A random source of its own keeps the other faults of a
// seed as they were. In half of the cases the configuration changes in the same moment.
func (s *Soak) injectMoment() {
	random := s.momentRandom
	n := random.IntN(10)
	if n < 7 && random.IntN(2) == 0 {
		s.logEvent("configuration written beside")
		s.fleet.writeConfig()
	}
	switch n {
	case 0, 1:
		s.silenceEndpoint()
	case 2:
		s.writeForeignEntry()
	case 3:
		s.sendLargeBodies()
	case 4, 5:
		s.breakAnswers(s.pickForMoment(), random.IntN(2) == 0, s.betweenMoments(500*time.Millisecond, 3*time.Second))
	case 6:
		s.drillAfterRestart()
	}
}

// betweenMoments returns a random time.
func (s *Soak) betweenMoments(low, high time.Duration) time.Duration {
	return low + time.Duration(s.momentRandom.Int64N(int64(high-low)))
}

func (s *Soak) endLater(d time.Duration, end func()) {
	s.recoveries.Go(func() {
		time.Sleep(d)
		end()
	})
}

// pickForMoment returns a random live endpoint.
func (s *Soak) pickForMoment() *endpoint {
	live := slices.Concat(s.fleet.liveEndpoints("llm"), s.fleet.liveEndpoints("app"))
	return live[s.momentRandom.IntN(len(live))]
}

// breakAnswers makes an endpoint stop inside the heads of its answers, send malformed heads, or send bodies without an end.
func (s *Soak) breakAnswers(e *endpoint, isEndless bool, d time.Duration) {
	if !isEndless {
		fault, what := StopInsideHead, "stops inside heads"
		if s.headRandom.IntN(2) == 0 {
			fault, what = DamageHeads, "sends malformed heads"
		}
		s.logEvent("endpoint %s %s", e.ID, what)
		s.beginProxyFault(e, fault)
		s.endLater(d, func() { s.endProxyFault(e) })
		return
	}
	s.logEvent("endpoint %s sends bodies without an end", e.ID)
	s.fleet.beginEndpointFault(e)
	e.SendsWithoutEnd.Store(true)
	s.endLater(d, func() {
		e.SendsWithoutEnd.Store(false)
		s.fleet.endEndpointFault(e)
	})
}

// writeForeignEntry lets another writer replace the entry of an endpoint, which writes its own again some time later.
func (s *Soak) writeForeignEntry() {
	e := s.pickForMoment()
	other := "llm"
	if e.Service == other {
		other = "app"
	}
	changes := []map[string]any{
		{"service": other, "zone": nil, "version": nil, "seq": nil, "born": nil},
		{"service": other, "slots": "many", "seq": []int{1}, "born": "now"},
		{"service": other, "zone": 7, "version": nil},
		{"service": 7, "address": nil},
		{"service": "others"},
	}[s.momentRandom.IntN(5)]
	s.logEvent("another writer changes the entry of endpoint %s: %v", e.ID, changes)
	e.WriteForeignEntry(changes)
	s.endLater(s.betweenMoments(minForeignTime, maxForeignTime), func() {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		if !e.isRemoved {
			e.WriteEntryAgain()
		}
	})
}

// drillAfterRestart lets an extra endpoint start again under its ID and drain, and then the store come back from a copy from
// before the restart. Only one time at which the store goes back runs at a time.
func (s *Soak) drillAfterRestart() {
	random := s.momentRandom
	isEngine, model := random.IntN(2) == 0, modelNames[random.IntN(len(modelNames))]
	restartLead, drainLead := s.betweenMoments(time.Second, maxRestartLead), s.betweenMoments(configApplyTimeout, configApplyTimeout+2*time.Second)
	away, rewriteDelay := s.betweenMoments(50*time.Millisecond, maxAwayTime), s.betweenMoments(0, maxRewriteDelay)
	s.mu.Lock()
	isGoingBack := s.isGoingBack
	s.isGoingBack = true
	s.mu.Unlock()
	if isGoingBack {
		return
	}
	s.recoveries.Go(func() {
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.isGoingBack = false
		}()
		e := s.addExtraEndpoint(isEngine, model)
		if e == nil {
			return
		}
		time.Sleep(extraReadyTime)
		s.logEvent("endpoint %s starts again under its ID", e.ID)
		restartedAt := time.Now()
		if isEngine {
			e.Restart(model)
		} else {
			e.Restart()
		}
		time.Sleep(restartLead)
		s.drainEndpoint(e)
		time.Sleep(drainLead)
		s.goBack(time.Since(restartedAt)+restartCopyLead, away, map[string]time.Duration{"config": rewriteDelay, afplatform.KindEndpoints: rewriteDelay})
		time.Sleep(minFaultFreeTime)
		s.fleet.killEndpoint(e)
	})
}
