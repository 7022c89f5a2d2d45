package upstreamstandin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"godwitmount/internal/event"
)

// Headers that steer one request.
const (
	// HeaderTag names a request; it is counted and comes back in the answer.
	HeaderTag = "X-Request-Tag"
	// HeaderCrash ends the stand-in while it runs the request.
	HeaderCrash = "X-Crash"
	// HeaderServiceTime is a Go duration in place of the configured one.
	HeaderServiceTime = "X-Service-Time"
	// HeaderRefused marks a 503 of a request that was not run.
	HeaderRefused = "Godwitmount-Upstream-Refused"
)

// headerDeadline is the time left in milliseconds.
const headerDeadline = "Godwitmount-Deadline-Ms"

// maxBody bounds what the echo reads, in bytes.
const maxBody = 64 << 20

// run wraps a request with slots, counts, crash and service time.
func (s *Standin) run(answer echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !s.take() {
			s.counts.shed()
			c.Response().Header().Set(HeaderRefused, "1")
			return c.String(http.StatusServiceUnavailable, "no slot")
		}
		defer s.give()
		r := c.Request()
		s.began(r.Header.Get("Idempotency-Key"), r.Header.Get(HeaderTag))
		if r.Header.Get(HeaderCrash) != "" {
			s.crash()
		}
		if !s.work(r) {
			s.counts.aborted()
			return nil
		}
		return answer(c)
	}
}

// began counts a request that runs now.
func (s *Standin) began(key, tag string) {
	s.counts.began(key, tag)
	if s.cfg.LogRuns {
		event.StandinRan.Info(s.cfg.Log, zap.String("key", key), zap.String("tag", tag))
	}
}

// take gets a slot; there is none during the cold start.
func (s *Standin) take() bool {
	if time.Now().Before(s.ready) {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Standin) give() { <-s.slots }

// work passes the service time; false means that the caller went away or the
// deadline passed, and the rest of the work was left.
func (s *Standin) work(r *http.Request) bool {
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64); err == nil {
		bounded, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = bounded
	}
	length := s.cfg.ServiceTime
	if own, err := time.ParseDuration(r.Header.Get(HeaderServiceTime)); err == nil {
		length = own
	}
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// crash ends the process, or without an Exit all connections at once.
func (s *Standin) crash() {
	if s.cfg.Exit != nil {
		s.cfg.Exit()
	}
	_ = s.server.Close()
}

// echoAnswer is what the echo says about a request.
type echoAnswer struct {
	Instance string `json:"instance"`
	Tag      string `json:"tag"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Query    string `json:"query"`
	Key      string `json:"key"`
	BodySize int64  `json:"body_size"`
}

func (s *Standin) echo(c echo.Context) error {
	r := c.Request()
	size, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody))
	if err != nil {
		s.counts.aborted()
		return nil
	}
	tag := r.Header.Get(HeaderTag)
	c.Response().Header().Set(HeaderTag, tag)
	return c.JSON(http.StatusOK, echoAnswer{
		Instance: s.cfg.Instance,
		Tag:      tag,
		Method:   r.Method,
		Path:     r.URL.Path,
		Query:    r.URL.RawQuery,
		Key:      r.Header.Get("Idempotency-Key"),
		BodySize: size,
	})
}

// maxBytes bounds a download.
const maxBytes = 1 << 30

// bytes sends n bytes with their length declared.
func (s *Standin) bytes(c echo.Context) error {
	n, err := strconv.ParseInt(c.Param("n"), 10, 64)
	if err != nil || n < 0 || n > maxBytes {
		return c.String(http.StatusBadRequest, fmt.Sprintf("not a number of bytes up to %d", maxBytes))
	}
	c.Response().Header().Set("Content-Length", strconv.FormatInt(n, 10))
	c.Response().WriteHeader(http.StatusOK)
	if _, err := io.CopyN(c.Response(), pattern{}, n); err != nil {
		s.counts.aborted()
	}
	return nil
}

// pattern is an endless reader of one letter.
type pattern struct{}

// Read implements io.Reader.
func (pattern) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'g'
	}
	return len(p), nil
}
