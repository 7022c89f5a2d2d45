// Package upstream sends requests to the local upstream and reads its responses
// strictly: a response counts only if it is complete and carries the id of its
// request. A connection on which anything else arrived is not reused, nor for a request
// that was refused on it before.
package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sizes of a connection's buffers in bytes.
const (
	readBuffer  = 16 << 10
	writeBuffer = 8 << 10
)

// maxHead is the largest head of a response in bytes, informational responses before it
// and what is read ahead of its body included.
const maxHead = 128 << 10

// maxRefusals is the number of refused requests after which a connection is not reused. It
// bounds what the connection remembers of them.
const maxRefusals = 256

// errHeadTooLarge is returned for a response whose head exceeds maxHead.
var errHeadTooLarge = fmt.Errorf("head of the response exceeds %d bytes", maxHead)

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	// address is the one that it was opened to.
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// headLeft is how many more bytes may be read until a head is complete; inHead is
	// set until then.
	headLeft int
	inHead   bool
	// lines scans what is read of a head.
	lines lineScanner
	// idleSince is when the last request on the connection ended.
	idleSince time.Time
	// keepAliveTimeout is how long the upstream keeps the connection open while
	// it is idle, from the Keep-Alive header; 0 for unknown.
	keepAliveTimeout time.Duration
	// refused holds the hashes of the ids that the upstream has refused on the connection.
	refused []uint64
}

func newConn(c net.Conn, address string) *conn {
	result := &conn{Conn: c, address: address, writer: bufio.NewWriterSize(c, writeBuffer)}
	result.reader = bufio.NewReaderSize(result, readBuffer)
	return result
}

// recordRefusal records that the upstream has refused the request with the id.
func (c *conn) recordRefusal(id string) { c.refused = append(c.refused, xxhash.Sum64String(id)) }

// hasRefused reports whether the upstream has refused a request with the id on the
// connection. It is not sent there again: if the upstream wrote that refusal once more, it
// could not be distinguished from the answer to the second request.
func (c *conn) hasRefused(id string) bool {
	return slices.Contains(c.refused, xxhash.Sum64String(id))
}

// canRecordRefusal reports whether a further refusal can be recorded.
func (c *conn) canRecordRefusal() bool { return len(c.refused) < maxRefusals }

// beginHead limits what is read until endHead to maxHead.
func (c *conn) beginHead() { c.headLeft, c.inHead = maxHead, true }

// beginLines begins to scan the lines of a head, of which a part may have been read ahead.
func (c *conn) beginLines() {
	c.lines = newLineScanner()
	// Peek of what is buffered does not fail.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.lines.scan(buffered)
}

func (c *conn) endHead() { c.inHead = false }

// Read implements io.Reader. It fails once a head exceeds maxHead.
func (c *conn) Read(buffer []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(buffer)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(buffer[:min(len(buffer), c.headLeft)])
	c.headLeft -= n
	c.lines.scan(buffer[:n])
	return n, err
}

// replaceBuffered replaces the first bytes that are buffered by text, which has as many, so
// that all of them fit into the buffer again.
func (c *conn) replaceBuffered(text string) {
	// Peek of what is buffered does not fail.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	rest := append([]byte(text), buffered[len(text):]...)
	c.reader.Reset(io.MultiReader(bytes.NewReader(rest), c))
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
