package afnotice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// Guards against a pause of before a lift that takes the place of a shorter one of after it.
func TestShorterPauseAfterLiftIsKept(t *testing.T) {
	a, long := View{}.WithStatement(first, Statement{Pause: time.Hour}, "a", begin)
	a, lift := a.WithLift(first, Pause, "a", begin.Add(time.Second))
	_, short := a.WithStatement(first, Statement{Pause: 10 * time.Second}, "a", begin.Add(2*time.Second))
	for _, order := range [][]map[Key]Notice{{long, lift, short}, {long, short, lift}, {lift, long, short}, {lift, short, long}, {short, long, lift}, {short, lift, long}} {
		var v View
		for _, received := range order {
			v, _ = v.WithNotices(received, begin.Add(3*time.Second), nil)
		}
		until, _ := v.PausedUntil(first, begin.Add(3*time.Second))
		require.Equal(t, begin.Add(12*time.Second), until)
	}
}

// Guards against a lifted notice that an old answer, arriving late from another VM, brings back, against a lift that ends what an
// endpoint says later, and against VMs that differ after they have heard the same things in another order.
func TestLiftCoversWhatWasSaidBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{Leaving, Pause}).Draw(t, "kind")
		said := Statement{IsLeaving: kind == Leaving}
		if kind == Pause {
			said.Pause = time.Minute
		}
		isHeld := func(v View, now time.Time) bool { return len(v.InForce("i-1", kind, now)) == 1 }
		// Two VMs hear the endpoint before, or shortly after, an operator lifts the notice on the first. Messages take time.
		before, after := time.Duration(rapid.IntRange(0, 9000).Draw(t, "before ms"))*time.Millisecond, time.Duration(rapid.IntRange(0, 2000).Draw(t, "after ms"))*time.Millisecond
		saysAgain, delay := rapid.Bool().Draw(t, "says again"), time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay ms"))*time.Millisecond
		lifted, _ := View{}.WithStatement(first, said, "vm1", begin)
		other, old := View{}.WithStatement(first, said, "vm2", begin.Add(before))
		liftedAt := begin.Add(10 * time.Second)
		lifted, news := lifted.WithLift(first, kind, "vm1", liftedAt)
		require.Len(t, news, 1)
		require.False(t, isHeld(lifted, liftedAt))
		now := liftedAt.Add(after)
		if saysAgain {
			other, _ = other.WithStatement(first, said, "vm2", now)
		}
		late := func(notices map[Key]Notice) map[Key]Notice {
			out := make(map[Key]Notice)
			for k, n := range notices {
				n.HeardAt, n.Until, n.SaidAt = n.HeardAt.Add(delay), n.Until.Add(delay), time.Time{}
				out[k] = n
			}
			return out
		}
		now = now.Add(delay)
		third, _ := View{}.WithNotices(old, now, nil)
		lifted, _ = lifted.WithNotices(late(old), now, nil)
		require.False(t, isHeld(lifted, now), "an old answer arrives late")
		other, fromOther := other.WithNotices(late(news), now, nil)
		counts := saysAgain && after > delay
		require.Equal(t, counts, isHeld(other, now))
		if rapid.Bool().Draw(t, "the new answer arrives first") {
			third, _ = third.WithNotices(fromOther, now, nil)
		}
		third, _ = third.WithNotices(late(news), now, nil)
		for range 2 { // VMs compare what they know.
			third, _ = third.WithNotices(other.InBuckets(1<<Buckets-1, now), now, nil)
			lifted, _ = lifted.WithNotices(other.InBuckets(1<<Buckets-1, now), now, nil)
		}
		now = now.Add(time.Second)
		for _, v := range []View{other, lifted, third} {
			require.Equal(t, counts, isHeld(v, now))
			require.Equal(t, other.Digest(now), v.Digest(now))
		}
		lifted, _ = lifted.WithStatement(first, said, "vm1", now)
		require.True(t, isHeld(lifted, now), "what the endpoint says after the lift counts")
		lifted, _ = lifted.WithLift(first, kind, "vm3", now)
		require.False(t, isHeld(lifted, now), "it is lifted again")
	})
}

// Guards against lifts that are kept without end, that VMs give each other again and again, or that end other notices.
func TestLiftsAreBounded(t *testing.T) {
	second := afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 2}
	said := Statement{IsLeaving: true, Pause: time.Minute}
	v, _ := View{}.WithStatement(first, said, "vm1", begin)
	v, _ = v.WithStatement(second, said, "vm1", begin)
	v, _ = v.WithLift(first, Pause, "vm1", begin)
	require.True(t, v.IsLeaving(first))
	require.Len(t, v.InForce("i-1", Pause, begin), 1)
	v, _ = v.WithLift(first, Leaving, "vm1", begin)
	require.True(t, v.IsLeaving(second))
	unlisted := func(afengine.EndpointStart) bool { return false }
	end := begin.Add(pauseLiftTime)
	require.Len(t, v.WithoutEnded(end.Add(-1), nil).Notices(), 3, "both lifts, and that the second start leaves")
	require.Empty(t, v.WithoutEnded(end, unlisted).Notices())
	soon := end.Add(-endedPauseTime)
	for k := range v.InBuckets(1<<Buckets-1, soon) {
		require.NotEqual(t, PauseLift, k.Kind)
	}
	without := v.WithoutEnded(end, nil)
	require.Equal(t, without.Digest(soon), v.Digest(soon))
	many := make(map[Key]Notice)
	for i := range maxNotices + 10 {
		many[Key{EndpointStart: afengine.EndpointStart{Endpoint: "i-2", StartUnixMs: int64(i)}, Kind: LeavingLift}] = Notice{HeardAt: begin, Number: 1}
	}
	v, news := v.WithNotices(many, begin, nil)
	require.Equal(t, maxNotices, len(v.Notices())) //nolint:testifylint // Len would print them.
	require.LessOrEqual(t, len(news), maxNotices)
}
