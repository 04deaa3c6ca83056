package msupstream

import (
	"syscall"
)

// sockoptTCPUserTimeout is TCP_USER_TIMEOUT on Linux.
const sockoptTCPUserTimeout = 0x12

// setUserTimeout makes the kernel close a connection whose sent data stays
// unacknowledged for userTimeout, which happens when a device on the path has lost
// the state of the connection.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	set := func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptTCPUserTimeout, int(userTimeout.Milliseconds()))
	}
	if cerr := c.Control(set); cerr != nil {
		return cerr
	}
	return err
}
