package strictjson

import "bytes"

// MaxDepth is how deep arrays and objects may be nested. The parser recurses,
// so that without a limit a hostile file could exhaust the stack.
const MaxDepth = 32

// tooDeep returns the offset at which source is nested more than MaxDepth
// deep, or -1. Brackets inside strings and comments do not count.
func tooDeep(source []byte) int {
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

// endOfString returns the offset of the quote that closes the string at start.
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
// start when none begins there.
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

// indexFrom returns the offset of text at or after start, or the length of
// source when it is not there.
func indexFrom(source []byte, start int, text string) int {
	if start >= len(source) {
		return len(source)
	}
	if i := bytes.Index(source[start:], []byte(text)); i >= 0 {
		return start + i
	}
	return len(source)
}
