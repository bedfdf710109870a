package afring

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFull guards against a full ring that blocks its producers or loses the count of refused items.
func TestFull(t *testing.T) {
	r := New[int](2)
	require.True(t, r.Push(1))
	require.True(t, r.Push(2))
	require.False(t, r.Push(3))
	require.EqualValues(t, 1, r.Refused())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, r.Wait(ctx, 3))
	require.Equal(t, 2, r.Len())
}

func ExampleRing_Drain() {
	r := New[string](4)
	r.Push("first")
	r.Push("second")
	ctx, cancel := context.WithCancel(context.Background())
	r.Drain(ctx, func(item string) {
		fmt.Println(item)
		if item == "second" {
			cancel()
		}
	})
	// Output:
	// first
	// second
}
