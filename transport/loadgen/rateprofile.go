package loadgen

import "time"

// rateProfile maps nominal time, in which the arrival rate is constant, to the time
// of a run whose phases change the rate. Without phases both are the same, so that
// the same seed draws the same jobs.
type rateProfile struct{ segments []segment }

// segment is a part of the run with a constant rate, relative to the rate outside of
// phases. nominalStart is the nominal time at its start.
type segment struct {
	from, to     time.Duration
	rate         float64
	nominalStart float64
}

func newRateProfile(length time.Duration, phases []Phase) rateProfile {
	var r rateProfile
	at := time.Duration(0)
	for _, p := range phases {
		r.add(at, p.At.D(), 1)
		at = p.At.D() + p.For.D()
		r.add(p.At.D(), at, p.Rate)
	}
	r.add(at, length, 1)
	return r
}

// add appends a segment unless it is empty.
func (r *rateProfile) add(from, to time.Duration, rate float64) {
	if to > from {
		r.segments = append(r.segments, segment{from, to, rate, float64(r.nominalLength())})
	}
}

// nominalEnd returns the nominal time at the end of the segment, in nanoseconds.
func (s *segment) nominalEnd() float64 { return s.nominalStart + s.rate*float64(s.to-s.from) }

// nominalLength returns the length of the run in nominal time.
func (r rateProfile) nominalLength() time.Duration {
	if len(r.segments) == 0 {
		return 0
	}
	return time.Duration(r.segments[len(r.segments)-1].nominalEnd())
}

// runTime converts nominal time to the time from the start of the run. The result
// is before the end of the run if nominal is less than nominalLength.
func (r rateProfile) runTime(nominal time.Duration) time.Duration {
	for i := range r.segments {
		s := &r.segments[i]
		if float64(nominal) < s.nominalEnd() {
			return s.from + time.Duration((float64(nominal)-s.nominalStart)/s.rate)
		}
	}
	return r.segments[len(r.segments)-1].to
}
