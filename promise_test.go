package arbutusfork

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRefusalPromisesOnlyWhatIsTrue guards against a refusal with a status that promises that the request did not run, although it may have run.
func TestRefusalPromisesOnlyWhatIsTrue(t *testing.T) {
	for code, status := range httpStatusByCode {
		r := NewRefusal(code, "")
		require.Equal(t, status, r.HTTPStatus(), code)
		for _, outcome := range []Outcome{OutcomeUnknown, OutcomeAnswered} {
			require.True(t, MayRelayStatus(r.WithOutcome(outcome).HTTPStatus(), false), code)
		}
	}
	require.Equal(t, http.StatusGatewayTimeout, NewRefusal(CodeDeadlineExceeded, "").WithOutcome(OutcomeUnknown).HTTPStatus())
}
