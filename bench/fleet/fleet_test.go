package main

import (
	"testing"

	"github.com/matryer/is"
)

// A program's name in /proc may hold blanks and brackets; counted from the front,
// processor time would be another field.
func TestProcessorTimeBehindAnOddName(t *testing.T) {
	is := is.New(t)
	s, err := cpuSeconds("7 (a b) S 1 7 7 0 -1 4194304 1 0 0 0 250 150 0 0 20 0 9 0 100 1 1\n")
	is.NoErr(err)
	is.Equal(s, 4.0)
	_, err = cpuSeconds("7 S 1")
	is.True(err != nil)
}

func TestSeriesAreAddedUp(t *testing.T) {
	is := is.New(t)
	got := sums("# HELP x y\nx{kind=\"a\"} 1\nx{kind=\"b c\"} 2.5e+01\nb{direction=\"in\"} 3\nb{direction=\"out\"} 4\nplain 5\n")
	is.Equal(got, map[string]float64{"x": 26, "b in": 3, "b out": 4, "plain": 5})
}

func TestFiguresAreMeansAndSums(t *testing.T) {
	is := is.New(t)
	before := []sample{{cpuSeconds: 1}, {cpuSeconds: 2}}
	after := []sample{
		{cpuSeconds: 2, residentKB: 1000, metrics: map[string]float64{"shallotstep_link_bytes_total out": 600}},
		{cpuSeconds: 5, residentKB: 3000, metrics: map[string]float64{"shallotstep_link_bytes_total out": 200}},
	}
	r := figures(before, after, 10, 100)
	is.Equal(r.CPUPercent, 20.0)
	is.Equal(r.MicrosPerStart, 40000.0)
	is.Equal(r.ResidentMB, 2.048)
	is.Equal(r.SentBytesPerSec, 40.0)
	is.Equal(r.BytesPerStart, 8.0)
}

func TestStatusOfAProcess(t *testing.T) {
	is := is.New(t)
	status := "Name:\tx\nVmRSS:\t   38912 kB\nvoluntary_ctxt_switches:\t40\nnonvoluntary_ctxt_switches:\t2\n"
	is.Equal(statusValue(status, "VmRSS"), 38912.0)
	is.Equal(statusValue(status, "voluntary_ctxt_switches"), 40.0)
	is.Equal(statusValue(status, "Absent"), 0.0)
}
