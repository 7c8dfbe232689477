package loadgen

import "time"

// warp maps steady time, in which arrivals come at one rate, onto the time of a
// run whose phases change the rate. Without phases both are the same, so that
// a seed draws the same jobs.
type warp struct{ pieces []piece }

// piece is a stretch of the run with one rate; steady is where it begins in
// steady time.
type piece struct {
	from, to time.Duration
	rate     float64
	steady   float64
}

func newWarp(length time.Duration, phases []Phase) warp {
	var w warp
	at := time.Duration(0)
	for _, p := range phases {
		w.add(at, p.At.D(), 1)
		at = p.At.D() + p.For.D()
		w.add(p.At.D(), at, p.Rate)
	}
	w.add(at, length, 1)
	return w
}

func (w *warp) add(from, to time.Duration, rate float64) {
	if to > from {
		w.pieces = append(w.pieces, piece{from, to, rate, float64(w.total())})
	}
}

func (p *piece) end() float64 { return p.steady + p.rate*float64(p.to-p.from) }

// total returns how much steady time the run has.
func (w warp) total() time.Duration {
	if len(w.pieces) == 0 {
		return 0
	}
	return time.Duration(w.pieces[len(w.pieces)-1].end())
}

// at returns when in the run a moment of steady time is. It is before the end
// for a moment before total.
func (w warp) at(steady time.Duration) time.Duration {
	for i := range w.pieces {
		p := &w.pieces[i]
		if float64(steady) < p.end() {
			return p.from + time.Duration((float64(steady)-p.steady)/p.rate)
		}
	}
	return w.pieces[len(w.pieces)-1].to
}
