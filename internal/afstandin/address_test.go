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

// Guards against two daemons that are told the same address before either of them listens.
func TestFreeAddressIsGivenOutOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 500 {
		address, err := FreeAddress()
		require.NoError(t, err)
		require.NotContains(t, seen, address)
		seen[address] = true
	}
}

func TestPortsOfTwoProcessesDiffer(t *testing.T) {
	var p, other portRange
	defer p.release()
	defer other.release()
	seen := map[string]bool{}
	for range 300 {
		for _, r := range []*portRange{&p, &other} {
			address, err := r.next()
			require.NoError(t, err)
			require.NotContains(t, seen, address)
			seen[address] = true
		}
	}
}

func TestPortsAreUsedAgainAfterAllOthers(t *testing.T) {
	var p portRange
	defer p.release()
	seen := map[string]bool{}
	for range (blockPorts - 1) * maxBlocks {
		address, err := p.next()
		require.NoError(t, err)
		seen[address] = true
	}
	address, err := p.next()
	require.NoError(t, err)
	require.Contains(t, seen, address)
}

// release ends the reservation as the end of the process does.
func (p *portRange) release() {
	for _, l := range p.locks {
		_ = l.Close()
	}
}
