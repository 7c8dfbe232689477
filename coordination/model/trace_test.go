package model

import (
	"fmt"
	"strings"
	"time"
)

// history is how many of the last lines of a world's life are kept.
const maxTraceLines = 20_000

// traceLine is one line of a world's life. Machines iterate over maps, so a seed
// doesn't give the same life twice: what led to a fault is kept instead.
type traceLine struct {
	at   time.Duration
	text string
}

func (w *world) trace(format string, args ...any) {
	w.traceLines = append(w.traceLines, traceLine{w.now - time.Hour, fmt.Sprintf(format, args...)})
	if len(w.traceLines) > 2*maxTraceLines {
		w.traceLines = append([]traceLine{}, w.traceLines[maxTraceLines:]...)
	}
}

// tail returns the last lines that concern a name.
func (w *world) traceOf(name string, limit int) string {
	var out []string
	for i := len(w.traceLines) - 1; i >= 0 && len(out) < limit; i-- {
		if l := w.traceLines[i]; strings.Contains(l.text, name) || strings.HasPrefix(l.text, "- ") {
			out = append([]string{fmt.Sprint(l.at, " ", l.text)}, out...)
		}
	}
	return strings.Join(out, "\n")
}
