package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/status"
)

// daemonTimeout bounds the query to one daemon.
const daemonTimeout = 3 * time.Second

// daemonOptions are the options of commands that query a daemon.
type daemonOptions struct {
	Daemons []string `long:"daemon" value-name:"IP:PORT" env:"GODWITMOUNT_DAEMON" env-delim:"," description:"Metrics address of a daemon; may be given several times."`
}

// newRequestFunc returns the HTTP request of a query to the daemon with a metrics address.
type newRequestFunc func(address string) (*http.Request, error)

// fetch queries the daemons in turn until one responds, and decodes the response into
// result. A daemon that rejects the query as invalid has responded. Command is the command's
// name.
func (o *daemonOptions) fetch(ctx context.Context, command string, newRequest newRequestFunc, result any) error {
	if len(o.Daemons) == 0 {
		return failed(ExitUsage, code.OK, "%s needs --daemon", command)
	}
	var errs []error
	for _, address := range o.Daemons {
		err := fetchFrom(ctx, address, newRequest, result)
		var invalid *failure
		if err == nil || errors.As(err, &invalid) {
			return err
		}
		errs = append(errs, fmt.Errorf("%s: %w", address, err))
	}
	return failed(ExitUnavailable, code.OK, "no daemon answered: %v", errors.Join(errs...))
}

// daemonClient follows no redirects: a query may hold a key.
var daemonClient = &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// fetchFrom queries the daemon with the given metrics address. The error is a failure if the
// daemon has rejected the query as invalid.
func fetchFrom(ctx context.Context, address string, newRequest newRequestFunc, result any) error {
	bounded, cancel := context.WithTimeout(ctx, daemonTimeout)
	defer cancel()
	request, err := newRequest(address)
	if err != nil {
		return err
	}
	response, err := daemonClient.Do(request.WithContext(bounded))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode == http.StatusBadRequest {
		var invalid status.QueryError
		if err := decoder.Decode(&invalid); err != nil {
			return err
		}
		return failed(ExitUsage, code.OK, "%s: %s", address, invalid.Error)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return decoder.Decode(result)
}
