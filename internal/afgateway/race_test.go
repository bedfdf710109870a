package afgateway

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an attempt that is given up before another one has spoken, and against two that answer.
func TestRace(t *testing.T) {
	type step struct {
		event string
		id    attemptID
		// want are the expected effects.
		want raceEffects
	}
	closed := func(racers ...racer) raceEffects {
		e := raceEffects{}
		copy(e.closed[:], racers)
		return e
	}
	// listClosed moves the closed attempts in front of the unused entries.
	listClosed := func(e raceEffects) raceEffects {
		used := slices.DeleteFunc(slices.Clone(e.closed[:]), func(r racer) bool { return r.id == 0 })
		e.closed = closed(used...).closed
		return e
	}
	start := func(id attemptID) raceEffects { return raceEffects{started: id} }
	beginSecond := []step{{"silence", 1, raceEffects{seek: true}}, {"place", 0, start(2)}, {"send", 2, raceEffects{}}, {"silence", 2, raceEffects{}}}
	beginThird := append(beginSecond, step{"long silence", 1, raceEffects{seek: true}}, step{"place", 0, start(3)}, step{"send", 3, raceEffects{}})
	spokenWhileSeeking := closed(racer{id: 2, isSent: true, isSilent: true})
	spokenWhileSeeking.stopSeeking = true
	hung, silentSecond := racer{1, true, true, true}, racer{id: 2, isSent: true, isSilent: true}
	seek, rejected, stopSeeking := raceEffects{seek: true}, raceEffects{isRejected: true}, raceEffects{stopSeeking: true}
	for name, steps := range map[string][]step{
		"second speaks":                {{"silence", 1, seek}, {"place", 0, start(2)}, {"send", 2, raceEffects{}}, {"speech", 2, closed(racer{id: 1, isSent: true, isSilent: true})}, {"speech", 1, rejected}},
		"first speaks while second is": {{"silence", 1, seek}, {"place", 0, start(2)}, {"send", 2, raceEffects{}}, {"speech", 1, closed(racer{id: 2, isSent: true})}, {"speech", 2, rejected}},
		"first speaks before the send": {{"silence", 1, seek}, {"place", 0, start(2)}, {"speech", 1, closed(racer{id: 2})}, {"send", 2, rejected}},
		"first speaks before a place":  {{"silence", 1, seek}, {"speech", 1, stopSeeking}, {"place", 0, raceEffects{unneededPlace: true}}},
		"second refuses":               {{"silence", 1, seek}, {"place", 0, start(2)}, {"send", 2, raceEffects{}}, {"end", 2, closed(racer{id: 2, isSent: true})}, {"speech", 1, raceEffects{}}},
		"second has no slot":           {{"silence", 1, seek}, {"place", 0, start(2)}, {"end", 2, closed(racer{id: 2})}, {"silence", 1, seek}},
		"first breaks off":             {{"silence", 1, seek}, {"place", 0, start(2)}, {"send", 2, raceEffects{}}, {"end", 1, closed(racer{id: 1, isSent: true, isSilent: true})}, {"speech", 2, raceEffects{}}},
		"both are silent for a moment": {{"silence", 1, seek}, {"place", 0, start(2)}, {"send", 2, raceEffects{}}, {"silence", 2, raceEffects{}}, {"speech", 2, closed(racer{id: 1, isSent: true, isSilent: true})}},
		"first is hung and speaks":     append(slices.Clone(beginThird), step{"speech", 1, closed(silentSecond, racer{id: 3, isSent: true})}, step{"speech", 2, rejected}, step{"speech", 3, rejected}),
		"first is hung, second speaks": append(slices.Clone(beginThird), step{"speech", 2, closed(hung, racer{id: 3, isSent: true})}, step{"speech", 1, rejected}),
		"first is hung, third refuses": append(slices.Clone(beginThird), step{"end", 3, closed(racer{id: 3, isSent: true})}, step{"long silence", 1, seek}, step{"speech", 1, spokenWhileSeeking}),
		"third is silent too":          append(slices.Clone(beginThird), step{"silence", 3, raceEffects{}}, step{"long silence", 1, raceEffects{}}, step{"long silence", 2, seek}),
		"last allowed run":             {{"final silence", 1, raceEffects{}}, {"speech", 1, raceEffects{}}},
		"over while it seeks":          {{"silence", 1, seek}, {"over", 0, raceEffects{stopSeeking: true, closed: closed(racer{id: 1, isSent: true, isSilent: true}).closed}}, {"place", 0, raceEffects{unneededPlace: true}}},
		"speech without a send":        {{"silence", 1, seek}, {"place", 0, start(2)}, {"speech", 2, rejected}},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := race{}.withFirst()
			for i, s := range steps {
				var got raceEffects
				switch s.event {
				case "silence":
					r, got = r.withSilence(s.id, false, true)
				case "long silence":
					r, got = r.withSilence(s.id, true, true)
				case "final silence":
					r, got = r.withSilence(s.id, false, false)
				case "place":
					r, got = r.withPlace()
				case "send":
					r, got = r.withSend(s.id)
				case "speech":
					r, got = r.withSpeech(s.id)
				case "end":
					r, got = r.withEnd(s.id)
				case "over":
					r, got = r.withOver()
				}
				require.Equal(t, s.want, listClosed(got), "step %d: %s", i, s.event)
			}
		})
	}
}

