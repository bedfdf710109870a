package afstandin

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// ServeRepeatedly answers the requests on each connection in order and writes the previous answer of the connection once more
// before each further one, as a faulty endpoint does. Answer returns the bytes of an answer. It returns when the listener is
// closed.
func ServeRepeatedly(l net.Listener, answer func(r *http.Request) string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go repeatAnswers(c, answer)
	}
}

func repeatAnswers(c net.Conn, answer func(r *http.Request) string) {
	defer func() { _ = c.Close() }()
	reader, previous := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // The content does not matter.
		text := answer(r)
		if _, err := io.WriteString(c, previous+text); err != nil {
			return
		}
		previous = text
	}
}
