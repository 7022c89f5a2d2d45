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

// daemonTimeout bounds the question to one daemon.
const daemonTimeout = 3 * time.Second

// daemonOptions are the options of commands that ask a daemon.
type daemonOptions struct {
	Daemons []string `long:"daemon" value-name:"IP:PORT" env:"GODWITMOUNT_DAEMON" env-delim:"," description:"Metrics address of a daemon; may be given several times."`
}

// ask asks the daemons in turn until one answers, and decodes the answer into result. A
// daemon that finds the question invalid has answered. Command is the command's name.
func (o *daemonOptions) ask(ctx context.Context, command string, question func(address string) (*http.Request, error), result any) error {
	if len(o.Daemons) == 0 {
		return failed(ExitUsage, code.OK, "%s needs --daemon", command)
	}
	var errs []error
	for _, address := range o.Daemons {
		err := askDaemon(ctx, address, question, result)
		var answered *failure
		if err == nil || errors.As(err, &answered) {
			return err
		}
		errs = append(errs, fmt.Errorf("%s: %w", address, err))
	}
	return failed(ExitUnavailable, code.OK, "no daemon answered: %v", errors.Join(errs...))
}

// daemonClient follows no redirects: a question may hold a key.
var daemonClient = &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// askDaemon asks the daemon with the given metrics address. The error is a failure if the
// daemon found the question invalid.
func askDaemon(ctx context.Context, address string, question func(address string) (*http.Request, error), result any) error {
	bounded, cancel := context.WithTimeout(ctx, daemonTimeout)
	defer cancel()
	request, err := question(address)
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
