package afstandin

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	connQueue = 4096
	// closeFlush bounds how long a closed connection keeps delivering what was written before.
	closeFlush = time.Second
)

// Network connects listeners and dialers of one process without sockets, so that tests can run under
// testing/synctest and can cut or silence the links between two parties. The zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	cut       map[pair]bool
	seq       int
}

// pair names a direction by the dialling party and the listening address, or the reverse.
type pair struct{ from, to string }

// Listen accepts connections to the address until the listener is closed.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "memory", Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{network: n, address: address, backlog: make(chan net.Conn, connQueue), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a connection from a party to an address. It fails as a refused connection does if nobody listens
// or the two are cut off from each other.
func (n *Network) Dial(_ context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil || n.cut[pair{from, address}] || n.cut[pair{address, from}] {
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: addr(address), Err: syscall.ECONNREFUSED}
	}
	n.seq++
	a, b := net.Pipe()
	remote := addr(from + "#" + strconv.Itoa(n.seq))
	client := newConn(n, a, pair{from, address}, remote, addr(address))
	server := newConn(n, b, pair{address, from}, addr(address), remote)
	if n.conns == nil {
		n.conns = make(map[*conn]bool)
	}
	n.conns[client], n.conns[server] = true, true
	l.backlog <- server
	return client, nil
}

// CutLink breaks the connections between two parties and refuses new ones until RestoreLink.
func (n *Network) CutLink(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[pair]bool)
	}
	n.cut[pair{a, b}] = true
	for c := range n.conns {
		if c.way == (pair{a, b}) || c.way == (pair{b, a}) {
			_ = c.Conn.Close() // An in-memory connection has nothing to report.
		}
	}
}

// RestoreLink lets two parties connect again.
func (n *Network) RestoreLink(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pair{a, b})
	delete(n.cut, pair{b, a})
}

// DropWrites drops what is written from one party to the other on the connections that are open now, without
// closing them.
func (n *Network) DropWrites(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.way == (pair{from, to}) {
			c.setSilent()
		}
	}
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }

type listener struct {
	network *Network
	address string
	backlog chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		// Connections that nobody accepted are broken, as the kernel does.
		for len(l.backlog) > 0 {
			_ = (<-l.backlog).Close() // An in-memory connection has nothing to report.
		}
	})
	return nil
}

// conn queues what is written, as a socket buffer does, since the ends of a net.Pipe wait for each other.
type conn struct {
	net.Conn
	network       *Network
	way           pair
	local, remote net.Addr
	queue         chan []byte
	done          chan struct{}
	once          sync.Once

	mu     sync.Mutex
	silent bool
}

func newConn(n *Network, pipe net.Conn, way pair, local, remote net.Addr) *conn {
	c := &conn{
		Conn: pipe, network: n, way: way, local: local, remote: remote,
		queue: make(chan []byte, connQueue), done: make(chan struct{}),
	}
	go c.pump()
	return c
}

func (c *conn) pump() {
	defer func() { _ = c.Conn.Close() }()
	defer c.network.forget(c)
	for {
		select {
		case b := <-c.queue:
			if _, err := c.Conn.Write(b); err != nil {
				return
			}
		case <-c.done:
			_ = c.Conn.SetWriteDeadline(time.Now().Add(closeFlush)) // A pipe always accepts a deadline.
			for len(c.queue) > 0 {
				if _, err := c.Conn.Write(<-c.queue); err != nil {
					return
				}
			}
			return
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return len(b), nil
	}
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.queue <- append([]byte(nil), b...):
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

func (c *conn) setSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *conn) LocalAddr() net.Addr              { return c.local }
func (c *conn) RemoteAddr() net.Addr             { return c.remote }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }
