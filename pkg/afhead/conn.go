package afhead

import (
	"net"
	"sync/atomic"

	"arbutusfork.example/arbutusfork/pkg/afreset"
)

// Conn is a connection of an HTTP transport on which the heads of answers are checked as by a Reader. Bytes are not checked before the
// first call of ExpectAnswer, so that a connection may begin with a handshake. Reads tell a reset from the end of the input as those of an
// afreset.Conn do.
type Conn struct {
	net.Conn
	// reader is used by the goroutine that reads from the connection.
	reader           Reader
	isAnswerExpected atomic.Bool
}

// NewConn returns a connection that reads from and writes to c.
func NewConn(c net.Conn) *Conn {
	conn := afreset.NewConn(c)
	return &Conn{Conn: conn, reader: Reader{Reader: conn, position: inBody}}
}

// ExpectAnswer says that the next byte begins the head of an answer. It is called before a request is sent, after the answer to the one
// before was read.
func (c *Conn) ExpectAnswer() { c.isAnswerExpected.Store(true) }

// IsOldVersion reports whether the latest answer has the version HTTP/1.0. It is called when the head of this answer was read.
func (c *Conn) IsOldVersion() bool { return c.reader.IsOldVersion() }

// Read reads from the connection. It returns an *Error if the head of an answer is malformed.
func (c *Conn) Read(b []byte) (int, error) {
	if c.reader.err != nil {
		return 0, c.reader.err
	}
	n, err := c.Conn.Read(b)
	// The read may have begun before the request was sent.
	if n > 0 && c.isAnswerExpected.Swap(false) {
		c.reader.position, c.reader.lineLength = inStatusLine, 0
	}
	return c.reader.checkPart(b[:n], err)
}
