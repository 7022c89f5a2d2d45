package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Paths of the platform's HTTP protocol.
const (
	PathTransact = "/v1/transact"
	PathRow      = "/v1/row"
	PathScan     = "/v1/scan"
	PathObject   = "/v1/object"
)

// ErrInvalid means that the platform refused a request as malformed; nothing
// took effect.
var ErrInvalid = errors.New("platform: request refused as malformed")

// ErrBadAnswer means that a read's answer could not be understood.
var ErrBadAnswer = errors.New("platform: answer could not be read")

// ConflictAnswer is the body of a 409 answer.
type ConflictAnswer struct {
	Key     string `json:"key"`
	Current Row    `json:"current"`
}

// ScanAnswer is the body of a scan's answer.
type ScanAnswer struct {
	Rows []Row `json:"rows"`
}

// ClientConfig tunes a Client.
type ClientConfig struct {
	// Timeout bounds one request, connecting included.
	Timeout time.Duration
	// ConnectTimeout bounds opening one connection.
	ConnectTimeout time.Duration
	// MaxAnswer is the largest answer body in bytes.
	MaxAnswer int64
	// MaxConns is how many connections are open at once.
	MaxConns int
}

// DefaultClientConfig returns the settings that daemon and tool use.
func DefaultClientConfig() ClientConfig {
	return ClientConfig{
		Timeout:        3 * time.Second,
		ConnectTimeout: time.Second,
		MaxAnswer:      16 << 20,
		MaxConns:       8,
	}
}

// Client is a Store over HTTP. It is safe for concurrent use and never repeats
// a request by itself.
type Client struct {
	base string
	cfg  ClientConfig
	http *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform at baseURL, such as
// "http://127.0.0.1:7000".
func NewClient(baseURL string, cfg ClientConfig) *Client {
	dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     cfg.MaxConns,
		MaxIdleConnsPerHost: cfg.MaxConns,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		base: strings.TrimRight(baseURL, "/"),
		cfg:  cfg,
		http: &http.Client{Transport: transport},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read implements Store.
func (c *Client) Read(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.get(ctx, PathRow, url.Values{"key": {key}}, &row)
	return row, err
}

// Scan implements Store.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {after},
		"limit":  {strconv.Itoa(limit)},
	}
	var answer ScanAnswer
	err := c.get(ctx, PathScan, query, &answer)
	return answer.Rows, err
}

// GetObject implements Store.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	answer, err := c.send(ctx, http.MethodGet, PathObject, url.Values{"name": {name}}, nil)
	if err != nil {
		return nil, readError(err)
	}
	if err := statusOfRead(answer); err != nil {
		return nil, err
	}
	return answer.body, nil
}

// Transact implements Store.
func (c *Client) Transact(ctx context.Context, tx Transaction) (Result, error) {
	body, err := json.Marshal(tx)
	if err != nil {
		return Result{}, fmt.Errorf("encode transaction: %w", err)
	}
	answer, err := c.send(ctx, http.MethodPost, PathTransact, nil, body)
	if err != nil {
		return Result{}, err
	}
	return transactResult(answer)
}

// PutObject implements Store.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	answer, err := c.send(ctx, http.MethodPut, PathObject, url.Values{"name": {name}}, body)
	if err != nil {
		return err
	}
	if answer.status == http.StatusOK {
		return nil
	}
	return statusOfWrite(answer)
}

func (c *Client) get(ctx context.Context, path string, query url.Values, into any) error {
	answer, err := c.send(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return readError(err)
	}
	if err := statusOfRead(answer); err != nil {
		return err
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return fmt.Errorf("%w: %v", ErrBadAnswer, err)
	}
	return nil
}

// answer is one whole HTTP answer.
type answer struct {
	status int
	body   []byte
}

// send carries one request. Its errors are ErrUnavailable when no connection
// was obtained, so that nothing was sent, and ErrUnknown otherwise.
func (c *Client) send(ctx context.Context, method, path string, query url.Values, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, sendError(connected.Load(), err)
	}
	defer resp.Body.Close()
	return c.readAnswer(resp)
}

func (c *Client) readAnswer(resp *http.Response) (answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxAnswer+1))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	if int64(len(body)) > c.cfg.MaxAnswer {
		return answer{}, fmt.Errorf("%w: answer exceeds %d bytes", ErrUnknown, c.cfg.MaxAnswer)
	}
	return answer{status: resp.StatusCode, body: body}, nil
}

func sendError(connected bool, err error) error {
	if !connected {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %v", ErrUnknown, err)
}

// readError turns a lost answer to a read into ErrUnavailable: reads change
// nothing.
func readError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return err
}

func statusOfRead(a answer) error {
	switch a.status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %s", ErrInvalid, excerpt(a.body))
	}
	return fmt.Errorf("%w: status %d", ErrUnavailable, a.status)
}

func statusOfWrite(a answer) error {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d", ErrUnavailable, a.status)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", ErrInvalid, excerpt(a.body))
	}
	return fmt.Errorf("%w: status %d", ErrUnknown, a.status)
}

func transactResult(a answer) (Result, error) {
	switch a.status {
	case http.StatusOK:
		var result Result
		if err := json.Unmarshal(a.body, &result); err != nil {
			return Result{}, fmt.Errorf("%w: %v", ErrUnknown, err)
		}
		return result, nil
	case http.StatusConflict:
		var conflict ConflictAnswer
		if err := json.Unmarshal(a.body, &conflict); err != nil {
			return Result{}, fmt.Errorf("%w: %v", ErrUnknown, err)
		}
		return Result{}, &ConflictError{Key: conflict.Key, Current: conflict.Current}
	}
	return Result{}, statusOfWrite(a)
}

// excerptSize is how much of an error answer is quoted, in bytes.
const excerptSize = 200

func excerpt(body []byte) string {
	if len(body) > excerptSize {
		body = body[:excerptSize]
	}
	return strings.TrimSpace(string(body))
}
