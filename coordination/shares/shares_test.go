package shares

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func total(x []float64) (sum float64) {
	for _, v := range x {
		sum += v
	}
	return sum
}

func randomClaims(r *rand.Rand) (capacity float64, claims []Claim) {
	for range 1 + r.IntN(20) {
		claims = append(claims, Claim{Weight: 0.01 + r.Float64(), Asked: 10 * r.Float64()})
	}
	return 60 * r.Float64(), claims
}

// TestDivideIsMaxMin guards against divisions that waste capacity, grant more than is asked for, or
// favour somebody: who isn't satisfied must have at least as much for its weight as anyone else.
func TestDivideIsMaxMin(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		capacity, claims := randomClaims(r)
		granted := Divide(capacity, claims)
		var asked float64
		for i, c := range claims {
			asked += c.Asked
			is.True(granted[i] >= 0 && granted[i] <= c.Asked+1e-9)
			if granted[i] > c.Asked-1e-9 {
				continue
			}
			for k := range claims {
				is.True(granted[i]/c.Weight >= granted[k]/claims[k].Weight-1e-9)
			}
		}
		is.True(math.Abs(total(granted)-min(capacity, asked)) < 1e-6)
	}
}

// TestDivideIsMonotone guards against a queue that gets less because it asks for more, or because
// there is more capacity.
func TestDivideIsMonotone(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(2, 1))
	for range 1000 {
		capacity, claims := randomClaims(r)
		before := Divide(capacity, claims)
		for i, v := range Divide(capacity+1, claims) {
			is.True(v >= before[i]-1e-9)
		}
		claims[0].Asked++
		is.True(Divide(capacity, claims)[0] >= before[0]-1e-9)
	}
}

// TestDivideDoesNotDependOnOrder guards against shares that depend on the order of the queues.
func TestDivideDoesNotDependOnOrder(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 1))
	for range 1000 {
		capacity, claims := randomClaims(r)
		want := Divide(capacity, claims)
		slices.Reverse(claims)
		got := Divide(capacity, claims)
		slices.Reverse(got)
		for i := range got {
			is.True(math.Abs(got[i]-want[i]) < 1e-9)
		}
	}
}

// TestFloorAndWeights guards against a floor or a priority without effect: with a floor of 1 all
// queues get the same, without one they get it by priority.
func TestFloorAndWeights(t *testing.T) {
	is := is.New(t)
	queues := []Demand{{Queue: "a", Queues: 1}, {Queue: "b", Queues: 1, Priority: 1}, {Queue: "c", Queues: 1, Priority: 3}}
	even, by, half := weights(1, queues), weights(0, queues), weights(0.5, queues)
	for i := range queues {
		is.True(math.Abs(even[i]-1./3) < 1e-9)
		is.True(math.Abs(half[i]-(even[i]+by[i])/2) < 1e-9)
	}
	is.True(math.Abs(by[0]-2*by[1]) < 1e-9 && math.Abs(by[0]-4*by[2]) < 1e-9)
	two := weights(0.5, []Demand{{Queue: "a", Queues: 1}, {Queues: 9}})
	is.True(math.Abs(two[1]-9*two[0]) < 1e-9) // a sum of nine queues counts as nine
}

// TestInvalidRowsAreDropped guards against rows that would make shares negative or not a number.
func TestInvalidRowsAreDropped(t *testing.T) {
	is := is.New(t)
	good := Demand{Queue: "q", Domain: "d", Queues: 1, Asked: 1}
	rows := []Demand{good, {Queue: "a", Queues: 1, Asked: -1}, {Queue: "b", Queues: 1, Asked: math.NaN()}, {Queue: "c", Queues: 1, Asked: math.Inf(1)},
		{Queue: "d", Queues: 0, Asked: 1}, {Queue: "e", Queues: 1, Priority: -1}}
	s := NewSums()
	is.Equal(s.Update(0, "x", rows), 5)
	s.Update(0, "y", nil)
	got, ok := s.Others(0, "y")
	is.True(ok)
	is.Equal(got, []Demand{good})
	is.Equal(NewBook(Params{}).Update(0, "agent", rows), 5)
}

