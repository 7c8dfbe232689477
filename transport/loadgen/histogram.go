package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures sum up a distribution.
type Summary struct {
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
	significantDigits   = 3
	maxTimeMicros       = int64(time.Hour / time.Microsecond)
	ratioScale          = 1000
	maxRatioThousandths = 1_000_000 * ratioScale
	timeScale           = int64(time.Millisecond / time.Microsecond)
)

// histogram records values in whole units; per is how many make one of the
// report's.
type histogram struct {
	hdr   *hdrhistogram.Histogram
	scale float64
}

func timeHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxTimeMicros, significantDigits), float64(timeScale)}
}

func ratioHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxRatioThousandths, significantDigits), ratioScale}
}

func (h *histogram) recordTime(d time.Duration) { h.recordValue(d.Microseconds()) }

func (h *histogram) recordRatio(a, b time.Duration) {
	h.recordValue(int64(ratioScale * float64(a) / float64(max(b, time.Microsecond))))
}

// value clamps to what the histogram can hold, so that nothing falls out.
func (h *histogram) recordValue(v int64) {
	if err := h.hdr.RecordValue(min(max(v, 0), h.hdr.HighestTrackableValue())); err != nil {
		panic(err) // the value was clamped
	}
}

func (h *histogram) summary() Summary {
	at := func(percentile float64) float64 { return float64(h.hdr.ValueAtPercentile(percentile)) / h.scale }
	f := Summary{Count: h.hdr.TotalCount()}
	if f.Count > 0 {
		f.Mean, f.P50, f.P90, f.P95, f.P99 = h.hdr.Mean()/h.scale, at(50), at(90), at(95), at(99)
		f.Max = float64(h.hdr.Max()) / h.scale
	}
	return f
}

// summaries gathers the distributions of a run.
type histograms struct {
	response, ideal, lostToPacked, sendLag histogram
	ratio, overPacked                      histogram
}

func (s *histograms) add(r *record, row *Row) {
	if s.response.hdr == nil {
		*s = histograms{timeHistogram(), timeHistogram(), timeHistogram(), timeHistogram(), ratioHistogram(), ratioHistogram()}
	}
	for _, p := range []*reply{&r.first, &r.second, &r.cancellation} {
		if p.made {
			s.sendLag.recordTime(p.sent - p.due)
		}
	}
	if !r.first.complete() {
		return
	}
	s.response.recordTime(row.Response.D())
	s.ideal.recordTime(row.Ideal.D())
	s.ratio.recordRatio(row.Response.D(), row.Ideal.D())
	s.overPacked.recordRatio(row.Response.D(), row.Packed.D())
	s.lostToPacked.recordTime(row.Response.D() - row.Packed.D())
}

func (s *histograms) fillReport(r *Report) {
	if s.response.hdr == nil {
		return
	}
	r.Response, r.Ideal, r.SendLag = s.response.summary(), s.ideal.summary(), s.sendLag.summary()
	r.Ratio, r.OverPacked, r.LostToPacked = s.ratio.summary(), s.overPacked.summary(), s.lostToPacked.summary()
}
