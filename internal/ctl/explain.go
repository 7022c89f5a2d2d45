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
Reads log lines of many daemons, from files or from standard input, and prints
the way of one request across them in order. The clocks of the daemons may
differ: lines of an executing daemon stand behind the line that sent the request
there. Lines that are cut or no JSON are passed over. Without a line of the
request the exit code is 1.`

// maxLogLine is the longest line in bytes that is read.
const maxLogLine = 1 << 20

type explainCommand struct {
	Args struct {
		ID    string           `positional-arg-name:"ID" required:"yes" description:"id of the request"`
		Files []flags.Filename `positional-arg-name:"FILE" description:"log files; none reads standard input"`
	} `positional-args:"yes"`
}

// logLine is one line of a request.
type logLine struct {
	Event    event.Number `json:"event"`
	Name     string       `json:"msg"`
	Time     string       `json:"ts"`
	Instance string       `json:"instance"`
	// To is the instance that the request was sent to.
	To string `json:"to,omitempty"`
	// Fields are all other fields, in alphabetic order.
	Fields []string `json:"fields"`
}

// explanation is the way of one request.
type explanation struct {
	ID    string    `json:"id"`
	Lines []logLine `json:"lines"`
	// Unread is how many lines were cut or no JSON.
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
	result.Lines = inOrder(result.Lines)
	return result, nil
}

func (e *explanation) readFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return e.read(file)
}

// read takes the lines of the request. What stands before the JSON of a line,
// as some log collectors write it, is passed over.
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
			e.Lines = append(e.Lines, lineOf(fields))
		}
	}
	return scanner.Err()
}

func lineOf(fields map[string]any) logLine {
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

// inOrder puts the lines of executing daemons behind the line that sent the
// request to them. The lines of one daemon are in order already.
func inOrder(lines []logLine) []logLine {
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
		if rest := executed[line.To]; line.Event == event.CallRouted && len(rest) > 0 {
			all = append(all, rest[0])
			executed[line.To] = rest[1:]
		}
	}
	// Those whose sending line is missing come last.
	for _, line := range lines {
		if rest := executed[line.Instance]; line.Event == event.CallExecuted && len(rest) > 0 {
			all = append(all, rest...)
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
		fmt.Fprintf(w, "no line of request %s\n", e.ID)
	}
	for _, line := range e.Lines {
		to := ""
		if line.To != "" {
			to = " to " + line.To
		}
		fmt.Fprintf(w, "%s %s: %s%s %s\n", line.Time, line.Instance, line.Name, to, strings.Join(line.Fields, " "))
	}
	if e.Unread > 0 {
		fmt.Fprintf(w, "%d lines could not be read\n", e.Unread)
	}
}
