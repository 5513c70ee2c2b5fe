package exch

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unackedMillis is how long sent bytes may stay unacknowledged, and how long a
// connection may go on without an answer to keepalive probes.
const unackedMillis = 5000

// control sets what net.Dialer has no field for. A firewall that has forgotten a
// connection drops its packets without a word; the kernel would go on sending
// for a quarter of an hour, and the request wait until its deadline. A worker
// that only takes long acknowledges, and is not cut off.
func control(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unackedMillis)
	})
	if ctlErr != nil {
		return ctlErr
	}
	return err
}
