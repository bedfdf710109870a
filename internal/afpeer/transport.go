package afpeer

import (
	"context"
	"net"
	"sync"

	"github.com/lesismal/nbio"
)

// maxQueuedBytes bounds what is queued for a VM that does not read. Beyond it the connection is closed.
const maxQueuedBytes = 16 << 20

// Conn is one connection between two VMs. The transport sets Write and Close; the user sets OnData and OnClosed.
type Conn struct {
	// Write queues bytes without blocking for long.
	Write func(b []byte) error
	// Close ends the connection. It may be called more than once.
	Close func()
	// OnData is called with received bytes, one call at a time. The bytes are valid during the call only.
	OnData func(b []byte)
	// OnClosed is called once when the connection has ended.
	OnClosed func()
}

// Transport opens connections. Both functions call open for each new connection before its first callback.
type Transport struct {
	// Listen accepts connections until stop is called and returns the bound address.
	Listen func(address string, open func(*Conn)) (bound string, stop func(), err error)
	// Dial opens a connection.
	Dial func(ctx context.Context, address string, open func(*Conn)) error
}

// NewTransport returns the transport over TCP. Its functions share one engine, which Listen starts.
func NewTransport() Transport {
	t := new(tcp)
	return Transport{Listen: t.listen, Dial: t.dial}
}

type tcp struct {
	engine *nbio.Engine
	// conns maps *nbio.Conn to *Conn. A connection is stored once it is ready for callbacks.
	conns sync.Map
}

func (t *tcp) listen(address string, open func(*Conn)) (string, func(), error) {
	t.engine = nbio.NewEngine(nbio.Config{
		Name:               "peer",
		Network:            "tcp",
		Addrs:              []string{address},
		NPoller:            1,
		MaxWriteBufferSize: maxQueuedBytes,
	})
	t.engine.OnOpen(func(c *nbio.Conn) {
		if t.conn(c) == nil {
			t.attach(c, open)
		}
	})
	t.engine.OnData(func(c *nbio.Conn, b []byte) {
		if conn := t.conn(c); conn != nil {
			conn.OnData(b)
		}
	})
	t.engine.OnClose(func(c *nbio.Conn, _ error) {
		if conn := t.conn(c); conn != nil {
			t.conns.Delete(c)
			conn.OnClosed()
		}
	})
	if err := t.engine.Start(); err != nil {
		return "", nil, err
	}
	return t.engine.Addrs[0], t.engine.Stop, nil
}

func (t *tcp) conn(c *nbio.Conn) *Conn {
	v, _ := t.conns.Load(c) // A missing entry is nil.
	conn, _ := v.(*Conn)
	return conn
}

func (t *tcp) attach(c *nbio.Conn, open func(*Conn)) {
	conn := &Conn{
		Write: func(b []byte) error {
			_, err := c.Write(b)
			return err
		},
		Close: func() { _ = c.Close() }, // The other side notices; there is nothing to do here.
	}
	open(conn)
	t.conns.Store(c, conn)
}

func (t *tcp) dial(ctx context.Context, address string, open func(*Conn)) error {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	c, err := nbio.NBConn(raw)
	if err != nil {
		return err
	}
	t.attach(c, open)
	if _, err = t.engine.AddConn(c); err != nil {
		t.conns.Delete(c)
	}
	return err
}
