package afentry

import (
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// pollerBarrier waits until the nbhttp engine's poller has handled the events that it has already fetched. The poller
// fetches many events at a time and finds the connection of an event by its descriptor later. If another goroutine closes
// the connection in the meantime and the descriptor is reused, the poller applies the event of the old connection to the
// new one and closes it.
type pollerBarrier struct {
	// conn is the end of a socket pair whose other end is registered with the poller.
	conn net.Conn
	// byteHandled receives a value when the poller has handled a byte written to conn.
	byteHandled chan struct{}
}

// newPollerBarrier creates a socket pair and registers one end with the engine, which must have exactly one poller.
func newPollerBarrier(e *nbhttp.Engine) (*pollerBarrier, error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	var socketEnds [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "barrier")
		socketEnds[i], err = net.FileConn(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
	}
	b := &pollerBarrier{conn: socketEnds[0], byteHandled: make(chan struct{}, 1)}
	c, err := nbio.NBConn(socketEnds[1])
	if err != nil {
		return nil, err
	}
	c.OnData(func(*nbio.Conn, []byte) {
		select {
		case b.byteHandled <- struct{}{}:
		default:
		}
	})
	_, err = e.AddConn(c)
	return b, err
}

// waitForPoller returns when the poller has handled every event that it fetched before the call. The second byte is
// written after the first was handled, so the poller fetches it only after it has handled the batch of events that held
// the first byte.
func (b *pollerBarrier) waitForPoller() error {
	for range 2 {
		if _, err := b.conn.Write([]byte{0}); err != nil {
			return err
		}
		<-b.byteHandled
	}
	return nil
}

// close closes the end of the socket pair that is not registered with the poller.
func (b *pollerBarrier) close() { _ = b.conn.Close() }
