package afnode

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afnotice"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afquarantine"
	"arbutusfork.example/arbutusfork/pkg/afstart"
)

// Guards against a VM that never uses a living endpoint whose entry was doubtful when the holder relayed it, since the holder
// relays it once.
func TestDoubtfulRelayedEndpointIsUsedLater(t *testing.T) {
	n, _ := newOddNode(t)
	now := time.Unix(1000, 0)
	n.timer.AdvanceTo(now)
	n.newEndpointFeed()
	e := afengine.EndpointEntry{ID: "i-1", Service: "app", Address: "x", StartUnixMs: 5}
	n.roster.PutEntry(e)
	n.roster.RemoveEntry(e.ID, false)
	n.handleEraChange(afobject.EraChange{Previous: 1, Current: 2})
	n.applyRelayedEndpoints([]afengine.EndpointEntry{e}, nil, false)
	require.Empty(t, n.roster.UsableEndpoints("app"))
	n.recheckDoubtful()
	require.NotEmpty(t, n.doubtful.entries, "nothing remembers that the entry was left out")
	n.timer.AdvanceTo(now.Add(time.Minute))
	n.recheckDoubtful()
	require.Empty(t, n.doubtful.entries, "the endpoints are listed again")
}

// Guards against an endpoint in use that is removed at once, or used as an earlier process, because a list, a change or a relay shows
// its earlier start; and against one that is never used again if only the earlier start remains.
func TestEntryOfEarlierStartIsLeftOut(t *testing.T) {
	n, _ := newOddNode(t)
	now := time.Unix(1000, 0)
	n.timer.AdvanceTo(now)
	n.Platform.DecodeEndpointEntry = func(id string, spec []byte) (afengine.EndpointEntry, error) {
		start, err := strconv.ParseInt(string(spec), 10, 64)
		return afengine.EndpointEntry{ID: id, Service: "app", Address: "x", StartUnixMs: start}, err
	}
	f := n.newEndpointFeed()
	starts := func() (out []int64) {
		for _, e := range n.roster.UsableEndpoints("app") {
			out = append(out, e.StartUnixMs)
		}
		return out
	}
	advance := func(d time.Duration) {
		now = now.Add(d)
		n.timer.AdvanceTo(now)
		n.removeExpiredEndpoints()
	}
	f.OnList([]afobject.Object{object("i-1", 1, "7")}, affeed.Gap{})
	f.OnChange(afobject.Event{Type: afobject.Modified, Object: object("i-1", 2, "8")})
	for name, show := range map[string]func(){
		"list":   func() { f.OnList([]afobject.Object{object("i-1", 3, "7")}, affeed.Gap{}) },
		"change": func() { f.OnChange(afobject.Event{Type: afobject.Modified, Object: object("i-1", 3, "7")}) },
		"relay": func() {
			n.applyRelayedEndpoints([]afengine.EndpointEntry{{ID: "i-1", Service: "app", Address: "x", StartUnixMs: 7}}, nil, true)
		},
	} {
		show()
		require.Equal(t, []int64{8}, starts(), name)
		f.OnChange(afobject.Event{Type: afobject.Modified, Object: object("i-1", 4, "8")})
		advance(2 * time.Second)
		require.Equal(t, []int64{8}, starts(), name)
		require.Empty(t, n.doubtful.entries, name)
	}
	f.OnList([]afobject.Object{object("i-1", 3, "7")}, affeed.Gap{Outage: time.Second, WentBack: true})
	advance(2 * time.Second)
	require.Empty(t, starts(), "the entry of the latest start is missing for too long")
	advance(afstart.ContestTime)
	require.Empty(t, n.doubtful.entries, "the endpoints are listed again")
	f.OnList([]afobject.Object{object("i-1", 3, "7")}, affeed.Gap{})
	require.Equal(t, []int64{7}, starts())
}

// Guards against a VM that uses an endpoint by an old copy of its entry although it has heard of a later start from another VM, and
// against a contest that nobody ends.
func TestLaterStartIsLearntFromOtherVMs(t *testing.T) {
	later := afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 9}
	for name, hear := range map[string]func(n *Node){
		"notice": func(n *Node) { n.facts.Record(later, afnotice.Statement{Pause: time.Second}) },
		"limit":  func(n *Node) { n.slots.RecordAnswer(later, 5) },
		"crash":  func(n *Node) { n.crashes.RecordCrash(afquarantine.Crash{Endpoint: "i-1", StartUnixMs: 9}) },
	} {
		n, _ := newOddNode(t)
		n.timer.AdvanceTo(time.Unix(1000, 0))
		n.newEndpointFeed()
		n.roster.PutEntry(afengine.EndpointEntry{ID: "i-1", Service: "app", StartUnixMs: 8})
		hear(n)
		require.Empty(t, n.roster.UsableEndpoints("app"), name)
		require.NotEmpty(t, n.doubtful.entries, name)
		n.timer.AdvanceTo(time.Unix(1000, 0).Add(afstart.ContestTime))
		n.recheckDoubtful()
		n.applyRelayedEndpoints([]afengine.EndpointEntry{{ID: "i-1", Service: "app", StartUnixMs: 8}}, nil, true)
		require.NotEmpty(t, n.roster.UsableEndpoints("app"), name)
	}
}

// Guards against an endpoint that is used again although it said that it leaves, since the notice is forgotten, an hour after it was
// heard, at the first moment at which the endpoint is not listed.
func TestOldNoticeOutlivesMomentWithoutEntry(t *testing.T) {
	n, _ := newOddNode(t)
	now := time.Unix(1000, 0)
	n.timer.AdvanceTo(now)
	e := afengine.EndpointEntry{ID: "i-1", Service: "app", Address: "x", StartUnixMs: 5}
	n.roster.PutEntry(e)
	n.facts.Record(e.Start(), afnotice.Statement{IsLeaving: true})
	now = now.Add(2 * time.Hour)
	n.timer.AdvanceTo(now)
	n.roster.RemoveEntry(e.ID, true)
	n.timer.AdvanceTo(now.Add(2 * time.Second))
	n.removeExpiredEndpoints()
	require.True(t, n.facts.View().WithoutEnded(n.timer.Now(), n.facts.IsListed).IsLeaving(e.Start()))
}
