package link

import (
	"net"
	"syscall"
)

// closedByPeer reports whether the peer closed an idle connection or sent bytes
// that belong to no answer.
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
