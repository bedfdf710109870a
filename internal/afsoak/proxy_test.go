package afsoak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against bytes that a client gets after others that were dropped on the same connection, which it would take for a fault of the
// gateway.
func TestNothingFollowsDroppedData(t *testing.T) {
	for _, fault := range []ProxyFault{DropAllData, DropServerData} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		p, err := newProxy("127.0.0.1:0", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(p.close)
		client, err := net.Dial("tcp", p.address)
		require.NoError(t, err)
		server, err := l.Accept()
		require.NoError(t, err)
		write := func(text string) {
			_, err := io.WriteString(server, text)
			require.NoError(t, err)
		}
		awaitBytes := func(total int) {
			require.Eventually(t, func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				for conn := range p.connections {
					return conn.serverBytes == total
				}
				return false
			}, 10*time.Second, time.Millisecond)
		}
		write("a")
		awaitBytes(1)
		p.setFault(fault)
		write("b")
		awaitBytes(2)
		p.setFault(NoFault)
		write("c")
		_ = server.Close()
		got, _ := io.ReadAll(client) // A reset is an error.
		require.NotContains(t, string(got), "c", "bytes were dropped before it")
	}
}
