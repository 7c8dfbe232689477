package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// scrapeLimit bounds one look at /metrics.
const scrapeLimit = 10 * time.Second

// clockTicks is the unit of processor times in /proc: user space always sees
// 100 a second on Linux.
const clockTicks = 100

// sample is what one process had used and held at one time.
type sample struct {
	cpuSeconds float64
	// switches counts how often the threads were woken up after a wait.
	switches   float64
	residentKB float64
	// metrics holds the sums of the process's counters by name, over labels;
	// for those with a direction, name and direction.
	metrics map[string]float64
}

func take(ctx context.Context, p *process) (sample, error) {
	dir := fmt.Sprintf("/proc/%d", p.pid())
	var s sample
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return s, errors.Wrap(err, "processor time")
	}
	if s.cpuSeconds, err = cpuSeconds(string(stat)); err != nil {
		return s, err
	}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return s, errors.Wrap(err, "memory")
	}
	s.residentKB = statusValue(string(status), "VmRSS")
	threads, err := filepath.Glob(filepath.Join(dir, "task/*/status"))
	if err != nil {
		return s, errors.Wrap(err, "threads")
	}
	for _, path := range threads {
		// A thread that has ended meanwhile counts nothing.
		if status, err := os.ReadFile(path); err == nil {
			s.switches += statusValue(string(status), "voluntary_ctxt_switches")
		}
	}
	if p.http != "" {
		s.metrics, err = scrape(ctx, p.http)
	}
	return s, err
}

// cpuSeconds reads user and system time, the 14th and 15th field of stat. The
// second is the program's name in brackets and may hold blanks.
func cpuSeconds(stat string) (float64, error) {
	_, rest, ok := strings.Cut(stat, ") ")
	fields := strings.Fields(rest)
	const user, system = 14 - 3, 15 - 3
	if !ok || len(fields) <= system {
		return 0, errors.Errorf("stat has the form %q", stat)
	}
	u, err := strconv.ParseFloat(fields[user], 64)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	s, err := strconv.ParseFloat(fields[system], 64)
	return (u + s) / clockTicks, errors.WithStack(err)
}

// statusValue reads a number of /proc's status; 0 if it isn't there.
func statusValue(status, key string) float64 {
	for line := range strings.Lines(status) {
		name, value, _ := strings.Cut(line, ":")
		if name != key {
			continue
		}
		n, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
		if err != nil {
			return 0
		}
		return n
	}
	return 0
}

func scrape(ctx context.Context, addr string) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("metrics: status %d, %v", resp.StatusCode, err)
	}
	return sums(string(text)), nil
}

// sums adds up the series of each name in the text form of metrics.
func sums(text string) map[string]float64 {
	out := make(map[string]float64)
	for line := range strings.Lines(text) {
		at := strings.LastIndexByte(line, ' ')
		if at < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(line[at:]), 64)
		if err != nil {
			continue
		}
		name, labels, _ := strings.Cut(line[:at], "{")
		if _, direction, ok := strings.Cut(labels, `direction="`); ok {
			direction, _, _ = strings.Cut(direction, `"`)
			name += " " + direction
		}
		out[name] += value
	}
	return out
}
