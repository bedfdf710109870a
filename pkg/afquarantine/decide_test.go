package afquarantine

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

// at returns the time some milliseconds after testStart.
func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// crash returns the n-th crash with suspects whose answers had begun.
func crash(n, ms int, suspects ...[]string) Crash {
	c := Crash{Service: "llm", Endpoint: "i-" + strconv.Itoa(n), StartUnixMs: int64(n), At: at(ms)}
	for _, parts := range suspects {
		c.Suspects = append(c.Suspects, NewSuspect(parts, true))
	}
	return c
}

// decideAfter returns the state and the decisions after the crashes, each decided on when it has settled.
func decideAfter(s State, crashes ...Crash) (State, []Quarantine) {
	var all []Quarantine
	for _, c := range crashes {
		s, _, _ = s.WithCrash(c)
		var decided []Quarantine
		s, decided = s.WithDecisions(c.At.Add(SettleDelay))
		all = append(all, decided...)
	}
	return s, all
}

func answered(s State, part string, when time.Time) State {
	s, _ = s.WithAnswer(PartKey{"llm", part}, when)
	return s
}

// Guards against a part that goes on crashing endpoints while sound requests share the other parts.
func TestPartInEachCrashIsQuarantined(t *testing.T) {
	s, decided := decideAfter(State{},
		crash(1, 0, []string{"all", "doc", "dead", "a"}, []string{"all", "x", "b"}),
		crash(2, 700, []string{"all", "doc", "dead", "c"}))
	require.Empty(t, decided)
	s = answered(s, "all", at(900))
	s, decided = decideAfter(s, crash(3, 1400, []string{"all", "doc", "dead", "d"}))
	require.Len(t, decided, 1)
	require.Equal(t, []string{"dead", "doc"}, decided[0].Parts, "the evidence does not tell the two parts apart")
	_, found := s.Match("llm", []string{"all", "doc", "e"}, at(2000))
	require.False(t, found, "a sound request with one of the parts")

	s = answered(s, "doc", at(2100))
	for _, parts := range [][]string{{"all", "doc", "dead", "f"}, {"other", "dead", "g"}} {
		_, found = s.Match("llm", parts, at(2200))
		require.True(t, found)
	}
	_, found = s.Match("app", []string{"all", "dead", "h"}, at(2200))
	require.False(t, found, "another service")
}

// Guards against a verdict on the first request that crashed endpoints only, while others with the same part follow.
func TestRepeatsOfOneRequestDoNotHideThePart(t *testing.T) {
	first := []string{"all", "doc", "dead", "a"}
	s := answered(State{}, "all", at(-100))
	s, decided := decideAfter(s, crash(1, 0, first), crash(2, 200, first), crash(3, 600, first))
	require.Len(t, decided, 1)
	s = answered(s, "all", at(1000))
	s, _ = decideAfter(s, crash(4, 1500, []string{"all", "dead", "b"}))
	q, found := s.Match("llm", []string{"new", "dead", "d"}, at(2000))
	require.True(t, found, "the first crash under another request suffices")
	require.Equal(t, []string{"dead"}, q.Parts)
	require.Len(t, s.Quarantines(), 1)
}

// Guards against a part that stays hidden because repeats of one request fit the crashes better, beside other requests with the part.
func TestRepeatsBesideOtherRequestsDoNotHideThePart(t *testing.T) {
	request := func(own string) []string { return []string{"all", "doc", "dead", own} }
	for _, repeats := range []int{2, 3} {
		s := answered(State{}, "all", at(-100))
		crashes := []Crash{
			crash(1, 0, request("a")), crash(2, 120, request("a")),
			crash(3, 470, request("a"), request("b")), crash(4, 580, request("c")),
		}
		if repeats < 3 {
			crashes[2] = crash(3, 470, request("d"), request("b"))
		}
		for _, c := range crashes {
			s, _, _ = s.WithCrash(c)
		}
		s = answered(s, "all", at(700))
		s, _ = s.WithDecisions(at(900))
		_, found := s.Match("llm", request("e"), at(1000))
		require.True(t, found, "%d crashes of one request, %v", repeats, s.Quarantines())
	}
}

// Guards against a crash whose cause is left out, since more requests were in progress than are kept.
func TestMostSuspiciousRequestIsKept(t *testing.T) {
	c, culprit := crash(1, 0), NewSuspect([]string{"zz", "dead", "r"}, true)
	for i := range 3 * maxSuspects {
		c.Suspects = append(c.Suspects, NewSuspect([]string{"all", strconv.Itoa(i)}, true).WithFirstEvent())
	}
	s, _, _ := State{}.WithCrash(c)
	c.Suspects = []Suspect{culprit}
	s, _, _ = s.WithCrash(c)
	require.Len(t, s.Crashes()[0].Suspects, maxSuspects)
	require.Equal(t, culprit, s.Crashes()[0].Suspects[0])
}

// Guards against a part that is requested every few minutes and crashes an endpoint each time, for ever.
func TestRarePartIsQuarantined(t *testing.T) {
	s := State{}
	for n := range 5 {
		now := at(n * int(10*time.Minute/time.Millisecond))
		s = s.WithoutExpired(now)
		if _, found := s.Match("llm", []string{"all", "dead", "new"}, now); found {
			return
		}
		c := crash(n, 0, []string{"all", "dead", "r" + strconv.Itoa(n)})
		c.At = now
		s, _ = decideAfter(s, c)
		s = answered(s, "all", now.Add(time.Second))
	}
	require.Fail(t, "five endpoints crashed")
}

