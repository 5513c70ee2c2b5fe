package exch

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeoutMillis is how long sent data may stay unacknowledged, and keepalive probes unanswered,
// before the kernel closes the connection.
const userTimeoutMillis = 5000

// setUserTimeout sets TCP_USER_TIMEOUT, for which net.Dialer has no field. A firewall that has lost
// a connection's state drops its packets silently; the kernel would retransmit for a quarter of an
// hour, and the request would wait until its deadline. A slow worker still acknowledges the data,
// so its connection stays open.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
	if ctlErr != nil {
		return ctlErr
	}
	return err
}
