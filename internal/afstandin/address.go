package afstandin

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/go-faster/errors"
)

const (
	// lowestPort and ports bound the ports of FreeAddress. They lie below 32768, from which on Linux gives ports to outgoing
	// connections.
	lowestPort = 15_000
	ports      = 15_000
	// addressTries bounds the ports that FreeAddress tries.
	addressTries = 100
)

// FreeAddress returns a loopback address for a daemon that is told where to listen. No outgoing connection takes its port
// before the daemon listens.
func FreeAddress() (string, error) {
	var last error
	for range addressTries {
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(lowestPort+rand.IntN(ports)))
		if err != nil {
			last = err
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", errors.Wrapf(last, "no free port in %d tries", addressTries)
}
