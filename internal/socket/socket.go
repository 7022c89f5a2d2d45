// Package socket asks the system about open connections.
package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether data has arrived on a connection that was not read. It returns
// false for one that has been closed.
func HasUnread(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		// If this fails, the connection has ended.
		unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	})
	return err == nil && unread > 0
}
