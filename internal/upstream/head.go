package upstream

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// readFinalResponse reads the head of a response and skips informational (1xx) ones. It
// returns errHeadTooLarge if they exceed maxHead.
func readFinalResponse(connection *conn, request *http.Request) (*http.Response, error) {
	connection.beginHead()
	defer connection.endHead()
	for {
		response, err := readResponse(connection, request)
		if err != nil {
			return nil, err
		}
		if connection.lines.found {
			return nil, errIndentedField
		}
		if err := checkHead(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// oldVersion begins a response of HTTP/1.0.
const oldVersion = "HTTP/1.0"

// errVersion is returned for a response of another version than HTTP/1.0 and 1.x, or of HTTP/1.0
// with a Transfer-Encoding: its end is not known.
var errVersion = errors.New("response of HTTP/1.0 with Transfer-Encoding, or of another version than HTTP/1")

// readResponse reads the head of a response of HTTP/1.1 or HTTP/1.0. One of HTTP/1.0 is read
// as one of HTTP/1.1: package http would ignore its Transfer-Encoding, for which it is
// rejected. Its connection is not reused.
func readResponse(connection *conn, request *http.Request) (*http.Response, error) {
	connection.beginLines()
	version, err := connection.reader.Peek(len(oldVersion))
	old := err == nil && string(version) == oldVersion
	if old {
		connection.replaceBuffered("HTTP/1.1")
	}
	response, err := http.ReadResponse(connection.reader, request)
	if err != nil {
		return nil, err
	}
	if response.ProtoMajor != 1 || response.ProtoMinor < 1 || old && len(response.TransferEncoding) > 0 {
		return nil, errVersion
	}
	response.Close = response.Close || old
	return response, nil
}

// errIndentedField is returned for a head with a field whose line begins with a blank.
var errIndentedField = errors.New("a line of the head with a field begins with a blank")

// lineScanner finds a field whose line begins with a blank in a head whose bytes arrive in parts.
// Package http takes such a line for the rest of the one before, so that a Content-Length there, or
// a signature before it, would be lost. One without a colon is a folded line.
type lineScanner struct {
	// ended is set behind the empty line that ends the head.
	ended bool
	// inLine is set within a line, first until the end of the first one, and indented in one that
	// begins with a blank.
	inLine, first, indented bool
	// found is set once there is such a field.
	found bool
}

func newLineScanner() lineScanner { return lineScanner{first: true} }

// scan scans the next bytes. It ignores those behind the head.
func (s *lineScanner) scan(part []byte) {
	for i := 0; i < len(part) && !s.ended; i++ {
		switch c := part[i]; c {
		case '\n':
			s.ended = !s.inLine
			s.inLine, s.first, s.indented = false, false, false
		case '\r':
		default:
			blank := c == ' ' || c == '\t'
			s.indented = s.indented || blank && !s.inLine && !s.first
			s.found = s.found || s.indented && c == ':'
			s.inLine = true
		}
	}
}

// statusDigits is the number of digits of a status.
const statusDigits = 3

// checkHead rejects a head that package http takes, although what it means is not known.
func checkHead(response *http.Response) error {
	if err := checkStatus(response); err != nil {
		return err
	}
	return CheckHeaderNames(response.Header)
}

// checkStatus rejects a status that is none, one that was not asked for, and an informational
// response with a body: what follows its head would be taken for the next response.
func checkStatus(response *http.Response) error {
	// Package http takes any number of three characters, also "+20" or "000".
	for _, digit := range []byte(response.Status[:statusDigits]) {
		if digit < '0' || digit > '9' {
			return fmt.Errorf("status %q is no number of %d digits", response.Status[:statusDigits], statusDigits)
		}
	}
	length := response.Header.Get("Content-Length")
	hasBody := length != "" && length != "0" || len(response.TransferEncoding) > 0
	switch {
	case response.StatusCode < http.StatusContinue:
		return fmt.Errorf("status %q is below %d", response.Status[:statusDigits], http.StatusContinue)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("the protocol was switched without being asked")
	case response.StatusCode < http.StatusOK && hasBody:
		return errors.New("informational response with a body")
	case !httpguts.ValidHeaderFieldValue(response.Status):
		return errors.New("control character in the reason of a status")
	}
	return nil
}

// CheckHeaderNames rejects names that are not valid. Package http keeps a space before the
// colon as part of the name, so that it does not know a Content-Length or Transfer-Encoding
// there: an answer that ends early would look complete.
func CheckHeaderNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("invalid header name %q", name)
		}
	}
	return nil
}
