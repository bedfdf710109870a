package afsoak

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// ProxyFault is a network fault that a proxy applies to its connections.
type ProxyFault int

// The network faults.
const (
	NoFault                ProxyFault = iota
	DelayData                         // DelayData delays each chunk of data by proxyDelay.
	DropAllData                       // DropAllData drops data in both directions and keeps open and new connections open.
	DropServerData                    // DropServerData drops the data that the server sends.
	RefuseConnections                 // RefuseConnections resets open and new connections.
	DropOpenConnectionData            // DropOpenConnectionData drops the data of the connections that are open now and serves new connections.
	SendWithoutEnd                    // SendWithoutEnd sends bytes that are no answer on new connections until the client closes.
	DripServerData                    // DripServerData forwards single bytes of the server with pauses between them.
	StopInsideHead                    // StopInsideHead forwards only the first headStopBytes of what the server sends on a connection.
	DamageHeads                       // DamageHeads makes the head of the first answer on a connection malformed.
	ResetUploads                      // ResetUploads answers requests with large bodies early, without a length, and resets the connection.
)

const (
	proxyDelay      = 150 * time.Millisecond
	proxyBufferSize = 16 << 10
	// dripPause is the time between two bytes of DripServerData.
	dripPause = 20 * time.Millisecond
	// headStopBytes is less than the head of any answer.
	headStopBytes = 20
	// damageStep is a prime, so that successive damages differ in the line, the byte and its place.
	damageStep = 37
)

// proxy forwards TCP connections to a target address on loopback and applies a fault to them.
type proxy struct {
	target, address string

	mu       sync.Mutex
	listener net.Listener
	isClosed bool
	fault    ProxyFault
	// damagedHeads counts the heads that DamageHeads made malformed, so that each gets another damage.
	damagedHeads int
	connections  map[*proxyConnection]struct{}
}

// proxyConnection is a client connection together with its connection to the target.
type proxyConnection struct {
	client, server net.Conn
	// serverBytes and clientBytes count the bytes of the server and of the client that were forwarded.
	serverBytes, clientBytes int
	dropsData                bool // dropsData makes the proxy drop all data of the connection until it is closed.
}

func newProxy(listen, target string) (*proxy, error) {
	p := &proxy{target: target, address: listen, connections: make(map[*proxyConnection]struct{})}
	return p, p.startListening()
}

// startListening accepts connections at the address, unless the proxy was closed.
func (p *proxy) startListening() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener, p.address = l, l.Addr().String()
	go p.acceptConnections(l)
	return nil
}

// stopListening resets open connections, and new ones are refused until startListening is called.
func (p *proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close() // It may be closed already.
	p.resetConnections()
}

func (p *proxy) acceptConnections(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serveConnection(c)
	}
}

// serveConnection connects to the target and forwards data both ways until both directions have ended.
func (p *proxy) serveConnection(client net.Conn) {
	p.mu.Lock()
	fault := p.fault
	p.mu.Unlock()
	if fault == RefuseConnections {
		resetConnection(client)
		return
	}
	if fault == SendWithoutEnd {
		p.sendNoise(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConnection(client)
		return
	}
	conn := &proxyConnection{client: client, server: server, dropsData: fault == DropAllData}
	p.mu.Lock()
	p.connections[conn] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copyData(conn, client, server, false) })
	wg.Go(func() { p.copyData(conn, server, client, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.connections, conn)
	p.mu.Unlock()
}

// sendNoise sends bytes that are no answer until the client closes the connection or the fault ends.
func (p *proxy) sendNoise(client net.Conn) {
	noise := bytes.Repeat([]byte("X-Noise: noise\r\n"), proxyBufferSize/16)
	_, err := client.Write([]byte("HTTP/1.1 200 OK\r\n"))
	for err == nil && p.currentFault() == SendWithoutEnd {
		_, err = client.Write(noise)
	}
	resetConnection(client)
}

// writeDripping writes bytes one by one until the fault ends, and then the rest.
func (p *proxy) writeDripping(to net.Conn, b []byte) error {
	for len(b) > 0 && p.currentFault() == DripServerData {
		if _, err := to.Write(b[:1]); err != nil {
			return err
		}
		b = b[1:]
		time.Sleep(dripPause)
	}
	_, err := to.Write(b)
	return err
}

func (p *proxy) currentFault() ProxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// copyData forwards data in one direction and applies the fault. isFromServer reports that from is the connection to the
// server.
func (p *proxy) copyData(conn *proxyConnection, from, to net.Conn, isFromServer bool) {
	buf := make([]byte, proxyBufferSize)
	hasDropped := false // TCP delivers nothing after bytes that were lost.
	for {
		n, err := from.Read(buf)
		data := buf[:n]
		var part []byte
		p.mu.Lock()
		if isFromServer {
			if p.fault == StopInsideHead && conn.serverBytes < headStopBytes {
				conn.dropsData, n = true, min(n, headStopBytes)
				_, _ = to.Write(buf[:n]) // The client may have closed the connection.
			}
			if p.fault == DamageHeads && conn.serverBytes == 0 && n > 0 {
				data = damageHead(data, p.damagedHeads)
				p.damagedHeads += damageStep
			}
			conn.serverBytes += n
		} else {
			if p.fault == ResetUploads && conn.clientBytes == 0 {
				part = earlyPart(data)
			}
			conn.clientBytes += n
		}
		fault, dropsData := p.fault, conn.dropsData
		p.mu.Unlock()
		if part != nil {
			_, _ = from.Write(part) // The client may have closed the connection.
			resetConnection(from)
			break
		}
		isDropped := dropsData || fault == DropAllData || fault == DropServerData && isFromServer
		if n > 0 && !isDropped && hasDropped {
			resetConnection(conn.client)
			resetConnection(conn.server)
			break
		}
		hasDropped = hasDropped || n > 0 && isDropped
		if n > 0 && !isDropped {
			if fault == DelayData {
				time.Sleep(proxyDelay)
			}
			if fault == DripServerData && isFromServer {
				if p.writeDripping(to, data) != nil {
					break
				}
			} else if _, err := to.Write(data); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok && !conn.dropsData {
		_ = tcp.CloseWrite() // The peer may have closed the connection already.
	}
	if isFromServer || conn.dropsData {
		_ = conn.client.Close()
		_ = conn.server.Close()
	}
}

// setFault replaces the fault of the proxy. DropOpenConnectionData changes only the connections that are open now.
func (p *proxy) setFault(fault ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fault == DropOpenConnectionData {
		for conn := range p.connections {
			conn.dropsData = true
		}
		fault = NoFault
	}
	p.fault = fault
	if fault == RefuseConnections {
		p.resetConnections()
	}
}

// resetConnections resets the open connections. The caller holds mu.
func (p *proxy) resetConnections() {
	for conn := range p.connections {
		resetConnection(conn.client)
		resetConnection(conn.server)
	}
}

// resetConnection closes c with a TCP reset.
func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// close stops accepting connections and resets the open ones.
func (p *proxy) close() {
	p.mu.Lock()
	p.isClosed = true
	p.mu.Unlock()
	p.stopListening()
	p.setFault(RefuseConnections)
}
