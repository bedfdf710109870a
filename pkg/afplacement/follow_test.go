package afplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTakeoverNeedsRead guards against a take-over from an owner that renews its lease: a VM that reads the record
// rarely took an outdated version for an expired lease.
func TestTakeoverNeedsRead(t *testing.T) {
	tc := newTestCluster(protocolVariant{})
	tc.applyEvent(0, RecordFetched{})
	tc.answerCommit(0, tc.vms[0], tc.commitRecord(*tc.vms[0].pendingCommit))
	tc.applyEvent(1, RecordFetched{Version: tc.version, Record: tc.record})
	tc.now = tc.now.Add(takeoverDelay + time.Minute)
	tc.applyEvent(1, Tick{})
	require.Nil(t, tc.vms[1].pendingCommit, "no take-over without a read of the version")
	tc.applyEvent(1, RecordFetched{Version: tc.version, Record: tc.record})
	tc.applyEvent(1, Tick{})
	require.NotNil(t, tc.vms[1].pendingCommit)
}