// TestRowsAreBounded guards against frames that grow with the number of queues: of 1,000, the
// largest 16 have a row, and the total is kept.
func TestRowsAreBounded(t *testing.T) {
	is := is.New(t)
	b := NewBook(Params{Domain: "d"})
	for i := range 1000 {
		b.Ask(0, Job{Service: "s", Queue: fmt.Sprint("q", i), Work: time.Duration(i+1) * time.Millisecond}, noAgents)
	}
	rows := b.Rows(0, "s", 1)
	is.Equal(len(rows), MaxRows+1)
	is.Equal(rows[0].Queue, "q999")
	is.Equal(rows[MaxRows].Queues, 1000-MaxRows)
	var sum float64
	for _, d := range rows {
		sum += d.Asked
	}
	is.True(math.Abs(sum-500.5/rateWindow.Seconds()) < 1e-6)
	s := NewSums()
	for i := range 20 {
		s.Update(0, fmt.Sprint("caller", i), rows)
	}
	others, _ := s.Others(0, "caller0")
	is.Equal(len(others), MaxRows+1)
	var seen float64
	for _, d := range others {
		seen += d.Asked
	}
	is.True(math.Abs(seen-19*sum) < 1e-6)
}

// TestEntitlement guards against a share that depends on what the queue asks for itself: it is what
// the queue would get if it asked for everything.
func TestEntitlement(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(4, 1))
	for range 1000 {
		capacity, claims := randomClaims(r)
		i := r.IntN(len(claims))
		got := newDivision(capacity, claims).entitlement(i)
		claims[i].Asked = capacity + 1
		is.True(math.Abs(got-Divide(capacity, claims)[i]) < 1e-9)
	}
}

func noAgents(string) []Agent { return nil }

// site has a few entries that ask an agent of 100 cores for work.
type site struct {
	books []*Book
	sums  *Sums
	now   time.Duration
	free  float64
	// deaf entries get no news, and mute ones send none.
	deaf, mute map[int]bool
	granted    map[string]time.Duration
	refused    map[string]int
	retryAfter time.Duration
}

func newSite(entries int, floor float64) *site {
	s := &site{sums: NewSums(), now: time.Hour, deaf: make(map[int]bool), mute: make(map[int]bool)}
	for i := range entries {
		s.books = append(s.books, NewBook(Params{Floor: floor, Domain: fmt.Sprint("d", i%3)}))
	}
	s.reset()
	return s
}

func (s *site) reset() { s.granted, s.refused = make(map[string]time.Duration), make(map[string]int) }

func (s *site) agents(string) []Agent {
	return []Agent{{Node: "agent", Cores: 100, Free: s.free, Placers: len(s.books)}}
}

// exchange passes what the entries ask for through the agent.
func (s *site) exchange() {
	for i, b := range s.books {
		if !s.mute[i] {
			s.sums.Update(s.now, fmt.Sprint("entry", i), b.Rows(s.now, "s", 1))
		}
	}
	for i, b := range s.books {
		if rows, ok := s.sums.Others(s.now, fmt.Sprint("entry", i)); ok && !s.deaf[i] {
			b.Update(s.now, "agent", rows)
		}
	}
}

// run asks for the given cores of each queue, in jobs of 100 ms, at all entries alike.
func (s *site) run(length time.Duration, cores map[string]float64) {
	const step = 10 * time.Millisecond
	credit := make(map[string]time.Duration)
	for end := s.now + length; s.now < end; s.now += step {
		for q, c := range cores {
			for credit[q] += time.Duration(c / float64(len(s.books)) * float64(step)); credit[q] >= 100*time.Millisecond; credit[q] -= 100 * time.Millisecond {
				for _, b := range s.books {
					s.ask(b, q)
				}
			}
		}
		if s.now%(50*time.Millisecond) == 0 {
			s.exchange()
		}
	}
}

func (s *site) ask(b *Book, queue string) {
	j := Job{Service: "s", Queue: queue, Work: 100 * time.Millisecond}
	if v := b.Ask(s.now, j, s.agents); v.Refused {
		s.refused[queue]++
		s.retryAfter = v.RetryAfter
		return
	}
	b.Granted(s.now, j)
	s.granted[queue] += j.Work
}

func (s *site) cores(queue string, length time.Duration) float64 {
	return s.granted[queue].Seconds() / length.Seconds()
}

// TestUnusedSharesAreLentAndTakenBack guards against capacity that idles because its queue doesn't
// ask, and against a queue that waits for its share until a borrower has stopped.
func TestUnusedSharesAreLentAndTakenBack(t *testing.T) {
	is := is.New(t)
	s := newSite(3, 0.5)
	s.free = 100 * targetFree
	s.run(3*time.Second, map[string]float64{"a": 200, "b": 10})
	s.reset()
	s.run(2*time.Second, map[string]float64{"a": 200, "b": 10})
	is.True(s.cores("a", 2*time.Second) > 80) // lent
	is.True(s.cores("b", 2*time.Second) > 9.5)
	s.run(300*time.Millisecond, map[string]float64{"a": 200, "b": 40})
	s.reset()
	s.run(time.Second, map[string]float64{"a": 200, "b": 40})
	is.Equal(s.refused["b"], 0) // taken back
	is.True(s.cores("a", time.Second) < 70)
	is.True(s.retryAfter > 0 && s.retryAfter <= maxRetryAfter)
}

