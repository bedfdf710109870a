package afentry

import (
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// barrier tells when the engine's poller has forgotten a closed descriptor. The poller fetches many events at a
// time and looks the connection up by its descriptor later. If that was closed by another goroutine and used again
// meanwhile, it takes the event of the old connection for one of the new connection and closes it.
type barrier struct {
	conn net.Conn
	seen chan struct{}
}

// newBarrier adds a connection of the process to itself to the engine, which must have one poller.
func newBarrier(e *nbhttp.Engine) (*barrier, error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	var ends [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "barrier")
		ends[i], err = net.FileConn(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
	}
	b := &barrier{conn: ends[0], seen: make(chan struct{}, 1)}
	c, err := nbio.NBConn(ends[1])
	if err != nil {
		return nil, err
	}
	c.OnData(func(*nbio.Conn, []byte) {
		select {
		case b.seen <- struct{}{}:
		default:
		}
	})
	_, err = e.AddConn(c)
	return b, err
}

// pass returns when the poller has handled every event that it fetched before the call. The second byte is sent
// after the first was handled, so the poller fetches it after the events that it fetched with the first.
func (b *barrier) pass() error {
	for range 2 {
		if _, err := b.conn.Write([]byte{0}); err != nil {
			return err
		}
		<-b.seen
	}
	return nil
}

func (b *barrier) close() { _ = b.conn.Close() }
