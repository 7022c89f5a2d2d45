package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// errBodyTooLarge is returned while a body beyond the limit is read.
var errBodyTooLarge = errors.New("request body exceeds the limit")

// errBodyPassedOn is returned to a send whose body was given to a later one.
var errBodyPassedOn = errors.New("request body given to another attempt")

// requestBody is a caller's body: its start is held, the rest, if any, can be
// read by one send only.
type requestBody struct {
	held   []byte
	length int64
	rest   io.Reader
	// owner is the send that may read the rest, and whether it has begun:
	// twice its number, plus one.
	owner atomic.Int64
}

// readBody holds up to limit bytes of a body and bounds the whole by maxBytes.
func readBody(r *http.Request, limit int, maxBytes int64) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.length = 0
		return b, nil
	}
	if r.ContentLength > maxBytes {
		return nil, errBodyTooLarge
	}
	held, whole, err := readUpTo(r.Body, r.ContentLength, limit)
	if err != nil {
		return nil, err
	}
	b.held = held
	if whole {
		b.length = int64(len(held))
		return b, nil
	}
	b.rest = &boundedReader{r: r.Body, left: maxBytes - int64(len(held))}
	return b, nil
}

// readUpTo reads at most limit bytes; whole tells that there are no more. The
// length is -1 when not declared.
func readUpTo(r io.Reader, length int64, limit int) (data []byte, whole bool, err error) {
	if length >= 0 && length <= int64(limit) {
		data = make([]byte, length)
		_, err = io.ReadFull(r, data)
		return data, true, err
	}
	var buffer bytes.Buffer
	n, err := buffer.ReadFrom(io.LimitReader(r, int64(limit)+1))
	return buffer.Bytes(), n <= int64(limit), err
}

// whole tells that the body can be sent any number of times.
func (b *requestBody) whole() bool { return b.rest == nil }

// attempt returns the body for the send with this number, from 0. It reports
// false when an earlier send has begun to read the rest.
func (b *requestBody) attempt(number int64) (attemptBody, bool) {
	if b.whole() {
		return attemptBody{body: b, number: number}, true
	}
	if number > 0 && !b.owner.CompareAndSwap(2*(number-1), 2*number) {
		return attemptBody{}, false
	}
	return attemptBody{body: b, number: number}, true
}

// attemptBody is a body as one send sees it. The zero value is no body.
type attemptBody struct {
	body   *requestBody
	number int64
}

// reader returns the bytes to send, or nil for an empty body.
func (a attemptBody) reader() io.ReadCloser {
	if a.body == nil || a.body.length == 0 {
		return nil
	}
	held := bytes.NewReader(a.body.held)
	if a.body.whole() {
		return io.NopCloser(held)
	}
	return io.NopCloser(io.MultiReader(held, &restReader{a}))
}

// length is the number of bytes, or -1 when not known.
func (a attemptBody) length() int64 {
	if a.body == nil {
		return 0
	}
	return a.body.length
}

// rewindable tells that nothing was read beyond what is held.
func (a attemptBody) rewindable() bool {
	return a.body == nil || a.body.whole() || a.body.owner.Load() == 2*a.number
}

// restReader reads what is not held, on behalf of one send.
type restReader struct {
	attempt attemptBody
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	body, idle := r.attempt.body, 2*r.attempt.number
	if body.owner.Load() != idle+1 && !body.owner.CompareAndSwap(idle, idle+1) {
		return 0, errBodyPassedOn
	}
	return body.rest.Read(p)
}

// boundedReader fails once more than the allowed bytes were read.
type boundedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
