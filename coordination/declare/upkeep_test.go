package declare

import (
	"fmt"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// fleet is nodes that follow one log in virtual time. A record is read by all
// at the step after the one it was appended in.
type fleet struct {
	log   *fakeLog
	at    []time.Time // when each record came in
	nodes []*node
	now   time.Time
	// refreshes counts appends of the whole fleet; most is the most in one step.
	refreshes, most int
	down            bool
	// slow is how long a record takes to be read beyond the usual step.
	slow time.Duration
}

// visible is what the nodes can read now of the log.
func (f *fleet) visible() *fakeLog {
	n := len(f.log.records)
	for n > 0 && f.at[n-1].After(f.now.Add(-f.slow)) {
		n--
	}
	return &fakeLog{first: f.log.first, records: f.log.records[:n]}
}

const step = time.Second

func newFleet(nodes, operators int, off safeguards) *fleet {
	f := &fleet{log: &fakeLog{first: 1}, now: t0}
	for i := range nodes {
		n := newNode(fmt.Sprintf("node%d", i), nil)
		n.disabled = off
		f.nodes = append(f.nodes, n)
	}
	for i := range operators {
		name := fmt.Sprintf("op%d", i)
		f.nodes[0].put(t0, uint64(i), name, 0, file(name, "service"+name, 1))
	}
	f.step() // the records come in
	f.step() // and are read
	f.refreshes, f.most = 0, 0
	return f
}

// poll is how long a step is while no node has anything due.
const poll = 20 * time.Second

// stride is a step's length: short when a refresh is due or on its way.
func (f *fleet) stride() time.Duration {
	for _, n := range f.nodes {
		next := n.refreshes.next
		if !f.down && (n.set.Through() < f.log.end()-1 || !next.IsZero() && next.Sub(f.now) < poll) {
			return step
		}
	}
	return poll
}

func (f *fleet) step() {
	f.now = f.now.Add(f.stride())
	count := 0
	visible := f.visible()
	for _, n := range f.nodes {
		if !f.down {
			n.read(f.now, visible)
		}
		n.take(n.Tick(f.now))
	}
	for _, n := range f.nodes {
		count += len(n.appends)
		for range n.appends {
			f.at = append(f.at, f.now)
		}
		n.flush(f.log)
	}
	f.refreshes += count
	f.most = max(f.most, count)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// forget drops records older than the retention.
func (f *fleet) forget() {
	for len(f.at) > 0 && f.now.Sub(f.at[0]) > DefaultRetention {
		f.at = f.at[1:]
		f.log.records = f.log.records[1:]
		f.log.first++
	}
}

// newcomerAgrees reports whether a node that reads what the log still holds
// ends with the same declarations, and could judge the next apply.
func (f *fleet) newcomerAgrees() bool {
	c := newNode("newcomer", nil)
	c.read(f.now, f.log)
	return c.Ready() && c.set.Digest() == f.nodes[0].set.Digest()
}

// The log forgets records after a day. One operator changes its file daily, the
// other two never again. A node that comes up on any later day, with no peer to
// ask, must find all three in the log. Without refreshes it finds nothing.
func TestRestartAtATruncatedLog(t *testing.T) {
	const days = 4
	each(t, safeguards{refresh: true}, func(off safeguards) bool {
		f := newFleet(3, 3, off)
		for day := range days {
			cur, _ := f.nodes[0].set.Operator("op0")
			f.nodes[day%3].put(f.now, uint64(100+day), "op0", cur.Version, file("op0", "serviceop0", 2+day))
			f.run(24 * time.Hour)
			f.forget()
			if !f.newcomerAgrees() {
				return false
			}
		}
		return true
	})
}

// All nodes are replaced every five hours, sooner than a refresh comes due, and
// none knows how old a record is that it finds in the log. If each took them
// for fresh, nobody would ever refresh, and after a day all would be lost.
func TestAllReplacedAgainAndAgain(t *testing.T) {
	each(t, safeguards{oldHalfDue: true}, func(off safeguards) bool {
		f := newFleet(3, 8, off)
		want := f.nodes[0].set.Digest()
		for generation := range 12 {
			f.run(5 * time.Hour)
			f.forget()
			for i := range f.nodes {
				f.nodes[i] = newNode(fmt.Sprintf("node%d-%d", i, generation), nil)
				f.nodes[i].disabled = off
			}
		}
		f.run(step)
		return f.newcomerAgrees() && f.nodes[0].set.Digest() == want
	})
}

// The log is down for longer than the time between refreshes, so on every node
// every operator is overdue when it comes back. All nodes writing all of them
// at once would take up the log's whole rate, and applies would be refused.
func TestNoStormAfterAnOutage(t *testing.T) {
	const nodes, operators = 60, 10
	each(t, safeguards{overdueSpread: true}, func(off safeguards) bool {
		f := newFleet(nodes, operators, off)
		f.down = true
		f.run(13 * time.Hour)
		f.down = false
		f.refreshes, f.most = 0, 0
		f.run(DefaultOverdueSpread)
		t.Logf("without %+v: %d refreshes, at most %d a second", off, f.refreshes, f.most)
		return f.refreshes >= operators && f.refreshes < 2*operators && f.most < nodes/10
	})
}

// The owner of a refresh dies before it writes it. Others take over, within the
// time that the log still holds the last one.
func TestRefreshIsTakenOver(t *testing.T) {
	each(t, safeguards{}, func(safeguards) bool {
		f := newFleet(5, 4, safeguards{})
		f.run(DefaultRetention / refreshShare)
		f.nodes = f.nodes[3:]
		f.run(DefaultRetention / refreshShare)
		return f.refreshes >= 4
	})
}

// BenchmarkUpkeep990 runs a day of 990 nodes with a tenth of the operators. The
// draws of operators don't depend on each other, so 280 cost ten times as much.
func BenchmarkUpkeep990(b *testing.B) {
	const nodes, operators = 990, 28
	for b.Loop() {
		f := newFleet(nodes, operators, safeguards{})
		f.run(24 * time.Hour)
		b.ReportMetric(float64(f.refreshes)/operators, "refreshes/operator/day")
		b.ReportMetric(float64(f.most), "most/s")
		f.down = true
		f.run(13 * time.Hour)
		f.down = false
		f.refreshes, f.most = 0, 0
		f.run(DefaultOverdueSpread)
		b.ReportMetric(float64(f.refreshes)/operators, "refreshes/operator/outage")
		b.ReportMetric(float64(f.most), "most/s/outage")
	}
}

// BenchmarkBurst280 is what comes after an outage of 13 hours, at the target
// size: every operator is overdue on every node. The slower the log is to show a
// record, the more nodes write what another has written.
func BenchmarkBurst280(b *testing.B) {
	for _, slow := range []time.Duration{0, 10 * time.Second} {
		b.Run(slow.String(), func(b *testing.B) { benchmarkBurst(b, slow) })
	}
}

func benchmarkBurst(b *testing.B, slow time.Duration) {
	const nodes, operators = 990, 280
	for b.Loop() {
		f := newFleet(nodes, operators, safeguards{})
		f.slow = slow
		f.down = true
		f.run(13 * time.Hour)
		f.down = false
		f.refreshes, f.most = 0, 0
		f.run(DefaultOverdueSpread)
		b.ReportMetric(float64(f.refreshes)/operators, "refreshes/operator")
		b.ReportMetric(float64(f.most), "most/s")
	}
}

// BenchmarkTick is what a node spends 200 times a second with nothing to do.
func BenchmarkTick(b *testing.B) {
	f := newFleet(1, 280, safeguards{})
	n := f.nodes[0]
	n.Peers([]state.NodeID{"peer"})
	for b.Loop() {
		n.Tick(f.now)
	}
}
