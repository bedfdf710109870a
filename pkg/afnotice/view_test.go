package afnotice

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

var begin = time.Unix(1000, 0)

func leavingAt(at time.Time) Notice { return Notice{HeardBy: "vm1", HeardAt: at} }

// Guards against a leaving endpoint that gets requests again although it is the same one, and against one that has restarted and
// gets none.
func TestLeavingEndsWithTheEndpointOnly(t *testing.T) {
	e := afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 1}
	isListed := true
	listed := func(afengine.EndpointStart) bool { return isListed }
	v, news := View{}.WithNotices(Statement{IsLeaving: true}.Notices(e, "vm1", begin), begin, listed)
	require.Len(t, news, 1)
	_, news = v.WithNotices(Statement{IsLeaving: true}.Notices(e, "vm2", begin.Add(time.Second)), begin.Add(time.Second), listed)
	require.Empty(t, news, "the same thing is not news")
	require.False(t, v.IsLeaving(afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 2}))
	require.False(t, v.IsLeaving(afengine.EndpointStart{Endpoint: "i-2", StartUnixMs: 1}))
	require.True(t, v.WithoutEnded(begin.Add(1000*time.Hour), listed).IsLeaving(e), "it does not end by time")
	isListed = false
	require.True(t, v.WithoutEnded(begin.Add(unlistedTimeout-1), listed).IsLeaving(e), "an entry may come back")
	require.Empty(t, v.WithoutEnded(begin.Add(unlistedTimeout), listed).Notices())
	again, _ := View{}.WithNotices(v.Notices(), begin.Add(unlistedTimeout), listed)
	require.Empty(t, again.Notices(), "VMs give each other what they have dropped")
}

// Guards against VMs that know different things after they have heard the same things in another order, against changes of a
// shared view, and against notices without a bound.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heard := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) map[Key]Notice {
			k := Key{afengine.EndpointStart{Endpoint: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "endpoint")), StartUnixMs: rapid.Int64Range(0, 2).Draw(t, "born")}, Kind(rapid.IntRange(-1, kinds).Draw(t, "kind"))}
			return map[Key]Notice{k: leavingAt(begin.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond))}
		}), 0, 20).Draw(t, "heard")
		now := begin.Add(6 * time.Second)
		var forwards, backwards View
		for i := range heard {
			before, digest := len(forwards.Notices()), forwards.Digest()
			changed, _ := forwards.WithNotices(heard[i], now, nil)
			require.Len(t, forwards.Notices(), before)
			require.Equal(t, digest, forwards.Digest())
			forwards = changed
			backwards, _ = backwards.WithNotices(heard[len(heard)-1-i], now, nil)
		}
		require.Equal(t, forwards.Digest(), backwards.Digest())
		require.Equal(t, len(forwards.Notices()) == 0, forwards.Digest() == 0)
		require.Equal(t, forwards.counts, backwards.counts)
	})
	v := View{}
	for i := range maxNotices + 10 {
		k := Key{afengine.EndpointStart{Endpoint: fmt.Sprint(i)}, Leaving}
		v, _ = v.WithNotices(map[Key]Notice{k: leavingAt(begin.Add(time.Duration(i)))}, begin, nil)
	}
	require.Len(t, v.Notices(), maxNotices)
	_, news := v.WithNotices(map[Key]Notice{{afengine.EndpointStart{Endpoint: "0"}, Leaving}: leavingAt(begin)}, begin, nil)
	require.Empty(t, news, "VMs that pass on what they do not keep do so for ever")
}
