package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start in milliseconds.
type record struct {
	began time.Time

	mu  sync.Mutex
	out *bufio.Writer // guarded by mu
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), out: bufio.NewWriter(f)}, nil
}

// now returns the time since the start.
func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%7d ", r.now().Milliseconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// sayf writes a line to the record and to standard output.
func (r *record) sayf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
