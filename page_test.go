package arbutusfork

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCallersPage guards against a code that callers are not told about, or with another status.
func TestCallersPage(t *testing.T) {
	b, err := os.ReadFile("docs/callers.md")
	require.NoError(t, err)
	n := 0
	for code := CodeBadRequest; !strings.HasPrefix(code.String(), "RefusalCode("); code++ {
		require.Contains(t, string(b), "| `"+code.String()+"` | "+strconv.Itoa(NewRefusal(code, "").HTTPStatus())+" |")
		n++
	}
	require.Equal(t, len(codeStatus), n)
}
