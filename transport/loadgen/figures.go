package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures sum up a distribution.
type Figures struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// The resolution of the histograms: microseconds up to an hour, ratios in
// thousandths up to a million, both to three digits.
const (
	digits     = 3
	maxTime    = int64(time.Hour / time.Microsecond)
	ratioUnits = 1000
	maxRatio   = 1_000_000 * ratioUnits
	timeUnits  = int64(time.Millisecond / time.Microsecond)
)

// histogram records values in whole units; per is how many make one of the
// report's.
type histogram struct {
	h   *hdrhistogram.Histogram
	per float64
}

func timeHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxTime, digits), float64(timeUnits)}
}

func ratioHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxRatio, digits), ratioUnits}
}

func (h *histogram) time(d time.Duration) { h.value(d.Microseconds()) }

func (h *histogram) ratio(a, b time.Duration) {
	h.value(int64(ratioUnits * float64(a) / float64(max(b, time.Microsecond))))
}

// value clamps to what the histogram can hold, so that nothing falls out.
func (h *histogram) value(v int64) {
	if err := h.h.RecordValue(min(max(v, 0), h.h.HighestTrackableValue())); err != nil {
		panic(err) // the value was clamped
	}
}

func (h *histogram) figures() Figures {
	at := func(percentile float64) float64 { return float64(h.h.ValueAtPercentile(percentile)) / h.per }
	f := Figures{Count: h.h.TotalCount()}
	if f.Count > 0 {
		f.Mean, f.P50, f.P90, f.P95, f.P99 = h.h.Mean()/h.per, at(50), at(90), at(95), at(99)
		f.Max = float64(h.h.Max()) / h.per
	}
	return f
}

// summaries gathers the distributions of a run.
type summaries struct {
	response, ideal, lost, lag histogram
	ratio, overPacked          histogram
}

func (s *summaries) add(r *record, row *Row) {
	if s.response.h == nil {
		*s = summaries{timeHistogram(), timeHistogram(), timeHistogram(), timeHistogram(), ratioHistogram(), ratioHistogram()}
	}
	for _, p := range []*reply{&r.first, &r.second, &r.stop} {
		if p.made {
			s.lag.time(p.sent - p.due)
		}
	}
	if !r.first.complete() {
		return
	}
	s.response.time(row.Response.D())
	s.ideal.time(row.Ideal.D())
	s.ratio.ratio(row.Response.D(), row.Ideal.D())
	s.overPacked.ratio(row.Response.D(), row.Packed.D())
	s.lost.time(row.Response.D() - row.Packed.D())
}

func (s *summaries) into(r *Report) {
	if s.response.h == nil {
		return
	}
	r.Response, r.Ideal, r.SendLag = s.response.figures(), s.ideal.figures(), s.lag.figures()
	r.Ratio, r.OverPacked, r.LostToPacked = s.ratio.figures(), s.overPacked.figures(), s.lost.figures()
}
