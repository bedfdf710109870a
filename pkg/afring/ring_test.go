package afring

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFull guards against a full queue that blocks its producers or loses the count of refused items.
func TestFull(t *testing.T) {
	r := New[int](2)
	require.True(t, r.TryPush(1))
	require.True(t, r.TryPush(2))
	require.False(t, r.TryPush(3))
	require.EqualValues(t, 1, r.RefusedCount())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, r.PushWithContext(ctx, 3))
	require.Equal(t, 2, r.Len())
}

func ExampleQueue_Consume() {
	r := New[string](4)
	r.TryPush("first")
	r.TryPush("second")
	ctx, cancel := context.WithCancel(context.Background())
	r.Consume(ctx, func(item string) {
		fmt.Println(item)
		if item == "second" {
			cancel()
		}
	})
	// Output:
	// first
	// second
}
