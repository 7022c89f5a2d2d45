package status

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// KeyHeader is the header of a query at RoutePath that holds the customer's key. The
// key is never part of the query string, which may be recorded.
const KeyHeader = "Godwitmount-Customer-Key"

// RouteQuery is a query where a request of a caller would go. Its fields describe that
// request.
type RouteQuery struct {
	Method string
	Host   string
	// Path is decoded and without the query.
	Path   string
	Header http.Header
	// Customer is the name of the customer that the request is for; Key is the customer's
	// key instead. Both may be empty.
	Customer string
	Key      string
	// BodyBytes is the size of the body.
	BodyBytes int64
	// Goal is the time left to the latency goal; nil means all of the route's.
	Goal *time.Duration
}

// QueryError is the response to an invalid query.
type QueryError struct {
	Error string `json:"error"`
}

// Names of the parameters of a query.
const (
	methodParameter   = "method"
	hostParameter     = "host"
	pathParameter     = "path"
	headerParameter   = "header"
	customerParameter = "customer"
	bodyParameter     = "body_bytes"
	goalParameter     = "goal"
)

// NewRequest returns the query as an HTTP request to the daemon with the metrics address.
func (q *RouteQuery) NewRequest(address string) (*http.Request, error) {
	values := url.Values{
		methodParameter: {q.Method}, hostParameter: {q.Host}, pathParameter: {q.Path},
		customerParameter: {q.Customer}, bodyParameter: {strconv.FormatInt(q.BodyBytes, 10)},
	}
	if q.Goal != nil {
		values.Set(goalParameter, q.Goal.String())
	}
	for name, all := range q.Header {
		for _, value := range all {
			values.Add(headerParameter, name+":"+value)
		}
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+RoutePath+"?"+values.Encode(), nil)
	if err != nil {
		return nil, err
	}
	if q.Key != "" {
		request.Header.Set(KeyHeader, q.Key)
	}
	return request, nil
}

// ParseRouteQuery reads a query. The errors never contain the key.
func ParseRouteQuery(r *http.Request) (*RouteQuery, error) {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, fmt.Errorf("query: %w", err)
	}
	q := &RouteQuery{
		Method: values.Get(methodParameter), Host: values.Get(hostParameter), Path: values.Get(pathParameter),
		Customer: values.Get(customerParameter), Key: r.Header.Get(KeyHeader),
	}
	if q.Header, err = ParseHeaders(values[headerParameter]); err != nil {
		return nil, err
	}
	if text := values.Get(bodyParameter); text != "" {
		if q.BodyBytes, err = strconv.ParseInt(text, 10, 64); err != nil {
			return nil, fmt.Errorf("body size %q is no whole number", text)
		}
	}
	if text := values.Get(goalParameter); text != "" {
		goal, err := time.ParseDuration(text)
		if err != nil {
			return nil, fmt.Errorf("goal %q is no duration", text)
		}
		q.Goal = &goal
	}
	return q, q.Check()
}

// Check returns the first fault of the query, or nil.
func (q *RouteQuery) Check() error {
	switch {
	case q.Method == "":
		return errors.New("the method is missing")
	case q.Path == "":
		return errors.New("the path is missing")
	case q.Customer != "" && q.Key != "":
		return errors.New("both a customer and a key are given")
	case q.BodyBytes < 0:
		return fmt.Errorf("body size %d is negative", q.BodyBytes)
	case q.Goal != nil && *q.Goal < 0:
		return fmt.Errorf("goal %s is negative", *q.Goal)
	default:
		return nil
	}
}

// ParseHeaders reads headers of the form NAME:VALUE.
func ParseHeaders(lines []string) (http.Header, error) {
	header := http.Header{}
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, fmt.Errorf("header %q is not NAME:VALUE", line)
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return header, nil
}
