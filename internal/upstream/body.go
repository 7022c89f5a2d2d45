package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

// Sizes of bodies in bytes.
const (
	// maxResponseBody is the largest response body.
	maxResponseBody = 64 << 20
	// freeBody is the size of a buffer up to which it counts for nothing: small answers are
	// read whatever others hold.
	freeBody = 64 << 10
	// announcedBody is the size up to which a buffer is allocated by the announced length of a
	// body. Of a larger one that many bytes must arrive first.
	announcedBody = 1 << 20
	// firstBuffer is the size of the first buffer of a body whose length is unknown.
	firstBuffer = 4 << 10
)

// errNoMemory is returned for a body that needs more memory than other bodies have left.
var errNoMemory = errors.New("the bodies that are being read need too much memory")

// bodyMemory bounds the memory of the buffers of all bodies that are being read: an upstream in
// trouble may send several without end.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes, or returns false if there are fewer left.
func (m *bodyMemory) reserve(n int64) bool {
	for {
		used := m.used.Load()
		if n > 0 && used+n > m.limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

func (m *bodyMemory) release(n int64) { m.used.Add(-n) }

// bodyBuffer holds the part of a body that has been read.
type bodyBuffer struct {
	memory *bodyMemory
	data   []byte
	// reserved is the part of memory that data takes.
	reserved int64
}

// grow replaces the buffer by one of the given size. Both count until the bytes are copied.
func (b *bodyBuffer) grow(size int64) error {
	reserved := size
	if size <= freeBody {
		reserved = 0
	}
	if !b.memory.reserve(reserved) {
		return errNoMemory
	}
	larger := make([]byte, len(b.data), size)
	copy(larger, b.data)
	b.data = larger
	b.free()
	b.reserved = reserved
	return nil
}

// free gives back what the buffer has reserved.
func (b *bodyBuffer) free() {
	b.memory.release(b.reserved)
	b.reserved = 0
}

// nextSize returns the size of the buffer that follows one that is full. Length is that of the
// body; negative for unknown.
func (b *bodyBuffer) nextSize(length int64) int64 {
	full := int64(cap(b.data))
	switch {
	case length >= 0 && (length <= announcedBody || full > 0):
		return length
	case length >= 0:
		return announcedBody
	}
	// One byte more than the largest body shows that a body is too large.
	return min(max(2*full, firstBuffer), maxResponseBody+1)
}

// readAll reads a body to its end; a negative length is unknown. A body that ends before its
// length gives io.ErrUnexpectedEOF.
func (b *bodyBuffer) readAll(reader io.Reader, length int64) error {
	for int64(len(b.data)) != length {
		if len(b.data) > maxResponseBody {
			return fmt.Errorf("body exceeds the limit of %d bytes", maxResponseBody)
		}
		if len(b.data) == cap(b.data) {
			if err := b.grow(b.nextSize(length)); err != nil {
				return err
			}
		}
		n, err := reader.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err != nil && int64(len(b.data)) != length {
			return endOfBody(err, length)
		}
	}
	return nil
}

// endOfBody returns what the error of a read of a body that is not complete by its length says of
// the body: the end of one without a length completes it.
func endOfBody(err error, length int64) error {
	switch {
	case err != io.EOF:
		return err
	case length >= 0:
		return io.ErrUnexpectedEOF
	}
	return nil
}

// readBody returns the complete body, none for HEAD, or an error if it is truncated, exceeds
// maxResponseBody, or needs more memory than there is. The body is not closed: that would read
// the rest of one that has failed, and its connection is reset instead.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	if response.Request.Method == http.MethodHead {
		return nil, nil
	}
	if response.ContentLength > min(maxResponseBody, c.memory.limit) {
		return nil, fmt.Errorf("body of %d bytes exceeds the limit", response.ContentLength)
	}
	buffer := &bodyBuffer{memory: &c.memory}
	defer buffer.free()
	if err := buffer.readAll(response.Body, response.ContentLength); err != nil {
		return nil, err
	}
	// A name that is none may have been meant for another line of the answer.
	if err := CheckHeaderNames(response.Trailer); err != nil {
		return nil, fmt.Errorf("trailer: %w", err)
	}
	return buffer.data, nil
}
