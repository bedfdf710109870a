package afsoak

import (
	"net"
	"sync"
	"time"
)

// ProxyFault is what a proxy does to its connections.
type ProxyFault int

// The harms.
const (
	NoFault                ProxyFault = iota
	DelayData                         // DelayData holds each piece of data back for some time.
	DropAllData                       // DropAllData swallows data in both directions and keeps connections open, new ones too.
	DropServerData                    // DropServerData swallows what the server sends.
	RefuseConnections                 // RefuseConnections resets connections, new ones too.
	DropOpenConnectionData            // DropOpenConnectionData swallows the data of connections that are open and serves new ones.
)

const (
	proxyDelay  = 150 * time.Millisecond
	proxyBuffer = 16 << 10
)

// proxy passes connections on to a target on loopback.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	harm  ProxyFault
	conns map[*proxied]struct{}
}

// proxied is one connection through the proxy.
type proxied struct {
	client, server net.Conn
	deaf           bool // deaf connections swallow data for good.
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: make(map[*proxied]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	p.mu.Lock()
	harm := p.harm
	p.mu.Unlock()
	if harm == RefuseConnections {
		reset(c)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	x := &proxied{client: c, server: server, deaf: harm == DropAllData}
	p.mu.Lock()
	p.conns[x] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(x, c, server, false) })
	wg.Go(func() { p.copy(x, server, c, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, x)
	p.mu.Unlock()
}

// copy moves data one way. Back tells that it comes from the server.
func (p *proxy) copy(x *proxied, from, to net.Conn, back bool) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		harm, deaf := p.harm, x.deaf
		p.mu.Unlock()
		if n > 0 && !deaf && harm != DropAllData && (harm != DropServerData || !back) {
			if harm == DelayData {
				time.Sleep(proxyDelay)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok && !x.deaf {
		_ = tcp.CloseWrite() // The other side may be closed already.
	}
	if back || x.deaf {
		_ = x.client.Close()
		_ = x.server.Close()
	}
}

// set changes the harm.
func (p *proxy) set(h ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h == DropOpenConnectionData {
		for x := range p.conns {
			x.deaf = true
		}
		h = NoFault
	}
	p.harm = h
	if h == RefuseConnections {
		for x := range p.conns {
			reset(x.client)
			reset(x.server)
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(RefuseConnections)
}
