package afstandin

import (
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against daemons that cannot listen because an outgoing connection has taken the port that they were told.
func TestFreeAddressIsNotForOutgoingConnections(t *testing.T) {
	const firstOutgoing = 32_768 // Linux's default.
	for range 50 {
		address, err := FreeAddress()
		require.NoError(t, err)
		_, port, err := net.SplitHostPort(address)
		require.NoError(t, err)
		n, err := strconv.Atoi(port)
		require.NoError(t, err)
		require.Less(t, n, firstOutgoing)
		l, err := net.Listen("tcp", address)
		require.NoError(t, err, "it is free")
		require.NoError(t, l.Close())
	}
}
