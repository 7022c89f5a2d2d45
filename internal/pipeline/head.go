package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
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

// maxLengthDigits bounds the digits of a body's length that is interpreted here.
const maxLengthDigits = 15

// foreignFields are parts of header fields with which the end of a request is left to
// net/http, and refusedFields those with which a request is not split off: also those of a
// body. They are searched for in the whole head, in lower case, so that no spelling hides
// one of them.
var (
	foreignFields = []string{"transfer-encoding", "expect", "upgrade", "close"}
	refusedFields = append([]string{lengthField}, foreignFields...)
)

// lengthField is the name of the field with a body's length, in lower case.
const lengthField = "content-length"

// isSimple reports whether the head is that of a request that can be served on a
// connection of its own: idempotent, without a body, and for a connection that stays open.
func isSimple(head []byte) bool {
	line, fields, ok := splitHead(head)
	if !ok || !strings.HasPrefix(line, "GET ") && !strings.HasPrefix(line, "HEAD ") {
		return false
	}
	return !containsAny(fields, refusedFields)
}

// isAccepted reports whether net/http accepts the head. After one that it refuses it closes the
// connection, so that requests behind it would get no answer.
func isAccepted(head []byte) bool {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || r.Host == "" || !httpguts.ValidHostHeader(r.Host) {
		return false
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) || !allValid(values) {
			return false
		}
	}
	return true
}

func allValid(values []string) bool {
	return !slices.ContainsFunc(values, func(value string) bool { return !httpguts.ValidHeaderFieldValue(value) })
}

// bodyLength returns the length of the body behind the head, for a connection that stays
// open. It returns false if the length is not given in one plain field.
func bodyLength(head []byte) (int, bool) {
	_, fields, ok := splitHead(head)
	if !ok || containsAny(fields, foreignFields) {
		return 0, false
	}
	before, after, found := strings.Cut(fields, lengthField)
	if !found {
		return 0, true
	}
	value, rest, _ := strings.Cut(after, "\n")
	digits, isPlain := strings.CutPrefix(strings.TrimSuffix(value, "\r"), ": ")
	startsLine := before == "" || strings.HasSuffix(before, "\n")
	if !isPlain || !startsLine || strings.Contains(rest, lengthField) || len(digits) > maxLengthDigits {
		return 0, false
	}
	length, err := strconv.ParseUint(digits, 10, 63)
	return int(length), err == nil
}

// splitHead returns the request line and, in lower case, the fields. It returns false
// unless the request is of HTTP/1.1.
func splitHead(head []byte) (line, fields string, ok bool) {
	line, fields, _ = strings.Cut(string(head), "\n")
	line = strings.TrimSuffix(line, "\r")
	return line, strings.ToLower(fields), strings.HasSuffix(line, " HTTP/1.1")
}

func containsAny(text string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(text, part) })
}
