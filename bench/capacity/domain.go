package main

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/member"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	// lossStep is the resolution of virtual time: a record that is appended in
	// one step is read by all in the next.
	lossStep  = 500 * time.Millisecond
	lossAfter = 20 * time.Second
	lossLimit = 10 * time.Minute
	// snapshotEvery is what a daemon takes with the default retention.log.
	snapshotEvery = 6 * time.Hour
)

// measureDomain loses one of the two failure domains of a region and lets the
// others evict it. A share grants again when both of its pair are alive, once
// the claims have been pulled, which isn't in it.
func measureDomain(t *table) {
	for _, lost := range []string{"domain-0", "domain-1"} {
		l := newLoss(lost)
		l.run()
		prefix := "loss of " + lost + ", "
		t.add(prefix+"members to evict", float64(l.dead), "")
		t.add(prefix+"first eviction after", l.first.Seconds(), "s")
		t.add(prefix+"last eviction after", l.last.Seconds(), "s")
		t.add(prefix+"half of the shares have a living pair after", l.half.Seconds(), "s")
		t.add(prefix+"all of them after", l.all.Seconds(), "s")
		t.add(prefix+"records appended", float64(l.appends), "")
		t.add(prefix+"most appends in a second", float64(l.most), "")
		mean, most := l.pulls()
		t.add(prefix+"shares that a survivor pulls, mean", mean, "")
		t.add(prefix+"shares that a survivor pulls, most", most, "")
		addGuarded(t, prefix+"shares that a survivor guards", l.roster)
	}
}

// loss is one region with its roster in virtual time.
type loss struct {
	now      time.Time
	lost     string
	before   *roster.Roster
	roster   *roster.Roster
	machines []*member.Machine
	written  [][]byte // since the last step
	dead     int

	first, last, half, all time.Duration
	appends, most          int
	bySecond               map[int64]int
}

func newLoss(lost string) *loss {
	l := &loss{now: start, lost: lost, roster: roster.New(), bySecond: make(map[int64]int)}
	for _, m := range members() {
		l.roster = mustApply(l.roster, l.roster.Offset()+1, encode(roster.Join{Member: m}))
	}
	l.before = l.roster
	for _, m := range members() {
		switch {
		case m.Region != regionName(0):
		case m.Domain == lost:
			l.dead++
		default:
			l.machines = append(l.machines, member.New(member.Options{
				Self: m, Heard: l.heard, Seed: uint64(len(l.machines)), SnapshotEvery: snapshotEvery,
			}))
		}
	}
	l.tell()
	return l
}

func (l *loss) isDead(id state.NodeID) bool {
	m, ok := l.before.Member(id)
	return ok && m.Region == regionName(0) && m.Domain == l.lost
}

func (l *loss) heard(id state.NodeID) (time.Time, bool) {
	if at := start.Add(lossAfter); l.isDead(id) && l.now.After(at) {
		return at, true
	}
	return l.now, true
}

func (l *loss) tell() {
	for _, m := range l.machines {
		m.Roster(l.now, l.roster)
	}
}

func (l *loss) run() {
	for l.all == 0 && l.now.Sub(start) < lossLimit {
		l.now = l.now.Add(lossStep)
		l.read()
		for _, m := range l.machines {
			for _, act := range m.Tick(l.now) {
				l.append(act)
			}
		}
	}
}

func (l *loss) append(act coordination.Action) {
	a, ok := act.(coordination.Append)
	if !ok {
		return
	}
	l.written = append(l.written, a.Data)
	l.appends++
	l.bySecond[l.now.Unix()]++
	l.most = max(l.most, l.bySecond[l.now.Unix()])
	if record, err := roster.Decode(a.Data); err != nil || !isEviction(record) {
		return
	}
	l.last = l.since()
	if l.first == 0 {
		l.first = l.last
	}
}

func isEviction(r roster.Record) bool {
	_, ok := r.(roster.Evict)
	return ok
}

func (l *loss) since() time.Duration { return l.now.Sub(start.Add(lossAfter)) }

// read brings what was appended in the step before to all.
func (l *loss) read() {
	if len(l.written) == 0 {
		if int(l.since()/lossStep)%int(pollEvery/lossStep) == 0 {
			l.tell()
		}
		return
	}
	for _, data := range l.written {
		offset := l.roster.Offset() + 1
		l.roster = mustApply(l.roster, offset, data)
		for _, m := range l.machines {
			m.Read(l.now, offset, data)
		}
	}
	l.written = nil
	l.tell()
	l.noteLiving()
}

func (l *loss) noteLiving() {
	living := 0
	for share := range uint32(roster.Shares) {
		p := l.roster.Pair(regionName(0), share)
		if !l.isDead(p.Home) && !l.isDead(p.Witness) {
			living++
		}
	}
	if l.half == 0 && 2*living >= roster.Shares {
		l.half = l.since()
	}
	if living == roster.Shares {
		l.all = l.since()
	}
}

// pulls returns how many shares a survivor has entered.
func (l *loss) pulls() (mean, most float64) {
	entered := make(map[state.NodeID]int)
	total := 0
	for share := range uint32(roster.Shares) {
		old, now := l.before.Pair(regionName(0), share), l.roster.Pair(regionName(0), share)
		for _, id := range []state.NodeID{now.Home, now.Witness} {
			if !old.Has(id) {
				entered[id]++
				total++
				most = max(most, float64(entered[id]))
			}
		}
	}
	return float64(total) / float64(len(l.machines)), most
}
