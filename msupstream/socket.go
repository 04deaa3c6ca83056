package msupstream

import (
	"syscall"
)

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT on Linux.
const tcpUserTimeout = 0x12

// setUserTimeout closes a connection whose sent data stays unacknowledged, as
// it does when something between the two ends has lost track of it.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	set := func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	}
	if cerr := c.Control(set); cerr != nil {
		return cerr
	}
	return err
}
