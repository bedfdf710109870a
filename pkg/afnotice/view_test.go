package afnotice

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

var (
	begin = time.Unix(1000, 0)
	first = afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 1}
)

// Guards against a leaving endpoint that gets requests again although it is the same one, and against one that has restarted and
// gets none.
func TestLeavingEndsWithTheEndpointOnly(t *testing.T) {
	isListed := true
	listed := func(afengine.EndpointStart) bool { return isListed }
	v, news := View{}.WithStatement(first, Statement{IsLeaving: true}, "vm1", begin)
	require.Len(t, news, 1)
	_, news = v.WithStatement(first, Statement{IsLeaving: true}, "vm2", begin.Add(time.Second))
	require.Empty(t, news, "the same thing is not news")
	require.False(t, v.IsLeaving(afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 2}))
	require.False(t, v.IsLeaving(afengine.EndpointStart{Endpoint: "i-2", StartUnixMs: 1}))
	require.True(t, v.WithoutEnded(begin.Add(1000*time.Hour), listed).IsLeaving(first), "it does not end by time")
	isListed = false
	require.True(t, v.WithoutEnded(begin.Add(unlistedTimeout-1), listed).IsLeaving(first), "an entry may come back")
	require.Empty(t, v.WithoutEnded(begin.Add(unlistedTimeout), listed).Notices())
	again, _ := View{}.WithNotices(v.Notices(), begin.Add(unlistedTimeout), listed)
	require.Empty(t, again.Notices(), "VMs give each other what they have dropped")
}

// Guards against pauses that end early for the VM that heard them, that a shorter one cuts, or that exceed the bound.
func TestPauses(t *testing.T) {
	for name, c := range map[string]struct {
		pauses []time.Duration // One answer each 10 ms.
		ends   time.Duration
		news   int
	}{
		"one":              {[]time.Duration{2 * time.Second}, 2 * time.Second, 1},
		"none":             {[]time.Duration{0}, 0, 0},
		"above the bound":  {[]time.Duration{2 * time.Hour}, MaxPause, 1},
		"shorter later":    {[]time.Duration{2 * time.Second, time.Second}, 2 * time.Second, 1},
		"a little longer":  {[]time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second}, 2*time.Second + 20*time.Millisecond, 1},
		"much longer":      {[]time.Duration{time.Second, 2 * time.Second}, 2*time.Second + 10*time.Millisecond, 2},
		"too short to say": {[]time.Duration{50 * time.Millisecond}, 50 * time.Millisecond, 0},
	} {
		v, now, news := View{}, begin, 0
		for i, pause := range c.pauses {
			now = begin.Add(time.Duration(i) * 10 * time.Millisecond)
			var told map[Key]Notice
			v, told = v.WithStatement(first, Statement{Pause: pause}, "vm1", now)
			news += len(told)
		}
		until, isPaused := v.PausedUntil(first, now)
		require.Equal(t, c.ends > 0, isPaused, name)
		if isPaused {
			require.Equal(t, c.ends, until.Sub(begin), name)
			_, isPaused = v.PausedUntil(first, until)
			require.False(t, isPaused, name)
		}
		require.Equal(t, c.news, news, name)
	}
	one, _ := View{}.WithStatement(first, Statement{Pause: 5 * time.Second}, "vm1", begin)
	two, _ := one.WithStatement(first, Statement{Pause: 7 * time.Second}, "vm2", begin)
	later := begin.Add(time.Second)
	require.Equal(t, one.Digest(later), two.Digest(later), "VMs exchange pauses although they know the same endpoints to be in one")
}

