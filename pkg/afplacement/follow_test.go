package afplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTakeoverNeedsRead guards against a follower that takes old news for a lapsed lease: VMs that seldom read the
// record tried to take over a shard whose owner renewed all the time.
func TestTakeoverNeedsRead(t *testing.T) {
	w := newWorld(variant{})
	w.apply(0, RecordFetched{})
	w.answer(0, w.vms[0], w.write(*w.vms[0].commit))
	w.apply(1, RecordFetched{Version: w.version, Record: w.record})
	w.now = w.now.Add(expiry + time.Minute)
	w.apply(1, Tick{})
	require.Nil(t, w.vms[1].commit, "no read has confirmed the old version")
	w.apply(1, RecordFetched{Version: w.version, Record: w.record})
	w.apply(1, Tick{})
	require.NotNil(t, w.vms[1].commit)
}
