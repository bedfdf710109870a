package afsoak

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afhead"
)

// TestDamagedHeadsAreMalformed guards against a damage that leaves the head sound, so that the soak would judge a sound answer.
func TestDamagedHeadsAreMalformed(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nok"
	seen := make(map[string]bool)
	for n := range 3 * 4 * 20 {
		damaged := damageHead([]byte(answer), n)
		seen[string(damaged)] = true
		_, err := http.ReadResponse(bufio.NewReader(&afhead.Reader{Reader: bytes.NewReader(damaged)}), nil)
		require.Error(t, err, "%q", damaged)
	}
	require.Len(t, seen, 1+4*(len("X-A")+1)+4*(len("Content-Length")+1))
}