// TestNoEffectWithoutContention guards against refusals while there is room: little is asked for, or
// much by its estimates but cores are free.
func TestNoEffectWithoutContention(t *testing.T) {
	is := is.New(t)
	s := newSite(3, 0.5)
	s.run(3*time.Second, map[string]float64{"a": 60, "b": 10})
	s.free = 40
	s.run(3*time.Second, map[string]float64{"a": 200, "b": 10})
	is.Equal(len(s.refused), 0)
}

// TestWithoutNewsAnEntryKeepsToItsPart guards against entries that count on the whole capacity when
// they hear nothing of the others, in either direction.
func TestWithoutNewsAnEntryKeepsToItsPart(t *testing.T) {
	for _, c := range []struct {
		name       string
		deaf, mute bool
	}{{"deaf", true, false}, {"mute", false, true}, {"both", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(3, 0.5)
			s.free = 100 * targetFree
			load := map[string]float64{"a": 150, "b": 10}
			s.run(2*time.Second, load)
			for i := range s.books {
				s.deaf[i], s.mute[i] = c.deaf, c.mute
			}
			s.run(NewsTimeout+time.Second, load)
			s.reset()
			s.run(2*time.Second, load)
			sum := s.cores("a", 2*time.Second) + s.cores("b", 2*time.Second)
			t.Logf("%.0f cores of 100 granted", sum)
			is.True(sum < 115) // all three entries together would take 300
			is.Equal(s.refused["b"], 0)
		})
	}
}

// TestRestartedEntryIsHeard guards against an entry that stays refused, or counts twice, after it
// has started anew under another name.
func TestRestartedEntryIsHeard(t *testing.T) {
	is := is.New(t)
	s := newSite(3, 0.5)
	s.free = 100 * targetFree
	load := map[string]float64{"a": 150, "b": 10}
	s.run(2*time.Second, load)
	s.books[0] = NewBook(Params{Floor: 0.5, Domain: "d0"})
	s.sums.Forget("entry0")
	s.run(NewsTimeout, load)
	s.reset()
	s.run(2*time.Second, load)
	is.Equal(s.refused["b"], 0)
	sum := s.cores("a", 2*time.Second) + s.cores("b", 2*time.Second)
	is.True(sum > 85 && sum < 115)
}

// TestOldNewsDoesNotCount guards against the demand of a caller that is gone.
func TestOldNewsDoesNotCount(t *testing.T) {
	is := is.New(t)
	s := NewSums()
	s.Update(0, "x", []Demand{{Queue: "q", Queues: 1, Asked: 5}})
	s.Update(0, "y", nil)
	rows, _ := s.Others(NewsTimeout-1, "y")
	is.Equal(len(rows), 1)
	rows, _ = s.Others(NewsTimeout, "y")
	is.Equal(len(rows), 0)
}

// TestLargeJobsGetTheirPart guards against large jobs that never pass because small ones always take
// the share first.
func TestLargeJobsGetTheirPart(t *testing.T) {
	is := is.New(t)
	b := NewBook(Params{})
	agents := func(string) []Agent { return []Agent{{Node: "n", Cores: 10, Free: 10 * targetFree, Placers: 1}} }
	var asked, granted [2]int
	now := time.Hour
	for i := range 20000 {
		now += time.Millisecond
		j, kind := Job{Service: "s", Queue: "q", Work: 20 * time.Millisecond}, 0
		if i%40 == 0 {
			j.Work, kind = 400*time.Millisecond, 1
		}
		asked[kind]++
		if v := b.Ask(now, j, agents); !v.Refused {
			granted[kind]++
			b.Granted(now, j)
		}
	}
	mean := float64(granted[0]+granted[1]) / float64(asked[0]+asked[1])
	large := float64(granted[1]) / float64(asked[1])
	t.Logf("mean %.2f, large %.2f", mean, large)
	is.True(mean < 0.9)
	is.True(large > mean/2)
}

