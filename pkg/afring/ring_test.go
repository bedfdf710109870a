package afring

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFullQueueRefusesItems guards against a full queue that blocks TryPush, accepts more items than its size or does not
// count the refused items.
func TestFullQueueRefusesItems(t *testing.T) {
	q := New[int](2)
	require.True(t, q.TryPush(1))
	require.True(t, q.TryPush(2))
	require.False(t, q.TryPush(3))
	require.EqualValues(t, 1, q.RefusedCount())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, q.PushWithContext(ctx, 3))
	require.Equal(t, 2, q.Len())
}

func ExampleQueue_Consume() {
	q := New[string](4)
	q.TryPush("first")
	q.TryPush("second")
	ctx, cancel := context.WithCancel(context.Background())
	q.Consume(ctx, func(item string) {
		fmt.Println(item)
		if item == "second" {
			cancel()
		}
	})
	// Output:
	// first
	// second
}
