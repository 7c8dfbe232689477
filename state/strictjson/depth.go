package strictjson

import "bytes"

// exceedsMaxDepth reports whether src nests deeper than MaxDepth, and the offset of
// the first bracket that does. It skips strings and comments and leaves all syntax
// errors to the parser.
func exceedsMaxDepth(src []byte) (offset int, deep bool) {
	depth := 0
	for i := 0; i < len(src); {
		switch src[i] {
		case '{', '[':
			depth++
			if depth > MaxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		case '"':
			i += stringLength(src[i:])
			continue
		case '/':
			i += commentLength(src[i:])
			continue
		}
		i++
	}
	return 0, false
}

// stringLength returns the length in bytes of the string literal at the start of
// src, or of all of src if the literal does not end.
func stringLength(src []byte) int {
	for i := 1; i < len(src); i++ {
		switch src[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(src)
}

// commentLength returns the length in bytes of the comment at the start of src, or
// 1 if src does not start with a comment.
func commentLength(src []byte) int {
	end := []byte(nil)
	switch {
	case bytes.HasPrefix(src, []byte("//")):
		end = []byte("\n")
	case bytes.HasPrefix(src, []byte("/*")):
		end = []byte("*/")
	default:
		return 1
	}
	const opening = 2
	n := bytes.Index(src[opening:], end)
	if n < 0 {
		return len(src)
	}
	return opening + n + len(end)
}
