package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

var processStart = time.Now()

// sinceStart returns the time since the start of this process.
func sinceStart() time.Duration { return time.Since(processStart) }

// record writes what was sent, answered and run.
type record struct {
	mu sync.Mutex
	// All fields below are guarded by mu.

	file       *os.File
	out        *bufio.Writer
	violations []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f)}, nil
}

// add writes a line with the time.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) addLocked(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f  ", sinceStart().Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// violation writes a line and makes the case fail.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.addLocked("BROKEN: %s", text)
	fmt.Println("BROKEN:", text)
}

// close ends the record and returns the number of violations.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()  //nolint:errcheck // reported by the missing lines
	r.file.Close() //nolint:errcheck // the record is complete
	return len(r.violations)
}
