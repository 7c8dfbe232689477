package strictjson

import "bytes"

// tooDeep finds the first bracket that nests deeper than MaxDepth. It skips
// strings and comments and leaves every other fault to the parser.
func tooDeep(src []byte) (offset int, deep bool) {
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

// stringLength returns the length of the string literal that src starts with.
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

// commentLength returns the length of the comment that src starts with, or 1
// if it is none.
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
