package arbutusfork

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRefusalStatus guards against a code that has no HTTP status, which would answer callers with status 0.
func TestRefusalStatus(t *testing.T) {
	for code := CodeBadRequest; code <= CodeOutcomeUnknown; code++ {
		require.NotZero(t, NewRefusal(code, "").HTTPStatus(), code.String())
	}
}
