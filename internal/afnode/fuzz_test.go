package afnode

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzVMEntry guards against a panic for a VM entry of another writer, and against one that is used although it names no VM.
func FuzzVMEntry(f *testing.F) {
	for _, seed := range []string{`{"address":"127.0.0.1:7","centre":"z1","start":5}`, `{}`, `null`, `{"address":"127.0.0.1:0","start":1}`, `{"address":"127.0.0.1:7","start":-1}`, `{"start":1e400}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		spec, err := decodeVMSpec(body)
		if err != nil {
			return
		}
		address, err := netip.ParseAddrPort(spec.Address)
		require.NoError(t, err)
		require.NotZero(t, address.Port())
		require.Positive(t, spec.Start)
	})
}
