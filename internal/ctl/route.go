package ctl

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/net/http/httpguts"

	"godwitmount/internal/code"
	"godwitmount/internal/status"
)

const routeHelp = `
Asks a daemon where a request would go now, and why, without sending it. With several
--daemon options, the first daemon that answers is asked. URL is an absolute URL or only a
path. The customer is given by name, or by a key in a file. If no route takes the request,
the exit code is 1.`

const (
	// standardInput is the file name that stands for standard input.
	standardInput = "-"
	// maxKeyBytes is the size of the longest key: that of the largest configuration of the
	// platform, whose keys have no other limit.
	maxKeyBytes = 64 << 10
	// maxSpaces is the number of bytes read from a key's file beyond the longest key, for
	// the spaces around it.
	maxSpaces = 64
)

type routeCommand struct {
	daemonOptions
	Header   []string       `short:"H" long:"header" value-name:"NAME:VALUE" description:"A header of the request; may be given several times."`
	Customer string         `long:"customer" value-name:"NAME" description:"The customer that the request is for."`
	KeyFile  flags.Filename `long:"key-file" value-name:"FILE" description:"A file with the customer's key; - reads standard input."`
	Body     int64          `long:"body" value-name:"BYTES" description:"Size of the request's body."`
	Goal     *time.Duration `long:"goal" value-name:"DURATION" description:"Time left to the goal, such as 250ms; the goal of the route if it is not given."`
	Args     struct {
		Method string `positional-arg-name:"METHOD" description:"HTTP method"`
		URL    string `positional-arg-name:"URL" description:"absolute URL or path"`
	} `positional-args:"yes" required:"yes"`
}

func (c *routeCommand) run(ctx context.Context, _ io.Writer) (output, error) {
	query, err := c.query()
	if err != nil {
		return nil, err
	}
	result := &routeResult{}
	if err := c.fetch(ctx, "route", query.NewRequest, &result.Route); err != nil {
		return nil, err
	}
	return result, nil
}

// query builds the query from the command line and the key's file.
func (c *routeCommand) query() (*status.RouteQuery, error) {
	request, err := parseRequest(c.Args.Method, c.Args.URL, c.Header)
	if err != nil {
		return nil, err
	}
	query := &status.RouteQuery{
		Method: request.Method, Host: request.Host, Path: request.Path, Header: request.Header,
		Customer: c.Customer, BodyBytes: c.Body, Goal: c.Goal,
	}
	if c.KeyFile != "" {
		if query.Key, err = readKey(string(c.KeyFile)); err != nil {
			return nil, err
		}
	}
	if err := query.Check(); err != nil {
		return nil, failed(ExitUsage, code.OK, "%v", err)
	}
	return query, nil
}

// readKey reads a customer's key from a file, or from standard input. Spaces around it
// are left out. No error contains the key.
func readKey(name string) (string, error) {
	file := os.Stdin
	if name != standardInput {
		opened, err := os.Open(name)
		if err != nil {
			return "", failed(ExitUnavailable, code.OK, "%v", err)
		}
		defer func() { _ = opened.Close() }()
		file = opened
	}
	text, err := io.ReadAll(io.LimitReader(file, maxKeyBytes+maxSpaces))
	if err != nil {
		return "", failed(ExitUnavailable, code.OK, "%v", err)
	}
	key := strings.TrimSpace(string(text))
	if key == "" || len(key) > maxKeyBytes || !httpguts.ValidHeaderFieldValue(key) {
		return "", failed(ExitUsage, code.OK, "%s does not hold one key of 1 to %d bytes", name, maxKeyBytes)
	}
	return key, nil
}

// routeResult is the response of a daemon.
type routeResult struct {
	status.Route
}

func (r *routeResult) exit() ExitCode {
	if r.Taken == nil && r.ConfigVersion > 0 {
		return ExitInvalid
	}
	return ExitOK
}
