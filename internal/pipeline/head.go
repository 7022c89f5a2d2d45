package pipeline

import (
	"bytes"
	"strings"
)

// headEnd returns the length of the head of a request that data begins with, or 0 if it is
// not complete. Like net/http, it takes a line feed alone for the end of a line.
func headEnd(data []byte) int {
	for i, b := range data {
		if b != '\n' {
			continue
		}
		switch rest := data[i+1:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + 2
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + 3
		}
	}
	return 0
}

// heads returns the complete heads that data begins with.
func heads(data []byte) [][]byte {
	var all [][]byte
	for end := headEnd(data); end > 0; end = headEnd(data) {
		all = append(all, data[:end])
		data = data[end:]
	}
	return all
}

// refusedFields are parts of header fields with which a request is not split off: those of
// a body, and those that concern the connection. They are searched for in the whole head, in
// lower case, so that no spelling hides one of them.
var refusedFields = []string{"content-length", "transfer-encoding", "expect", "upgrade", "close"}

// isSimple reports whether the head is that of a request that can be served on a
// connection of its own: idempotent, without a body, and for a connection that stays open.
func isSimple(head []byte) bool {
	line, fields, _ := strings.Cut(string(head), "\n")
	line = strings.TrimSuffix(line, "\r")
	if !strings.HasSuffix(line, " HTTP/1.1") {
		return false
	}
	if !strings.HasPrefix(line, "GET ") && !strings.HasPrefix(line, "HEAD ") {
		return false
	}
	fields = strings.ToLower(fields)
	for _, refused := range refusedFields {
		if strings.Contains(fields, refused) {
			return false
		}
	}
	return true
}