// TestContentionIsReported guards against contention that an operator can't see.
func TestContentionIsReported(t *testing.T) {
	is := is.New(t)
	s := newSite(1, 0.5)
	s.run(time.Second, map[string]float64{"a": 150, "b": 20})
	s.free = 90
	s.run(3*time.Second, map[string]float64{"a": 5})
	events := s.books[0].TakeEvents()
	is.Equal(len(events), 2)
	is.True(events[0].Contended && !events[1].Contended)
	is.True(len(events[0].Shares) == 2)
	is.Equal(len(s.books[0].TakeEvents()), 0)
	stats := s.books[0].Stats()
	is.Equal(stats[0].Queue, "a")
	is.Equal(stats[0].Asked, stats[0].Granted+stats[0].Refused)
}

func BenchmarkAsk(b *testing.B) {
	book := NewBook(Params{Floor: 0.5})
	agents := make([]Agent, 32)
	for i := range agents {
		agents[i] = Agent{Node: fmt.Sprint("agent", i), Cores: 16, Placers: 8}
	}
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("queue", i)
	}
	now := time.Hour
	for i := 0; b.Loop(); i++ {
		now += 100 * time.Microsecond
		book.Ask(now, Job{Service: "s", Queue: names[i%len(names)], Work: 100 * time.Millisecond}, func(string) []Agent { return agents })
	}
}

// TestRareLargeJobsGetTheirPart guards against a size of jobs that starves because its jobs are rare:
// between two of them, what it asks for has decayed, and the time that has passed must still count
// for it.
func TestRareLargeJobsGetTheirPart(t *testing.T) {
	is := is.New(t)
	b := NewBook(Params{})
	agents := func(string) []Agent { return []Agent{{Node: "n", Cores: 10, Free: 10 * targetFree, Placers: 1}} }
	var asked, granted [2]int
	now := time.Hour
	for i := range 200000 {
		now += time.Millisecond
		j, kind := Job{Service: "s", Queue: "q", Work: 20 * time.Millisecond}, 0
		if i%2999 == 0 {
			j.Work, kind = 2*time.Second, 1
		}
		asked[kind]++
		if v := b.Ask(now, j, agents); !v.Refused {
			granted[kind]++
			b.Granted(now, j)
		}
	}
	mean := float64(granted[0]+granted[1]) / float64(asked[0]+asked[1])
	large := float64(granted[1]) / float64(asked[1])
	t.Logf("mean %.2f, large %.2f of %d", mean, large, asked[1])
	is.True(mean < 0.9)
	is.True(large > mean/2)
}

// TestRetryAfterFollowsTheShareAfterALongBurst guards against clients that are told to wait for the
// work of all who were refused during a long burst. They wait for at most maxRetryAfter, so what was
// refused before doesn't come back.
func TestRetryAfterFollowsTheShareAfterALongBurst(t *testing.T) {
	is := is.New(t)
	s := newSite(1, 0.5)
	s.run(20*time.Second, map[string]float64{"a": 1000})
	s.run(maxRetryAfter, map[string]float64{"a": 60, "b": 60})
	s.run(time.Second, map[string]float64{"a": 105})
	is.True(s.refused["a"] > 0)
	t.Logf("retry after %v", s.retryAfter)
	is.True(s.retryAfter < maxRetryAfter)
}

// TestContentionEndsWithoutCapacity guards against refusals over share after the last agent is gone:
// what is missing then is a server, and the client must be told so.
func TestContentionEndsWithoutCapacity(t *testing.T) {
	is := is.New(t)
	s := newSite(1, 0.5)
	s.run(time.Second, map[string]float64{"a": 200})
	is.True(s.refused["a"] > 0)
	j := Job{Service: "s", Queue: "a", Work: 100 * time.Millisecond}
	s.now += 2 * divideInterval
	for range 10 {
		is.True(!s.books[0].Ask(s.now, j, noAgents).Refused)
		s.books[0].Granted(s.now, j)
	}
}

// TestLargeJobsUnderTheShareMayComeTogether guards against a queue under its share whose few large
// jobs are refused because they come close together: all that its other sizes leave is theirs.
func TestLargeJobsUnderTheShareMayComeTogether(t *testing.T) {
	is := is.New(t)
	s := newSite(1, 1)
	s.free = 100 * targetFree
	s.run(2*time.Second, map[string]float64{"over": 200, "under": 10})
	j := Job{Service: "s", Queue: "under", Work: 5 * time.Second}
	for range 3 {
		is.True(!s.books[0].Ask(s.now, j, s.agents).Refused)
		s.books[0].Granted(s.now, j)
	}
}
