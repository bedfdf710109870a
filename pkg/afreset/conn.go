// Package afreset tells an answer that ends with its connection from one whose connection was reset.
package afreset

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Conn is a connection on which a read at the end of the input fails if the connection broke. The operating system reports a reset to one
// call only: if a write gets it, later reads return io.EOF, as if the peer had closed its side.
type Conn struct {
	net.Conn

	// writeMu is held during a write.
	writeMu sync.Mutex
	// brokenBy is the error of the first write that failed because the connection broke. It is guarded by writeMu.
	brokenBy error
}

// NewConn returns a connection that reads from and writes to c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write writes to the connection. A write in progress at the end of the input fails.
func (c *Conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	if c.brokenBy == nil && isBreak(err) {
		c.brokenBy = err
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the peer closed its side, and the error of the write that found the connection
// broken otherwise.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endInput()
	}
	return n, err
}

// endInput returns the error of a read that returned io.EOF.
func (c *Conn) endInput() error {
	if !c.writeMu.TryLock() {
		// The write may have got the error already, or may wait for a peer that reads no more.
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // It fails only if the connection is closed, which ends the write too.
		c.writeMu.Lock()
	}
	defer c.writeMu.Unlock()
	if c.brokenBy != nil {
		return c.brokenBy
	}
	return io.EOF
}

// isBreak reports whether the error of a write means that the connection broke. EPIPE means that the peer had closed its side before, or that
// an earlier call got the error.
func isBreak(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}
