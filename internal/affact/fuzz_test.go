package affact

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afnotice"
)

// FuzzNotices guards against a panic for messages of other VMs that arrived spoilt, and against a pause without an endpoint or
// beyond the longest.
func FuzzNotices(f *testing.F) {
	for _, m := range []any{
		noticesMessage{Leaving: []leavingMessage{{Endpoint: "i-1", StartUnixMs: 1, HeardBy: "b"}}, LeavingAfter: map[int]int64{0: 2}, Reply: 1},
		noticesMessage{Pauses: []pauseMessage{{Endpoint: "i-1", HeardBy: "b", LeftMs: 900}}, Lifts: []liftMessage{{Endpoint: "i-1", Kind: int(afnotice.PauseLift), Number: 4}}},
		digestMessage{Digest: []byte{1, 2, 3, 4}},
	} {
		body, err := msgpack.Marshal(m)
		require.NoError(f, err)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		fleet := newFleet(1)
		s, from := fleet.services[fleet.vms[0].Name], arbutusfork.Incarnation{VM: "b"}
		_, _ = s.HandleNotices(from, body) // Only a panic and the notices count.
		_, _ = s.HandleDigest(from, body)
		var m noticesMessage
		if msgpack.Unmarshal(body, &m) != nil {
			return
		}
		now := s.Timer.Now()
		for k, n := range m.decode(now) {
			require.LessOrEqual(t, n.Until.Sub(now), afnotice.MaxPause)
			require.False(t, n.HeardAt.After(now))
			if k.Kind == afnotice.Pause || k.Kind == afnotice.Leaving {
				require.NotEmpty(t, k.Endpoint)
			}
		}
	})
}
