package main

import (
	"net"
	"sync/atomic"
	"time"
)

// storeProxy carries the connections of one gateway to the store. While it is cut, it passes on nothing and answers nothing, as a
// partition does. What it holds back is passed on later, unless its sender has closed the connection.
type storeProxy struct {
	listener net.Listener
	target   string
	isCut    atomic.Bool
}

func newStoreProxy(target string) (*storeProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p, nil
}

func (p *storeProxy) address() string { return p.listener.Addr().String() }

func (p *storeProxy) awaitLink() {
	for p.isCut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *storeProxy) carry(c net.Conn) {
	p.awaitLink()
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	copyAll := func(to, from net.Conn) {
		b := make([]byte, 64<<10)
		for {
			n, err := from.Read(b)
			p.awaitLink()
			if n > 0 {
				if _, err := to.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go copyAll(s, c)
	copyAll(c, s)
}
