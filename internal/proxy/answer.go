package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"godwitmount/internal/claim"
)

// errNoFraming is given for an answer whose end cannot be told from a broken
// connection.
var errNoFraming = errors.New("answer without length or chunks")

// answer is an upstream's answer on its way to the caller.
type answer struct {
	status int
	header http.Header
	// body is nil once the whole body is held.
	body io.ReadCloser
	held []byte
	// length of the body in bytes, or -1 when not known.
	length int64
	// bodiless answers have no body whatever the header says.
	bodiless bool
	// load is the number of other requests at the upstream, or -1.
	load int64
	// upstreamTime is how long the upstream took.
	upstreamTime time.Duration
	// ended is called once, when the body has been read or given up.
	ended func(a *answer, err error)
	once  sync.Once
}

// answerOf wraps a response whose body ends visibly.
func answerOf(resp *http.Response, method string) (*answer, error) {
	bodiless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	chunked := len(resp.TransferEncoding) > 0
	if !bodiless && resp.ContentLength < 0 && !chunked && resp.ProtoMajor == 1 {
		_ = resp.Body.Close()
		return nil, errNoFraming
	}
	a := &answer{
		status:   resp.StatusCode,
		header:   resp.Header,
		body:     resp.Body,
		length:   resp.ContentLength,
		bodiless: bodiless,
		load:     -1,
		ended:    func(*answer, error) {},
	}
	return a, nil
}

// hold reads a body of up to limit bytes; a longer one keeps its rest to be
// streamed. An error means that the body ended early.
func (a *answer) hold(limit int) error {
	if a.body == nil {
		return nil
	}
	if a.bodiless {
		a.finish(nil)
		return nil
	}
	if a.length > int64(limit) {
		return nil
	}
	held, whole, err := readUpTo(a.body, a.length, limit)
	a.held = held
	if err != nil {
		a.finish(err)
		return err
	}
	if whole {
		a.length = int64(len(held))
		a.finish(nil)
	}
	return nil
}

// finish closes the body and tells how it ended.
func (a *answer) finish(err error) {
	a.once.Do(func() {
		if a.body != nil {
			_ = a.body.Close()
			a.body = nil
		}
		a.ended(a, err)
	})
}

// streamBuffer is the size of the buffer that a long answer passes through.
const streamBuffer = 32 << 10

var streamBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, streamBuffer)
	return &buffer
}}

// write passes the answer on. An error means that it could not be passed on
// whole; the connection must be broken then.
func (a *answer) write(w http.ResponseWriter) error {
	header := w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	if !a.bodiless && a.length >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(a.length, 10)}
	}
	w.WriteHeader(a.status)
	if a.bodiless {
		return nil
	}
	if len(a.held) > 0 {
		if _, err := w.Write(a.held); err != nil {
			a.finish(err)
			return err
		}
	}
	if a.body == nil {
		return nil
	}
	return a.stream(w)
}

// stream copies the rest of a long body, flushing what has arrived when no
// more is at hand.
func (a *answer) stream(w http.ResponseWriter) error {
	buffer := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buffer)
	flusher := http.NewResponseController(w)
	for {
		n, readErr := a.body.Read(*buffer)
		if n > 0 {
			if _, err := w.Write((*buffer)[:n]); err != nil {
				a.finish(err)
				return err
			}
			if n < len(*buffer) && a.length < 0 {
				_ = flusher.Flush()
			}
		}
		if readErr == io.EOF {
			a.finish(nil)
			return nil
		}
		if readErr != nil {
			a.finish(readErr)
			return readErr
		}
	}
}

// kept is the answer as the claim holder keeps it.
func (a *answer) kept() *claim.Answer {
	out := &claim.Answer{Status: a.status, Body: a.held}
	for name, values := range a.header {
		for _, value := range values {
			out.Headers = append(out.Headers, claim.Header{Name: name, Value: value})
		}
	}
	return out
}

// answerOfKept is the answer to a repeat.
func answerOfKept(kept *claim.Answer) *answer {
	header := make(http.Header, len(kept.Headers))
	for _, field := range kept.Headers {
		header[field.Name] = append(header[field.Name], field.Value)
	}
	return &answer{
		status: kept.Status,
		header: header,
		held:   kept.Body,
		length: int64(len(kept.Body)),
		load:   -1,
		ended:  func(*answer, error) {},
	}
}
