package afstandin

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// ServeOnce answers one request on each connection and closes the connection. Answer returns the bytes of an answer. It returns when the
// listener is closed.
func ServeOnce(l net.Listener, answer func(r *http.Request) string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // The content does not matter.
			_, _ = io.WriteString(c, answer(r))
		}()
	}
}
