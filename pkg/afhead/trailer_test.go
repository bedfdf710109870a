package afhead

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that looks whole although its trailer section is malformed, and against sound ones that are refused.
func TestCheckTrailer(t *testing.T) {
	for trailer, want := range map[string]string{
		"": "", "X-Sum: 1\r\n": "", "X-Sum: 1\r\nX-Other: 2\r\n": "",
		"X Sum: 1\r\n": `read trailer: malformed field name "X Sum"`, "X-A: 1\r\nX-Sum : 1\r\n": `read trailer: malformed field name "X-Sum "`,
	} {
		for _, announced := range []string{"", "Trailer: X-Sum\r\n", "Trailer: X Sum\r\n"} {
			answer := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + announced + "\r\n2\r\nok\r\n0\r\n" + trailer + "\r\n"
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
			require.NoError(t, err)
			CheckTrailer(resp)
			body, err := io.ReadAll(resp.Body)
			require.Equal(t, "ok", string(body))
			if want == "" {
				require.NoError(t, err, "%q", answer)
			} else {
				require.EqualError(t, err, want)
			}
			require.NoError(t, resp.Body.Close())
		}
	}
}
