package link

import (
	"net"
	"syscall"
)

// closedByPeer reports whether an idle connection was closed by the far end,
// or has bytes that no request asked for.
func closedByPeer(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return err != nil || closed
}