// Guards against the quarantine of a part that every prompt shares when a rack of endpoints fails, again and again.
func TestFailuresOfManyEndpointsDoNotQuarantineSharedParts(t *testing.T) {
	s := answered(State{}, "all", at(-500))
	n := 0
	for _, ms := range []int{0, 900, 1800, 2700} {
		for range 8 {
			n++
			var decided []Quarantine
			s, decided = decideAfter(s, crash(n, ms+n%3, []string{"all", "x" + strconv.Itoa(n), "l" + strconv.Itoa(n)}))
			require.Empty(t, decided)
		}
	}
}

// Guards against ordinary crashes that quarantine sound prompts: each request is answered unless its endpoint crashes
// before, and is repeated twice at most.
func TestOrdinaryCrashesQuarantineNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{}
		documents := rapid.IntRange(2, 40).Draw(t, "documents")
		ms := 0
		for n := range rapid.IntRange(1, 60).Draw(t, "crashes") {
			ms += rapid.IntRange(0, 3000).Draw(t, "pause")
			c := crash(n, ms)
			for i := range rapid.IntRange(1, 3).Draw(t, "suspects") {
				doc := "doc" + strconv.Itoa(rapid.IntRange(0, documents-1).Draw(t, "document"))
				c.Suspects = append(c.Suspects, NewSuspect([]string{"all", doc, "r" + strconv.Itoa(10*n+i)}, rapid.Bool().Draw(t, "begun")))
			}
			s, _, _ = s.WithCrash(c)
			// Requests that share the parts are answered elsewhere before the crash settles or some time after it.
			for key := range s.SuspectedParts(c.At) {
				s, _ = s.WithAnswer(key, c.At.Add(100*time.Millisecond))
			}
			var decided []Quarantine
			s, decided = s.WithDecisions(c.At.Add(SettleDelay))
			require.Empty(t, decided)
		}
	})
}

// Guards against an endpoint service without event streams, whose answers never begin before the crash, that is not protected.
func TestCrashesBeforeAnyAnswerCountHalf(t *testing.T) {
	s, n := State{}, 0
	for ; len(s.Quarantines()) == 0 && n < 20; n++ {
		c := crash(n, 500*n, []string{"dead", "a" + strconv.Itoa(n)}, []string{"x" + strconv.Itoa(n), "b" + strconv.Itoa(n)})
		for i := range c.Suspects {
			c.Suspects[i].HasBegun = false
		}
		s, _ = decideAfter(s, c)
	}
	require.Equal(t, 6, n)
	require.Equal(t, []string{"dead"}, s.Quarantines()[0].Parts)
}

// Guards against a quarantine for ever of a part that the endpoints have learnt to answer, and against a flood of crashes
// when a quarantine ends too early.
func TestQuarantineEndsAndOneCrashRenewsIt(t *testing.T) {
	s, _ := decideAfter(State{}, crash(1, 0, []string{"dead", "a"}), crash(2, 500, []string{"dead", "b"}), crash(3, 900, []string{"dead", "c"}))
	q := s.Quarantines()[0]
	end := q.Until
	_, found := s.Match("llm", []string{"dead", "d"}, end)
	require.False(t, found)
	other := crash(5, 0, []string{"sound", "e"})
	other.At = end.Add(time.Second)
	_, decided := decideAfter(s, other)
	require.Empty(t, decided, "the crashes before the end count no more")
	c := crash(4, 0, []string{"dead", "d"})
	c.At = end.Add(time.Second)
	var renewed State
	renewed, decided = decideAfter(s, c)
	require.Len(t, decided, 1)
	require.Greater(t, decided[0].Until.Sub(c.At), minQuarantine)
	_, found = renewed.Match("llm", []string{"dead", "e"}, c.At.Add(time.Second))
	require.True(t, found)

	require.Empty(t, answered(s, "dead", end.Add(time.Second)).Quarantines(), "a request with the part was answered")
	require.Empty(t, s.WithoutExpired(end.Add(2*probation)).Quarantines())
}

// Guards against VMs that keep different evidence, since messages about the same crashes arrive in another order, and
// against evidence without bound.
func TestEvidenceConvergesAndStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(t, "facts")
		facts := make([]Crash, n)
		for i := range facts {
			id := rapid.IntRange(0, 80).Draw(t, "crash")
			facts[i] = crash(id, 10*id, []string{"p" + strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "part")), "r" + strconv.Itoa(i)})
			facts[i].Suspects[0].HasBegun = rapid.Bool().Draw(t, "begun")
			facts[i].Suspects[0].HasEvent = rapid.Bool().Draw(t, "event")
		}
		var a, b State
		for i := range facts {
			a, _, _ = a.WithCrash(facts[i])
			b, _, _ = b.WithCrash(facts[n-1-i])
		}
		require.LessOrEqual(t, len(a.Crashes()), maxCrashes)
		for _, c := range a.Crashes() {
			require.LessOrEqual(t, len(c.Suspects), maxSuspects)
		}
		for _, c := range b.Crashes() { // One exchange of all facts makes the states equal.
			a, _, _ = a.WithCrash(c)
		}
		for _, c := range a.Crashes() {
			b, _, _ = b.WithCrash(c)
		}
		require.Equal(t, a.Digest(), b.Digest())
		require.True(t, slices.EqualFunc(a.Crashes(), b.Crashes(), Crash.isSame))
	})
}
