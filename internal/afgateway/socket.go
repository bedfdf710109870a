package afgateway

import "syscall"

// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection ends if the peer acknowledges nothing for unackedTimeout.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
