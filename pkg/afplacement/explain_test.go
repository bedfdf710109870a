package afplacement

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplanationFieldNames guards against a renamed field that changes the names that operators get from the explain API,
// which encodes replicas and candidates as JSON.
func TestExplanationFieldNames(t *testing.T) {
	for want, value := range map[string]any{
		`{"Model":"","Endpoint":"","Address":"","Centre":"","Slots":0,"Running":0,"Credits":null}`: Replica{},
		`{"Endpoint":"","Tier":0,"Bare":0,"Ready":0,"Free":0,"Evict":null,"Wait":false}`:           Candidate{},
	} {
		got, err := json.Marshal(value)
		require.NoError(t, err)
		require.JSONEq(t, want, string(got))
	}
}
