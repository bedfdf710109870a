package afgateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

// Guards against memory, log lines and messages between VMs that grow with the prompt parts that a caller names.
func TestPartIDsStayBounded(t *testing.T) {
	headers := RequestHeaders{}
	for i := range 1000 {
		headers.PromptParts = append(headers.PromptParts, PromptPart{ID: fmt.Sprint(i, strings.Repeat("x", 1000))})
	}
	ids := partIDs(headers)
	require.Len(t, ids, afquarantine.MaxParts)
	for _, id := range ids {
		require.LessOrEqual(t, len(id), maxPartIDBytes)
	}
	require.NotEqual(t, ids[0], ids[1])
	require.LessOrEqual(t, len(formatSharedParts(headers)), maxLoggedParts*(maxPartIDBytes+1))
	require.Equal(t, []string{"aa"}, partIDs(RequestHeaders{PromptParts: []PromptPart{{ID: "aa"}}}))
}
