// Package upstream sends requests to the local upstream and reads its responses
// strictly: a response counts only if it is complete and carries the id of its
// request. A connection on which anything else arrived is not reused.
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

// Sizes of a connection's buffers in bytes.
const (
	readBuffer  = 16 << 10
	writeBuffer = 8 << 10
)

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	// address is the one that it was opened to.
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// idleSince is when the last request on the connection ended.
	idleSince time.Time
	// keepAliveTimeout is how long the upstream keeps the connection open while
	// it is idle, from the Keep-Alive header; 0 for unknown.
	keepAliveTimeout time.Duration
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBuffer), writer: bufio.NewWriterSize(c, writeBuffer)}
}

// abort resets the connection and discards unsent data, so that an abandoned
// request does not reach the upstream later.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If this fails, Close still closes the connection, but without a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// healthy reports whether an idle connection may be reused: the upstream has
// not closed it and no unexpected data has arrived on it.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = rawConn.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && healthy
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header, which is
// in whole seconds, or 0 if there is no valid one.
func parseKeepAlive(value string) time.Duration {
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
