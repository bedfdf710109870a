package afstandin

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// lowestPort and ports bound the ports of FreeAddress. They lie below 32768, from which on Linux gives ports to outgoing
	// connections.
	lowestPort = 15_000
	ports      = 15_000
	// blockPorts is the number of ports that a process reserves at once. Its first port is the lock of the block.
	blockPorts = 250
	// maxBlocks bounds the blocks of a process, so that others find one.
	maxBlocks = 4
)

// processPorts are the ports that this process has reserved.
var processPorts portRange

// FreeAddress returns a loopback address for a daemon that is told where to listen. Until the daemon listens, no outgoing
// connection takes its port, and neither this process nor another one gets the address from FreeAddress.
func FreeAddress() (string, error) {
	return processPorts.next()
}

// portRange gives out ports of blocks that are reserved for one process until it ends.
type portRange struct {
	mu sync.Mutex
	// locks are the listeners on the first port of each reserved block.
	locks []net.Listener
	// ports are the other ports of the reserved blocks. Ports before index given have been given out.
	ports []int
	given int
}

// next returns the address of a free port. A port is given out again only after all others.
func (p *portRange) next() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last error
	for range blockPorts * maxBlocks {
		if p.given == len(p.ports) && !p.reserveBlock() {
			if len(p.ports) == 0 {
				return "", errors.New("no block of ports is free")
			}
			p.given = 0
		}
		port := p.ports[p.given]
		p.given++
		l, err := listenOnPort(port)
		if err != nil {
			last = err
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", errors.Wrap(last, "no free port in the reserved blocks")
}

// reserveBlock reserves one more block and tells whether there was one.
func (p *portRange) reserveBlock() bool {
	if len(p.locks) == maxBlocks {
		return false
	}
	const blocks = ports / blockPorts
	first := rand.IntN(blocks)
	for i := range blocks {
		lock := lowestPort + (first+i)%blocks*blockPorts
		l, err := listenOnPort(lock)
		if err != nil {
			continue
		}
		p.locks = append(p.locks, l)
		for port := lock + 1; port < lock+blockPorts; port++ {
			p.ports = append(p.ports, port)
		}
		return true
	}
	return false
}

func listenOnPort(port int) (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
}
