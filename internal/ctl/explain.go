package ctl

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"godwitmount/internal/code"
	"godwitmount/internal/event"
)

const explainHelp = `
Reads log lines of several daemons, from files or from standard input, and prints
those of one request in order. The daemons' clocks may differ: the line of a
daemon that executed the request follows the line that records its sending
there. Lines that are truncated or not JSON are skipped. If no line belongs to
the request, the exit code is 1.`

// maxLogLine is the maximum length of a log line in bytes; a longer one is an
// error.
const maxLogLine = 1 << 20

type explainCommand struct {
	Args struct {
		ID    string           `positional-arg-name:"ID" required:"yes" description:"id of the request"`
		Files []flags.Filename `positional-arg-name:"FILE" description:"log files; none reads standard input"`
	} `positional-args:"yes"`
}

// logLine is one log line of a request.
type logLine struct {
	Event    event.Number `json:"event"`
	Name     string       `json:"msg"`
	Time     string       `json:"ts"`
	Instance string       `json:"instance"`
	// To is the instance to which the request was sent, if any.
	To string `json:"to,omitempty"`
	// Fields are the other fields as name=value, in alphabetical order.
	Fields []string `json:"fields"`
}

// explanation holds the log lines of one request.
type explanation struct {
	ID    string    `json:"id"`
	Lines []logLine `json:"lines"`
	// Unread counts the lines that contain the id and a brace, but no valid JSON
	// from the first brace on.
	Unread int `json:"unread"`
}

func (c *explainCommand) run(context.Context, io.Writer) (output, error) {
	result := &explanation{ID: c.Args.ID}
	if len(c.Args.Files) == 0 {
		if err := result.read(os.Stdin); err != nil {
			return nil, failed(ExitUnavailable, code.OK, "standard input: %v", err)
		}
	}
	for _, name := range c.Args.Files {
		if err := result.readFile(string(name)); err != nil {
			return nil, failed(ExitUnavailable, code.OK, "%v", err)
		}
	}
	result.Lines = orderLines(result.Lines)
	return result, nil
}

// readFile appends the lines of the request from a file.
func (e *explanation) readFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return e.read(file)
}

// read appends the lines of the request. Text before the JSON of a line, which
// some log collectors add, is skipped. The error is that of the reader, or is due
// to a line longer than maxLogLine.
func (e *explanation) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(e.ID)) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(text[start:], &fields) != nil {
			e.Unread++
			continue
		}
		if fields["id"] == e.ID {
			e.Lines = append(e.Lines, parseLine(fields))
		}
	}
	return scanner.Err()
}

// parseLine converts the fields of a log line.
func parseLine(fields map[string]any) logLine {
	text := func(name string) string {
		value, _ := fields[name].(string)
		return value
	}
	line := logLine{Name: text("msg"), Time: text("ts"), Instance: text("instance"), To: text("to")}
	if number, ok := fields["event"].(float64); ok {
		line.Event = event.Number(number)
	}
	for name, value := range fields {
		switch name {
		case "msg", "ts", "instance", "to", "event", "level", "id":
		default:
			line.Fields = append(line.Fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(line.Fields)
	return line
}

// orderLines places each line of an executing daemon after the call-routed line
// that names this daemon. The lines of each daemon must be in order already.
func orderLines(lines []logLine) []logLine {
	executed := map[string][]logLine{}
	var entry []logLine
	for _, line := range lines {
		if line.Event == event.CallExecuted {
			executed[line.Instance] = append(executed[line.Instance], line)
			continue
		}
		entry = append(entry, line)
	}
	var all []logLine
	for _, line := range entry {
		all = append(all, line)
		if remaining := executed[line.To]; line.Event == event.CallRouted && len(remaining) > 0 {
			all = append(all, remaining[0])
			executed[line.To] = remaining[1:]
		}
	}
	// Lines without a matching call-routed line come last.
	for _, line := range lines {
		if remaining := executed[line.Instance]; line.Event == event.CallExecuted && len(remaining) > 0 {
			all = append(all, remaining...)
			executed[line.Instance] = nil
		}
	}
	return all
}

func (e *explanation) exit() ExitCode {
	if len(e.Lines) == 0 {
		return ExitInvalid
	}
	return ExitOK
}

func (e *explanation) writeText(w io.Writer) {
	if len(e.Lines) == 0 {
		fmt.Fprintf(w, "no log line of request %s\n", e.ID)
	}
	for _, line := range e.Lines {
		to := ""
		if line.To != "" {
			to = " to " + line.To
		}
		fmt.Fprintf(w, "%s %s: %s%s %s\n", line.Time, line.Instance, line.Name, to, strings.Join(line.Fields, " "))
	}
	if e.Unread > 0 {
		fmt.Fprintf(w, "%d lines could not be parsed\n", e.Unread)
	}
}
