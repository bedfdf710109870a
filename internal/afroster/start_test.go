package afroster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afstart"
)

// newStartRoster returns a roster that knows an endpoint i-1, which has started again, and the clock and the IDs of its doubtful
// entries.
func newStartRoster() (r *Roster, first, second afengine.EndpointEntry, now *time.Time, doubtful *[]string) {
	now, doubtful = new(time.Time), new([]string)
	*now = time.Unix(1000, 0)
	r = &Roster{Now: func() time.Time { return *now }, OnDoubtful: func(e afengine.EndpointEntry) { *doubtful = append(*doubtful, e.ID) }}
	first = afengine.EndpointEntry{ID: "i-1", Service: "app", StartUnixMs: 7}
	second = first
	second.StartUnixMs = 8
	r.PutEntry(first)
	r.PutEntry(second)
	return r, first, second, now, doubtful
}

// Guards against an entry of an earlier start that makes a draining endpoint usable, or undoes that it drains.
func TestEarlierStartChangesNothing(t *testing.T) {
	r, first, second, now, _ := newStartRoster()
	r.Notices.IsLeaving = func(e afengine.EndpointStart) bool { return e == second.Start() }
	require.Empty(t, r.UsableEndpoints("app"), "the latest start said that it leaves")
	draining := second
	draining.State = afengine.StateDraining
	r.PutEntry(draining)
	r.Notices = Notices{}
	r.RecordStoreWentBack()
	require.False(t, r.PutEntry(first))
	require.Empty(t, r.ApplyRelayedEntries([]afengine.EndpointEntry{first}, nil, true))
	require.Empty(t, r.UsableEndpoints("app"))
	require.Equal(t, afengine.StateDraining, r.EffectiveEntry(second).State)
	*now = now.Add(lapsedEntryTimeout + 1)
	r.RemoveLapsedEntries()
	require.False(t, r.PutEntry(first), "the latest start is known although its entry is gone")
	r.PutEntry(second)
	require.Empty(t, r.UsableEndpoints("app"))
	require.True(t, r.IsOutdated(first))

	r.PutEntry(first)
	require.False(t, r.IsOutdated(first))
	*now = now.Add(afstart.ContestTime)
	require.True(t, r.PutEntry(first), "nothing was heard of the latest start for long")
	require.Len(t, r.UsableEndpoints("app"), 1)
}

// Guards against requests to an endpoint by the entry of an earlier start, after its report or another VM told of a later one.
func TestEndpointIsUnusedOnceLaterStartIsKnown(t *testing.T) {
	r, _, second, now, doubtful := newStartRoster()
	r.RecordHearsay(afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 9})
	require.Equal(t, []string{"i-1"}, *doubtful)
	require.Empty(t, r.UsableEndpoints("app"))
	require.True(t, r.IsDoubtful(second))
	*now = now.Add(time.Second)
	r.RecordWord(second.Start(), *now)
	require.Len(t, r.UsableEndpoints("app"), 1, "the endpoint itself says that it did not start again")
}

// Guards against a notice that is forgotten, an hour after it was heard, at the first moment at which the endpoint is not listed.
func TestEndpointWasListedLately(t *testing.T) {
	r, first, second, now, _ := newStartRoster()
	require.False(t, r.WasListedLately(first.Start()))
	require.True(t, r.WasListedLately(second.Start()))
	r.RemoveEntry("i-1", false)
	*now = now.Add(noticeTimeout - 1)
	r.PutEntry(first)
	require.True(t, r.WasListedLately(second.Start()))
	*now = now.Add(1)
	require.False(t, r.WasListedLately(second.Start()))
}

// Guards against memory that grows with each endpoint that has ever been listed, and against a listed endpoint that is forgotten.
func TestStartsAreBounded(t *testing.T) {
	r, first, _, _, _ := newStartRoster()
	for i := range maxStarts + 10 {
		r.RecordHearsay(afengine.EndpointStart{Endpoint: time.Duration(i).String(), StartUnixMs: 1})
	}
	require.Len(t, r.starts, maxStarts)
	require.True(t, r.IsOutdated(first))
}

// Guards against requests for models that an engine no longer holds, after the platform's store came back from an older copy.
func TestOldCopyOfEntryKeepsModels(t *testing.T) {
	r, _, second, now, _ := newStartRoster()
	old := second
	old.Models, old.AcceptedOrders = []afengine.LoadedModel{{Model: "m1"}}, 3
	newer := second
	newer.Models, newer.ModelsOnDisk, newer.AcceptedOrders = []afengine.LoadedModel{{Model: "m2"}}, []string{"m1"}, 5
	r.PutEntry(old)
	r.PutEntry(newer)
	r.RecordStoreWentBack()
	r.PutEntry(old)
	require.Equal(t, newer, r.UsableEndpoints("app")[0].EndpointEntry)
	*now = now.Add(departureDoubtTime)
	r.PutEntry(old)
	require.Equal(t, old, r.UsableEndpoints("app")[0].EndpointEntry, "a wrong count of orders does not stay")
}
