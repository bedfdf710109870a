package arbutusfork

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCallersPage guards against a refusal code that the callers' page does not list or lists with another HTTP status.
func TestCallersPage(t *testing.T) {
	b, err := os.ReadFile("docs/callers.md")
	require.NoError(t, err)
	n := 0
	for code := CodeBadRequest; !strings.HasPrefix(code.String(), "RefusalCode("); code++ {
		require.Contains(t, string(b), "| `"+code.String()+"` | "+strconv.Itoa(NewRefusal(code, "").HTTPStatus())+" |")
		n++
	}
	require.Equal(t, len(httpStatusByCode), n)
}
