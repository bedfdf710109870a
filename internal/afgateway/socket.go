package afgateway

import "syscall"

// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

// limitUnacked makes a connection end when the peer acknowledges nothing for unackedTimeout.
func limitUnacked(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
