package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/jessevdk/go-flags"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
	"godwitmount/internal/status"
)

const matchHelp = `
Shows which route of a manifest a request takes, and why the routes before it do
not match. URL is an absolute URL or only a path. If no route matches, the exit
code is 1.`

type matchCommand struct {
	Header []string `short:"H" long:"header" value-name:"NAME:VALUE" description:"A header of the request; may be given several times."`
	All    bool     `long:"all" description:"Show the routes behind the one taken as well."`
	Args   struct {
		File   flags.Filename `positional-arg-name:"FILE" description:"manifest file"`
		Method string         `positional-arg-name:"METHOD" description:"HTTP method"`
		URL    string         `positional-arg-name:"URL" description:"absolute URL or path"`
	} `positional-args:"yes" required:"yes"`
}

// matchResult says which route a request takes, and why.
type matchResult struct {
	// Taken is nil if no route matches the request.
	Taken  *takenRoute            `json:"taken"`
	Routes []manifest.Explanation `json:"routes"`
}

// takenRoute describes the route that a request takes: the first that matches.
type takenRoute struct {
	Route      string            `json:"route"`
	Service    string            `json:"service"`
	Deadline   manifest.Duration `json:"deadline"`
	Idempotent bool              `json:"idempotent"`
	// MaxRequestBodyBytes is the limit of the service, the first one of a split.
	// Daemons do not enforce it; they enforce manifest.Limits.MaxBodyBytes.
	MaxRequestBodyBytes int64 `json:"max_body_bytes"`
	// Retry is nil if the route has no retry rule.
	Retry *manifest.RetryRule `json:"retry,omitempty"`
}

func (c *matchCommand) run(context.Context, io.Writer) (output, error) {
	m, err := readManifest(string(c.Args.File))
	if err != nil {
		return nil, err
	}
	request, err := parseRequest(c.Args.Method, c.Args.URL, c.Header)
	if err != nil {
		return nil, err
	}
	table, err := manifest.Compile(m)
	if err != nil {
		return nil, err
	}
	result := &matchResult{Routes: table.Explain(request)}
	if route, ok := table.Match(request); ok {
		result.Taken = describeRoute(route, request.Method)
		result.Routes = c.visibleRoutes(result.Routes)
	}
	return result, nil
}

func describeRoute(route *manifest.CompiledRoute, method string) *takenRoute {
	return &takenRoute{
		Route:               route.Name,
		Service:             describeServices(route),
		Deadline:            route.Deadline,
		Idempotent:          route.IsIdempotent(method),
		MaxRequestBodyBytes: route.Targets[0].MaxRequestBodyBytes,
		Retry:               route.Rule,
	}
}

// describeServices names the route's service, or the services of a traffic split
// with their weights.
func describeServices(route *manifest.CompiledRoute) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Name
	}
	names := make([]string, len(route.Targets))
	for i, target := range route.Targets {
		names[i] = fmt.Sprintf("%s (weight %d)", target.Name, target.Weight)
	}
	return strings.Join(names, ", ")
}

// parseRequest builds a request from the command line. Its path is "/" if the URL has
// none.
func parseRequest(method, text string, headers []string) (manifest.Request, error) {
	target, err := url.Parse(text)
	if err != nil {
		return manifest.Request{}, failed(ExitUsage, code.OK, "URL %q: %v", text, err)
	}
	header, err := status.ParseHeaders(headers)
	if err != nil {
		return manifest.Request{}, failed(ExitUsage, code.OK, "%v", err)
	}
	path := target.EscapedPath()
	if path == "" {
		path = "/"
	}
	return manifest.Request{Method: strings.ToUpper(method), Host: target.Host, Path: path, Header: header}, nil
}

// visibleRoutes leaves out the routes after the one taken, unless --all is set.
func (c *matchCommand) visibleRoutes(routes []manifest.Explanation) []manifest.Explanation {
	if c.All {
		return routes
	}
	for i := range routes {
		if routes[i].Taken {
			return routes[:i+1]
		}
	}
	return routes
}

func (r *matchResult) exit() ExitCode {
	if r.Taken == nil {
		return ExitInvalid
	}
	return ExitOK
}

func (r *matchResult) writeText(w io.Writer) {
	for _, route := range r.Routes {
		mark := " "
		if route.Taken {
			mark = ">"
		}
		fmt.Fprintf(w, "%s %s: %s\n", mark, route.Route, route.Reason)
	}
	if r.Taken == nil {
		fmt.Fprintln(w, "no route takes the request")
		return
	}
	r.Taken.writeText(w)
}

func (t *takenRoute) writeText(w io.Writer) {
	fmt.Fprintf(w, "route       %s\n", t.Route)
	fmt.Fprintf(w, "service     %s\n", t.Service)
	fmt.Fprintf(w, "deadline    %s\n", t.Deadline)
	fmt.Fprintf(w, "idempotent  %t\n", t.Idempotent)
	fmt.Fprintf(w, "body        at most %d bytes\n", t.MaxRequestBodyBytes)
	if t.Retry == nil {
		fmt.Fprintln(w, "retry       none")
		return
	}
	fmt.Fprintf(w, "retry       %s: %d attempts on %s, budget %d%%\n", t.Retry.Name, t.Retry.Attempts, joinConditions(t.Retry.On), t.Retry.BudgetPercent)
}

// joinConditions lists the conditions on which a request is retried.
func joinConditions(on []manifest.RetryOn) string {
	names := make([]string, len(on))
	for i := range on {
		names[i] = string(on[i])
	}
	return strings.Join(names, ", ")
}
