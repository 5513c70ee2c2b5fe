package exch

import "syscall"

// closedByPeer looks whether the other end closed a resting connection or sent
// bytes that nobody asked for, without waiting. A close that arrives later is
// still possible, so the caller may rely on this only for repeatable work.
func (c *conn) closedByPeer() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n > 0 || e == nil || (e != syscall.EAGAIN && e != syscall.EINTR)
		return true
	})
	return err != nil || closed
}