// Guards against pauses that VMs prolong without end because each takes what another passes on late for a longer pause.
func TestPausesPassedOnLateEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.IntRange(1, 3000).Draw(t, "delay ms")) * time.Millisecond
		var views [3]View
		now := begin
		for i := range views {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			views[i], _ = views[i].WithStatement(first, Statement{Pause: 10 * time.Second}, fmt.Sprint("vm", i), now)
		}
		end := now.Add(10*time.Second + time.Duration(len(views)*len(views))*delay)
		for now.Before(end) {
			now = now.Add(delay)
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			late := map[Key]Notice{}
			for k, n := range views[from].InBuckets(1<<Buckets-1, now.Add(-delay)) {
				n.Until = n.Until.Add(delay)
				late[k] = n
			}
			views[to], _ = views[to].WithNotices(late, now, nil)
		}
		for _, v := range views {
			_, isPaused := v.PausedUntil(first, end)
			require.False(t, isPaused)
		}
	})
}

// Guards against a pause that ends early on some VMs because a VM restarted and then heard a shorter one.
func TestPauseHeardBeforeRestartIsKept(t *testing.T) {
	e := afengine.EndpointStart{Endpoint: "e"}
	now := begin.Add(101 * time.Millisecond)
	_, long := View{}.WithStatement(e, Statement{Pause: 7 * time.Second}, "a", begin)
	_, short := View{}.WithStatement(e, Statement{Pause: 6 * time.Second}, "a", now)
	for _, received := range [][]map[Key]Notice{{long, short}, {short, long}} {
		var v View
		for _, r := range received {
			v, _ = v.WithNotices(r, now, nil)
		}
		until, _ := v.PausedUntil(e, now)
		require.Equal(t, begin.Add(7*time.Second), until)
	}
}

// Guards against VMs that know different things after they have heard the same things in another order, against changes of a
// shared view, and against notices without a bound.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heard := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) map[Key]Notice {
			at := begin.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			n := Notice{HeardBy: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "vm")), HeardAt: at}
			k := Key{EndpointStart: afengine.EndpointStart{
				Endpoint: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "endpoint")), StartUnixMs: rapid.Int64Range(0, 2).Draw(t, "born"),
			}, Kind: Kind(rapid.IntRange(-1, kinds).Draw(t, "kind"))}
			if k.Kind == Pause {
				n.Until = at.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "pause")) * time.Second)
				k.HeardBy, n.Number = n.HeardBy, n.Until.UnixMilli() // As WithStatement numbers it on a VM that knows nothing.
			}
			return map[Key]Notice{k: n}
		}), 0, 20).Draw(t, "heard")
		now := begin.Add(6 * time.Second)
		var forwards, backwards View
		for i := range heard {
			before, digest := len(forwards.Notices()), forwards.Digest(now)
			changed, _ := forwards.WithNotices(heard[i], now, nil)
			require.Len(t, forwards.Notices(), before)
			require.Equal(t, digest, forwards.Digest(now))
			forwards = changed
			backwards, _ = backwards.WithNotices(heard[len(heard)-1-i], now, nil)
		}
		require.Equal(t, forwards.leavingCount, backwards.leavingCount)
		for e, until := range forwards.pausedUntil {
			require.WithinDuration(t, until, backwards.pausedUntil[e], minExtension)
		}
		// A VM that gets what is in the differing buckets knows the same.
		differing := forwards.Digest(now).DifferingBuckets(Digest{})
		received, _ := View{}.WithNotices(forwards.InBuckets(differing, now), now, nil)
		require.Zero(t, received.Digest(now).DifferingBuckets(forwards.Digest(now)))
	})
	v := View{}
	for i := range maxNotices + 10 {
		kind := Kind(i % kinds)
		k := Key{EndpointStart: afengine.EndpointStart{Endpoint: fmt.Sprint(i)}, Kind: kind}
		v, _ = v.WithNotices(map[Key]Notice{k: {HeardAt: begin.Add(time.Duration(i)), Until: begin.Add(time.Second), Number: 1}}, begin, nil)
	}
	require.Len(t, v.Notices(), maxNotices)
	require.Equal(t, (maxNotices+10)/kinds, v.LeavingCount())
	_, news := v.WithNotices(map[Key]Notice{{EndpointStart: afengine.EndpointStart{Endpoint: "1"}, Kind: Pause}: {HeardAt: begin, Until: begin.Add(time.Second), Number: 1}}, begin, nil)
	require.Empty(t, news, "VMs that pass on what they do not keep do so for ever")
}
