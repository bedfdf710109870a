package afmemory

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endless is a reader that never ends.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against holders that together reserve more than the limit, and against reserved bytes that are not returned.
func TestBudgetBoundsAllHolders(t *testing.T) {
	b := &Budget{Limit: 1 << 20}
	holders := make([]*Holder, 100)
	for i := range holders {
		holders[i] = b.Hold()
		body, isWhole, err := holders[i].ReadBody(endless{}, -1, 1<<30)
		require.NoError(t, err)
		require.False(t, isWhole)
		require.NotEmpty(t, body)
		require.LessOrEqual(t, b.ReservedBytes(), b.Limit)
	}
	for _, h := range holders {
		h.Release()
	}
	require.Zero(t, b.ReservedBytes())
}

// Guards against a body that is reported as whole although it is longer than its bound, or the other way round.
func TestReadBody(t *testing.T) {
	b := &Budget{}
	for _, size := range []int{0, 1, FreeBytes - 1, FreeBytes, FreeBytes + 1, 60_000} {
		for _, length := range []int64{-1, int64(size)} {
			body, isWhole, err := b.Hold().ReadBody(strings.NewReader(strings.Repeat("x", size)), length, 64<<10)
			require.NoError(t, err)
			require.True(t, isWhole, size)
			require.Len(t, body, size)
		}
	}
	_, isWhole, err := b.Hold().ReadBody(strings.NewReader(strings.Repeat("x", 300_000)), 300_000, 64<<10)
	require.NoError(t, err)
	require.False(t, isWhole)
	_, _, err = b.Hold().ReadBody(io.MultiReader(strings.NewReader("x"), failing{}), -1, 64<<10)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// failing is a reader of a body that broke off.
type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
