package afpeer

import (
	"context"
	"net"
	"sync"

	"github.com/lesismal/nbio"
)

// maxQueuedBytes bounds the bytes queued on a connection whose other end does not read. A connection that exceeds it is
// closed.
const maxQueuedBytes = 16 << 20

// Conn is one connection between two VMs. The transport sets Write and Close. The open callback that receives the Conn
// sets OnData and OnClosed.
type Conn struct {
	// Write queues bytes to send. It does not wait for the other end to read.
	Write func(b []byte) error
	// Close closes the connection. It may be called more than once.
	Close func()
	// OnData is called with received bytes, one call at a time. The bytes are valid during the call only.
	OnData func(b []byte)
	// OnClosed is called once when the connection has been closed.
	OnClosed func()
}

// Transport accepts and opens connections. Listen and Dial call open for each new connection before the first call of
// its OnData or OnClosed.
type Transport struct {
	// Listen accepts connections until stop is called and returns the bound address.
	Listen func(address string, open func(*Conn)) (bound string, stop func(), err error)
	// Dial opens a connection to an address. ctx bounds the opening only.
	Dial func(ctx context.Context, address string, open func(*Conn)) error
}

// NewTransport returns the transport over TCP. Listen must be called before Dial, since it starts the engine that both
// use.
func NewTransport() Transport {
	t := new(tcpTransport)
	return Transport{Listen: t.listen, Dial: t.dial}
}

// tcpTransport implements the functions of a Transport with one event loop for all connections.
type tcpTransport struct {
	engine *nbio.Engine
	// conns maps *nbio.Conn to *Conn. A connection is stored once its OnData and OnClosed are set.
	conns sync.Map
}

func (t *tcpTransport) listen(address string, onOpen func(*Conn)) (string, func(), error) {
	t.engine = nbio.NewEngine(nbio.Config{
		Name:               "peer",
		Network:            "tcp",
		Addrs:              []string{address},
		NPoller:            1,
		MaxWriteBufferSize: maxQueuedBytes,
	})
	t.engine.OnOpen(func(c *nbio.Conn) {
		if t.lookupConn(c) == nil {
			t.attachConn(c, onOpen)
		}
	})
	t.engine.OnData(func(c *nbio.Conn, b []byte) {
		if conn := t.lookupConn(c); conn != nil {
			conn.OnData(b)
		}
	})
	t.engine.OnClose(func(c *nbio.Conn, _ error) {
		if conn := t.lookupConn(c); conn != nil {
			t.conns.Delete(c)
			conn.OnClosed()
		}
	})
	if err := t.engine.Start(); err != nil {
		return "", nil, err
	}
	return t.engine.Addrs[0], t.engine.Stop, nil
}

// lookupConn returns the Conn of an nbio connection, or nil if there is none.
func (t *tcpTransport) lookupConn(c *nbio.Conn) *Conn {
	v, _ := t.conns.Load(c) // A missing entry yields nil.
	conn, _ := v.(*Conn)
	return conn
}

// attachConn creates and stores the Conn of an nbio connection.
func (t *tcpTransport) attachConn(c *nbio.Conn, onOpen func(*Conn)) {
	conn := &Conn{
		Write: func(b []byte) error {
			_, err := c.Write(b)
			return err
		},
		Close: func() { _ = c.Close() }, // The connection is given up, whether or not closing it fails.
	}
	onOpen(conn)
	t.conns.Store(c, conn)
}

func (t *tcpTransport) dial(ctx context.Context, address string, onOpen func(*Conn)) error {
	var d net.Dialer
	netConn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	c, err := nbio.NBConn(netConn)
	if err != nil {
		return err
	}
	t.attachConn(c, onOpen)
	if _, err = t.engine.AddConn(c); err != nil {
		t.conns.Delete(c)
	}
	return err
}
