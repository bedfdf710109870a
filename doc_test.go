package arbutusfork

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRefusalStatus guards against a refusal code without an HTTP status, for which callers would get status 0.
func TestRefusalStatus(t *testing.T) {
	for code := CodeBadRequest; code <= CodePromptQuarantined; code++ {
		require.NotZero(t, NewRefusal(code, "").HTTPStatus(), code.String())
	}
}
