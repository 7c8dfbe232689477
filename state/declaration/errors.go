package declaration

import (
	"fmt"
	"slices"
	"strings"
)

// maxErrors bounds how many errors of one file are reported.
const maxErrors = 50

// FileError is one fault of a file.
type FileError struct {
	// File is the name the file was parsed under.
	File string
	// Line counts from 1.
	Line int
	// Key is the path of the value at fault, such as services[0].quota; empty
	// for a fault of the whole file.
	Key     string
	Message string
}

// Error implements error.
func (e *FileError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Message)
}

// ErrorList is every fault found in a file, by line.
type ErrorList []*FileError

// Error implements error: one fault per line.
func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

func (l ErrorList) sorted() ErrorList {
	slices.SortStableFunc(l, func(a, b *FileError) int { return a.Line - b.Line })
	if len(l) > maxErrors {
		l = l[:maxErrors]
	}
	return l
}
