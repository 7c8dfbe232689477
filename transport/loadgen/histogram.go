package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is the summary of a distribution. The unit depends on the field of the
// report.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// The histograms have a resolution of three significant digits. They record times
// in microseconds up to one hour and ratios in thousandths up to one million.
const (
	significantDigits   = 3
	maxTimeMicros       = int64(time.Hour / time.Microsecond)
	ratioScale          = 1000
	maxRatioThousandths = 1_000_000 * ratioScale
	timeScale           = int64(time.Millisecond / time.Microsecond)
)

// histogram records integer values.
type histogram struct {
	hdr *hdrhistogram.Histogram
	// scale is the number of recorded units in one unit of the report.
	scale float64
}

func timeHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxTimeMicros, significantDigits), float64(timeScale)}
}

func ratioHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxRatioThousandths, significantDigits), ratioScale}
}

func (h *histogram) recordTime(d time.Duration) { h.recordValue(d.Microseconds()) }

// recordRatio records a divided by b, where b counts as at least one microsecond.
func (h *histogram) recordRatio(a, b time.Duration) {
	h.recordValue(int64(ratioScale * float64(a) / float64(max(b, time.Microsecond))))
}

// recordValue records v. Values outside the histogram's range are clamped to it
// rather than dropped.
func (h *histogram) recordValue(v int64) {
	if err := h.hdr.RecordValue(min(max(v, 0), h.hdr.HighestTrackableValue())); err != nil {
		panic(err) // the value was clamped
	}
}

// summary returns the summary in units of the report.
func (h *histogram) summary() Summary {
	at := func(percentile float64) float64 { return float64(h.hdr.ValueAtPercentile(percentile)) / h.scale }
	f := Summary{Count: h.hdr.TotalCount()}
	if f.Count > 0 {
		f.Mean, f.P50, f.P90, f.P95, f.P99 = h.hdr.Mean()/h.scale, at(50), at(90), at(95), at(99)
		f.Max = float64(h.hdr.Max()) / h.scale
	}
	return f
}

// histograms has the distributions of one load.
type histograms struct {
	response, ideal, lostToPacked, sendLag histogram
	ratio, overPacked                      histogram
}

// add records the send lag of all calls for a job. If its first submission was
// answered completely, it also records the response times.
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

// fillReport sets the summaries of a report.
func (s *histograms) fillReport(r *Report) {
	if s.response.hdr == nil {
		return
	}
	r.Response, r.Ideal, r.SendLag = s.response.summary(), s.ideal.summary(), s.sendLag.summary()
	r.Ratio, r.OverPacked, r.LostToPacked = s.ratio.summary(), s.overPacked.summary(), s.lostToPacked.summary()
}
