package strictjson

import "bytes"

// MaxDepth is the maximum nesting depth of arrays and objects. The parser is
// recursive: without a limit, a malicious file could exhaust the stack.
const MaxDepth = 32

// tooDeepOffset returns the offset of the first bracket that exceeds MaxDepth, or
// -1. Brackets in strings and comments don't count.
func tooDeepOffset(source []byte) int {
	depth := 0
	for i := 0; i < len(source); i++ {
		switch source[i] {
		case '{', '[':
			depth++
			if depth > MaxDepth {
				return i
			}
		case '}', ']':
			depth--
		case '"':
			i = endOfString(source, i)
		case '/':
			i = endOfComment(source, i)
		}
	}
	return -1
}

// endOfString returns the offset of the quote that closes the string at start, or
// of a line break if that comes first, or else the length of source.
func endOfString(source []byte, start int) int {
	for i := start + 1; i < len(source); i++ {
		switch source[i] {
		case '\\':
			i++
		case '"', '\n':
			return i
		}
	}
	return len(source)
}

// endOfComment returns the offset of the last byte of the comment at start, or
// start if no comment begins there. An unterminated comment ends at or after the
// end of source.
func endOfComment(source []byte, start int) int {
	if start+1 >= len(source) {
		return start
	}
	switch source[start+1] {
	case '/':
		return indexFrom(source, start, "\n")
	case '*':
		return indexFrom(source, start+2, "*/") + 1
	default:
		return start
	}
}

// indexFrom returns the offset of the first text at or after start, or the length
// of source if there is none.
func indexFrom(source []byte, start int, text string) int {
	if start >= len(source) {
		return len(source)
	}
	if i := bytes.Index(source[start:], []byte(text)); i >= 0 {
		return start + i
	}
	return len(source)
}
