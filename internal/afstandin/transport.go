package afstandin

import (
	"context"
	"net"

	"arbutusfork.example/arbutusfork/internal/afpeer"
)

const readBytes = 64 << 10

// Transport returns the transport between VMs for the party on this network.
func (n *Network) Transport(party string) afpeer.Transport {
	return afpeer.Transport{
		Listen: func(address string, open func(*afpeer.Conn)) (string, func(), error) {
			l, err := n.Listen(address)
			if err != nil {
				return "", nil, err
			}
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					carry(c, open)
				}
			}()
			return address, func() { _ = l.Close() }, nil // Closing an in-memory listener cannot fail.
		},
		Dial: func(ctx context.Context, address string, open func(*afpeer.Conn)) error {
			c, err := n.Dial(ctx, party, address)
			if err != nil {
				return err
			}
			carry(c, open)
			return nil
		},
	}
}

// carry passes what a connection receives to its user.
func carry(c net.Conn, open func(*afpeer.Conn)) {
	conn := &afpeer.Conn{
		Write: func(b []byte) error {
			_, err := c.Write(b)
			return err
		},
		Close: func() { _ = c.Close() }, // Closing an in-memory connection cannot fail.
	}
	open(conn)
	go func() {
		defer conn.OnClosed()
		b := make([]byte, readBytes)
		for {
			k, err := c.Read(b)
			if err != nil {
				_ = c.Close() // The reason is the read error.
				return
			}
			conn.OnData(b[:k])
		}
	}()
}
