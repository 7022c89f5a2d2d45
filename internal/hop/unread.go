package hop

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether data has arrived that was not read. Then the peer is not silent:
// this process has not come to read, as on a machine without processor time, where timers go
// on before the readers of connections.
func (pc *peerConn) hasUnread() bool {
	conn, ok := pc.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(fd), unix.TIOCINQ); ioctlErr == nil {
			unread = n
		}
	})
	return err == nil && unread > 0
}
