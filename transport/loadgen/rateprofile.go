package loadgen

import "time"

// warp maps steady time, in which arrivals come at one rate, onto the time of a
// run whose phases change the rate. Without phases both are the same, so that
// a seed draws the same jobs.
type rateProfile struct{ segments []segment }

// piece is a stretch of the run with one rate; steady is where it begins in
// steady time.
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

func (r *rateProfile) add(from, to time.Duration, rate float64) {
	if to > from {
		r.segments = append(r.segments, segment{from, to, rate, float64(r.nominalLength())})
	}
}

func (s *segment) nominalEnd() float64 { return s.nominalStart + s.rate*float64(s.to-s.from) }

// total returns how much steady time the run has.
func (r rateProfile) nominalLength() time.Duration {
	if len(r.segments) == 0 {
		return 0
	}
	return time.Duration(r.segments[len(r.segments)-1].nominalEnd())
}

// at returns when in the run a moment of steady time is. It is before the end
// for a moment before total.
func (r rateProfile) runTime(nominal time.Duration) time.Duration {
	for i := range r.segments {
		s := &r.segments[i]
		if float64(nominal) < s.nominalEnd() {
			return s.from + time.Duration((float64(nominal)-s.nominalStart)/s.rate)
		}
	}
	return r.segments[len(r.segments)-1].to
}