// raceModel plays one stream with the race: its attempts send numbered events from where the answer was as they were sent.
type raceModel struct {
	t         *rapid.T
	race      race
	relayed   int
	nextEvent map[attemptID]int
	// places and retries are what each live attempt holds.
	places, retries map[attemptID]bool
	// isSeeking means that the request is in the queue.
	isSeeking bool
	// spoken is the attempt that has spoken last.
	spoken attemptID
}

func (m *raceModel) apply(r race, e raceEffects) bool {
	m.race = r
	require.False(m.t, e.seek && m.isSeeking, "the request waits twice")
	m.isSeeking = (m.isSeeking || e.seek) && !e.stopSeeking && e.started == 0
	for _, c := range e.closed {
		if c.id == 0 {
			continue
		}
		require.True(m.t, m.places[c.id], "the place of %d is given back twice", c.id)
		delete(m.places, c.id)
		if !c.isSent {
			require.True(m.t, m.retries[c.id], "the retry of %d is given back twice", c.id)
		}
		delete(m.retries, c.id)
	}
	if e.started != 0 {
		m.places[e.started], m.retries[e.started] = true, true
	}
	require.LessOrEqual(m.t, len(m.places), maxLiveAttempts)
	require.Equal(m.t, m.race.liveCount(), len(m.places), "places without an attempt")
	return !e.isRejected
}

// Guards against events that are relayed twice, out of order or from two attempts, and places or retries that are kept or given
// back twice, in any order of what happens.
func TestRaceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &raceModel{t: t, nextEvent: map[attemptID]int{}, places: map[attemptID]bool{}, retries: map[attemptID]bool{}}
		begin := func() {
			r, id := m.race.withFirst()
			m.race, m.places[id], m.nextEvent[id] = r, true, m.relayed
		}
		begin()
		anyID := rapid.Custom(func(t *rapid.T) attemptID { return attemptID(rapid.IntRange(1, int(m.race.lastID)).Draw(t, "id")) })
		t.Repeat(map[string]func(*rapid.T){
			"silence": func(t *rapid.T) {
				m.apply(m.race.withSilence(anyID.Draw(t, "attempt"), rapid.Bool().Draw(t, "hung"), rapid.Bool().Draw(t, "may repeat")))
			},
			"place": func(*rapid.T) {
				wasSeeking := m.isSeeking
				r, e := m.race.withPlace()
				m.apply(r, e)
				require.Equal(t, wasSeeking, !e.unneededPlace)
			},
			"send": func(t *rapid.T) {
				id := anyID.Draw(t, "attempt")
				wasSent := m.nextEvent[id] != 0 || id == 1
				if m.apply(m.race.withSend(id)) && !wasSent {
					m.nextEvent[id] = m.relayed
				}
			},
			"event": func(t *rapid.T) {
				id := anyID.Draw(t, "attempt")
				if m.apply(m.race.withSpeech(id)) {
					require.Equal(t, m.relayed, m.nextEvent[id], "attempt %d repeats or skips events", id)
					require.Equal(t, 1, m.race.liveCount(), "another attempt may speak too")
					m.nextEvent[id]++
					m.relayed++
					m.spoken = id
				}
			},
			"second attempt": func(t *rapid.T) {
				for _, racer := range m.race.racers {
					m.apply(m.race.withSilence(racer.id, rapid.Bool().Draw(t, "hung"), true))
				}
				m.apply(m.race.withPlace())
				id := m.race.lastID
				if wasSent := m.nextEvent[id] != 0 || id == 1; m.apply(m.race.withSend(id)) && !wasSent {
					m.nextEvent[id] = m.relayed
				}
			},
			"end": func(t *rapid.T) {
				if m.apply(m.race.withEnd(anyID.Draw(t, "attempt"))) && m.race.liveCount() == 0 && !m.race.isOver {
					require.False(t, m.isSeeking, "a request without an attempt waits in the wrong turn")
					begin()
				}
			},
			"over": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					m.apply(m.race.withOver())
				}
			},
			"": func(t *rapid.T) {
				for id := range m.places {
					require.GreaterOrEqual(t, m.race.find(id), 0)
				}
			},
		})
		m.apply(m.race.withOver())
		require.Empty(t, m.places)
		require.Empty(t, m.retries)
		require.False(t, m.isSeeking)
	})
}
