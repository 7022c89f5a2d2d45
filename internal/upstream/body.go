package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxResponseBody is the largest response body in bytes.
	maxResponseBody = 64 << 20
	// maxIncomplete is the largest number of bytes of all bodies that are being read.
	// Beyond it, those larger than smallBody fail: an upstream in trouble may send
	// several bodies without end.
	maxIncomplete = maxResponseBody
	// smallBody is the size in bytes up to which a body is read in any case, and up to
	// which memory is allocated by its announced length.
	smallBody = 1 << 20
	// maxRead is the largest number of bytes of a body that are read at once.
	maxRead = 64 << 10
)

// errTooManyBytes is returned for a body that is large while too many bytes are being
// read.
var errTooManyBytes = errors.New("bodies that are being read exceed the limit together")

// bodyReader counts the bytes of a body that is being read.
type bodyReader struct {
	io.Reader
	// all is the number of bytes of all bodies, own that of this one.
	all *atomic.Int64
	own int64
}

// Read implements io.Reader.
func (r *bodyReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer[:min(len(buffer), maxRead)])
	r.own += int64(n)
	if r.all.Add(int64(n)) > maxIncomplete && r.own > smallBody {
		return n, errTooManyBytes
	}
	return n, err
}

// readBody returns the complete body, none for HEAD, or an error if it is truncated or
// exceeds maxResponseBody, or if all bodies exceed maxIncomplete.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	if response.Request.Method == http.MethodHead {
		return nil, nil
	}
	if response.ContentLength > maxResponseBody {
		return nil, fmt.Errorf("body of %d bytes exceeds the limit", response.ContentLength)
	}
	reader := &bodyReader{Reader: response.Body, all: &c.incomplete}
	defer func() { c.incomplete.Add(-reader.own) }()
	if response.ContentLength >= 0 && response.ContentLength <= smallBody {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	// A body that ends before its announced length gives io.ErrUnexpectedEOF.
	body, err := io.ReadAll(io.LimitReader(reader, maxResponseBody+1))
	if err == nil && len(body) > maxResponseBody {
		return nil, fmt.Errorf("body exceeds the limit of %d bytes", maxResponseBody)
	}
	return body, err
}
