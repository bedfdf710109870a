package affeed

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// Guards against a copy that shows states which are over while it catches up: an endpoint that is gone was used for a moment.
func TestOnlyLastChangeOfAnAnswerCounts(t *testing.T) {
	change := func(kind afobject.EventType, name string, version int64) afobject.Event {
		return afobject.Event{Type: kind, Object: afobject.Object{Name: name, Version: version}}
	}
	ctx, cancel := context.WithCancel(t.Context())
	answer := []afobject.Event{
		change(afobject.Modified, "a", 4), change(afobject.Modified, "b", 5), change(afobject.Modified, "a", 6), change(afobject.Deleted, "a", 7), change(afobject.Modified, "c", 8),
	}
	var changes, outdated []afobject.Event
	f := &Feed{
		Kind: "servers", Timer: &aftimer.Service{}, Coordinator: &RetryCoordinator{}, PollTimeout: func() time.Duration { return time.Second },
		PollDelay: func() time.Duration { return 0 },
		PollChanges: func(_ context.Context, _ string, _ int64, _ func() time.Duration, fn func(afobject.Event)) error {
			for _, e := range answer {
				fn(e)
				require.Empty(t, changes, "a change counts before the answer is complete")
			}
			cancel()
			fn(afobject.Event{Type: afobject.Bookmark, Object: afobject.Object{Version: 8}})
			return ctx.Err()
		},
		OnChange:         func(e afobject.Event) { changes = append(changes, e) },
		OnOutdatedChange: func(e afobject.Event) { outdated = append(outdated, e) },
	}
	f.objectBytes = map[string]int{}
	f.followChanges(ctx)
	require.Equal(t, []afobject.Event{answer[1], answer[3], answer[4]}, changes)
	require.Equal(t, []afobject.Event{answer[0], answer[2]}, outdated)
	require.EqualValues(t, 8, f.version)
}
