package model

import (
	"fmt"
	"strings"
	"time"
)

// maxTraceLines is the minimum number of most recent trace lines that are kept; at most twice as
// many are.
const maxTraceLines = 20_000

// traceLine is one line of a world's trace, which shows what led to a violation.
type traceLine struct {
	at   time.Duration
	text string
}

func (w *world) trace(format string, args ...any) {
	line := traceLine{w.now - time.Hour, fmt.Sprintf(format, args...)}
	w.traceLines = append(w.traceLines, line)
	if w.onTrace != nil {
		w.onTrace(fmt.Sprint(line.at, " ", line.text))
	}
	if len(w.traceLines) > 2*maxTraceLines {
		w.traceLines = append([]traceLine{}, w.traceLines[maxTraceLines:]...)
	}
}

// traceOf returns the most recent lines, at most limit, that contain name or describe an event of
// the whole world; these begin with "- ".
func (w *world) traceOf(name string, limit int) string {
	var out []string
	for i := len(w.traceLines) - 1; i >= 0 && len(out) < limit; i-- {
		if l := w.traceLines[i]; strings.Contains(l.text, name) || strings.HasPrefix(l.text, "- ") {
			out = append([]string{fmt.Sprint(l.at, " ", l.text)}, out...)
		}
	}
	return strings.Join(out, "\n")
}
