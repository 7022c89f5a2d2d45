package manifest

import (
	"net/url"
	"strconv"
	"strings"
)

// PathOf returns the path of a request's target as it is sent, without the query: that is what
// the upstream gets. Parsed is the target as package net/url reads it, which holds the path of a
// target in absolute form.
func PathOf(target string, parsed *url.URL) string {
	if !strings.HasPrefix(target, "/") {
		return parsed.EscapedPath()
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// normalizePath returns the normal form of an encoded path (RFC 3986, section 6.2.2): two paths
// have the same one if and only if they are equivalent. Unreserved characters are not encoded,
// and all characters that a path cannot hold are. An encoded slash is data and stays encoded: only
// a slash separates segments.
func normalizePath(path string) string {
	if isNormalPath(path) {
		return path
	}
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		c, encoded := decodedAt(path, i)
		if encoded {
			i += len("%2F") - 1
		}
		if isUnreserved(c) || !encoded && isPathDelimiter(c) {
			out.WriteByte(c)
			continue
		}
		out.WriteByte('%')
		out.WriteByte(upperHex[c>>4])
		out.WriteByte(upperHex[c&0xf])
	}
	return out.String()
}

// isNormalPath reports whether a path has only characters that stand for themselves.
func isNormalPath(path string) bool {
	for i := range len(path) {
		if !isUnreserved(path[i]) && !isPathDelimiter(path[i]) {
			return false
		}
	}
	return true
}

const upperHex = "0123456789ABCDEF"

// decodedAt returns the character at an index of an encoded path, and whether it is encoded there.
func decodedAt(path string, i int) (c byte, encoded bool) {
	if path[i] != '%' || i+2 >= len(path) {
		return path[i], false
	}
	value, err := strconv.ParseUint(path[i+1:i+3], 16, 8)
	if err != nil {
		return path[i], false
	}
	return byte(value), true
}

// isUnreserved reports whether a character means the same whether or not it is encoded.
func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}

// isPathDelimiter reports whether a character may stand in a path and means another thing when it is
// encoded.
func isPathDelimiter(c byte) bool { return strings.IndexByte("/!$&'()*+,;=:@", c) >= 0 }
