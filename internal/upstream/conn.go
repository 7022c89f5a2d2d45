// Package upstream sends requests to the upstream beside the daemon and reads
// its answers strictly: an answer counts only when it is whole and carries the
// id of its request. A connection on which anything else arrived is not used
// again.
package upstream

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	readBuffer  = 16 << 10
	writeBuffer = 8 << 10
)

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the last request on it ended.
	idleSince time.Time
	// keep is how long the upstream keeps it open when idle; 0 is unknown.
	keep time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), writer: bufio.NewWriterSize(c, writeBuffer)}
}

// abort ends the connection and drops what the upstream has not received yet,
// so that a request that was given up does not reach it later.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without it the end is only less sudden.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// quiet reports whether nothing has arrived on an idle connection and its
// other end has not closed it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keepAlive reads the time in a Keep-Alive header, in whole seconds.
func keepAlive(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
