package owner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// speedFleet has agents with servers of 16 cores and the given speeds, all of them free.
type speedFleet struct {
	*Fleet
	s     *Shard
	now   time.Duration
	nodes []string
}

func newSpeedFleet(speeds ...float64) *speedFleet {
	p := DefaultParams()
	p.ServerSpeeds = true
	f := &speedFleet{Fleet: NewFleet(1, p, 1), now: time.Hour}
	f.s = NewPrivate(f.now-time.Hour, 99, testBounds, f.Fleet)
	for i := range speeds {
		node := fmt.Sprintf("agent-%d", i)
		f.nodes = append(f.nodes, node)
		f.Linked(node)
		claim, _, _ := f.s.Linked(f.now, node, 1)
		f.s.Claimed(f.now, node, worker.Claimed{Claim: claim})
	}
	for i, speed := range speeds {
		f.report(i, speedLoad(speed, 16000))
	}
	return f.settle(speeds)
}

// settle repeats the loads until the speeds are taken from all of them.
func (f *speedFleet) settle(speeds []float64) *speedFleet {
	for range 20 {
		f.now += referenceWindow
		for i, speed := range speeds {
			f.report(i, speedLoad(speed, 16000))
		}
	}
	return f
}

func (f *speedFleet) report(agent int, l AgentLoad) {
	l.OrdersSeen = math.MaxInt64
	f.Update(f.now, f.nodes[agent], l)
}

func speedLoad(speed float64, freeMillis int64) AgentLoad {
	return AgentLoad{
		Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 65536}, Free: job.Demand{CPUMillis: freeMillis, MemoryMB: 65536},
		Accepts: true, Placers: 1, Turnover: 20 * time.Millisecond, Speed: speed, SpeedRuns: 600, Slowdown: 1,
	}
}

// request returns the request of a task that is due after a time.
func (f *speedFleet) request(run, due time.Duration) PlacementRequest {
	return PlacementRequest{Service: "desk", Demand: job.Demand{CPUMillis: 1000, MemoryMB: 64}, Estimate: run, Slack: due - run, Tasks: 1, Now: f.now}
}

func anyAgent(string) bool { return true }

func (f *speedFleet) speed(agent int) float64 { return f.agents[f.nodes[agent]].speed }

// submit submits a best-effort job of tasks with a run time and an objective of 1.6 times that plus
// 60 ms, and returns the orders and the responses.
func (f *speedFleet) submit(id string, tasks int, run time.Duration) (Effects, *[]Response) {
	var responses []Response
	spec := job.Spec{BestEffort: true, Steps: []job.Step{{Count: tasks, Demand: job.Demand{CPUMillis: 1000, MemoryMB: 64}, Estimate: run}}}
	fx := f.s.Submit(f.now, job.ID(id), spec, job.Policy{Queue: id[:1], Service: "desk", Slack: 1.6, Target: 60 * time.Millisecond}, func(v Response) { responses = append(responses, v) })
	for _, r := range fx.Replies {
		r.To(r.Response)
	}
	return fx, &responses
}

// TestSpeedsShareAFactor guards against estimates of clients that are all off: the speeds are
// measured against them, and every server would look slow.
func TestSpeedsShareAFactor(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(.3, .5, .5, .8)
	is.Equal(f.speed(1), 1.0)
	is.True(math.Abs(f.speed(0)-.6) < .001)
	is.True(math.Abs(f.speed(3)-1.6) < .001)
	is.Equal(newSpeedFleet(.5, .5, .5).unevenSpeeds(), false)
}

// TestInsignificantDifferencesOfSpeedChangeNothing guards against equal servers that count as
// unequal because their speeds rest on few runs.
func TestInsignificantDifferencesOfSpeedChangeNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(newSpeedFleet(.95, 1, 1.08).unevenSpeeds(), false)
	f := newSpeedFleet(1, 1, 1)
	l := speedLoad(1.5, 16000)
	l.SpeedRuns = 20
	f.report(2, l)
	is.Equal(f.speed(2), 1.0)
	l.SpeedRuns = 200
	f.report(2, l)
	is.Equal(f.speed(2), 1.5)
}

// TestNextIncarnationHasUnknownSpeed guards against a server that is taken for as fast as the
// earlier one beside that agent, and against speeds that stay uneven without one that differs.
func TestNextIncarnationHasUnknownSpeed(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(1, 1, 1.6)
	is.True(f.unevenSpeeds())
	is.Equal(f.bestSpeed("desk"), 1.6)
	f.settle([]float64{1, 1, 0})
	is.Equal(f.speed(2), 1.0)
	is.Equal(f.unevenSpeeds(), false)
	is.Equal(f.bestSpeed("desk"), 1.0)
}

// TestRunTimesDoNotMoveWithTheMixOfServers guards against objectives that get longer when more of a
// queue's work goes to slow servers.
func TestRunTimesDoNotMoveWithTheMixOfServers(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(.5, 1, 2)
	for range 500 {
		f.ObserveRunTime("q", f.nodes[0], 100*time.Millisecond, 240*time.Millisecond)
	}
	onSlow := f.ExpectedRunTime("q", 100*time.Millisecond)
	for range 500 {
		f.ObserveRunTime("q", f.nodes[2], 100*time.Millisecond, 60*time.Millisecond)
	}
	is.True((onSlow - 120*time.Millisecond).Abs() < time.Millisecond)
	is.True((f.ExpectedRunTime("q", 100*time.Millisecond) - 120*time.Millisecond).Abs() < time.Millisecond)
}

// TestRunTimesAndSpeedsDoNotDrift guards against a factor that moves between a queue's run times and
// the speeds: agents measure speeds against estimates that are corrected by the queue's run times,
// which are measured by the speeds. With only the product fixed, both would drift apart.
func TestRunTimesAndSpeedsDoNotDrift(t *testing.T) {
	is := is.New(t)
	true3 := []float64{.6, 1, 1.6}
	f := newSpeedFleet(true3...)
	r := rand.New(rand.NewPCG(1, 1))
	const estimate = 100 * time.Millisecond
	logs := []float64{math.Log(.6), 0, math.Log(1.6)}
	for range 30000 {
		i := r.IntN(3)
		if r.IntN(2) == 0 {
			i = 0 // most of the work goes to the slow server
		}
		work := time.Duration(float64(estimate) * 1.3 / true3[i] * math.Exp(.4*r.NormFloat64()))
		expected := f.ExpectedRunTime("q", estimate)
		logs[i] += (math.Log(float64(expected)/float64(work)) - logs[i]) / 400
		f.now += 5 * time.Millisecond
		f.ObserveRunTime("q", f.nodes[i], estimate, work)
		f.report(i, speedLoad(math.Exp(logs[i]), 16000))
	}
	mean := 1.3 * math.Exp(.08) // of the measured run times, as a multiple of the estimate
	ratio := float64(f.ExpectedRunTime("q", estimate)) / float64(estimate)
	t.Logf("ratio %.3f, speeds %.2f %.2f %.2f", ratio, f.speed(0), f.speed(1), f.speed(2))
	is.True(math.Abs(math.Log(ratio/mean)) < math.Log(1.2))
	is.True(math.Abs(math.Log(f.speed(0)/.6)) < math.Log(1.2))
	is.True(math.Abs(math.Log(f.speed(2)/1.6)) < math.Log(1.2))
}

// TestShortTasksDoNotCollideOnTheFastestServer guards against entries that all send to the server on
// which a task ends first, by loads that are as old.
func TestShortTasksDoNotCollideOnTheFastestServer(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(.6, 1, 1.6)
	placed := make(map[string]int)
	for range 300 {
		p, ok := f.chooseLocked(f.request(60*time.Millisecond, 156*time.Millisecond), anyAgent)
		is.True(ok)
		placed[p.node]++
	}
	t.Logf("%v", placed)
	is.True(placed["agent-2"] < 200)
	is.True(placed["agent-0"] > 30)
}

// TestLongTasksGoWhereTheyAreInTime guards against long tasks on slow servers, which are late there
// although a faster server has room.
func TestLongTasksGoWhereTheyAreInTime(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(.6, 1, 1.6)
	for range 100 {
		p, ok := f.chooseLocked(f.request(900*time.Millisecond, 1400*time.Millisecond), anyAgent)
		is.True(ok)
		is.True(p.node != "agent-0")
	}
}

// TestWideJobsKeepALargerMargin guards against a wide job that is late by the one of its tasks whose
// estimate is furthest off.
func TestWideJobsKeepALargerMargin(t *testing.T) {
	is := is.New(t)
	one, many := PlacementRequest{Tasks: 1}, PlacementRequest{Tasks: 64}
	is.True(many.margin() > one.margin())
}

// TestExtraRunTimeIsNoWait guards against jobs that are refused beside free servers, because their
// longer run time there counts as a wait.
func TestExtraRunTimeIsNoWait(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(.6, 1, 1, 1.6)
	for _, i := range []int{1, 2, 3} {
		f.report(i, speedLoad([]float64{.6, 1, 1, 1.6}[i], 0))
	}
	fx, responses := f.submit("a", 4, 100*time.Millisecond)
	is.Equal(len(*responses), 0)
	is.Equal(len(fx.Orders), 4)
	for _, o := range fx.Orders {
		is.Equal(o.Node, "agent-0")
	}
	is.Equal(fx.Log[0].Kind, "accepted")
}

// TestLongTasksThatWaitDoNotBlockShortOnes guards against short tasks that wait behind a long one
// that needs a fast server, while a slow server is free.
func TestLongTasksThatWaitDoNotBlockShortOnes(t *testing.T) {
	is := is.New(t)
	speeds := []float64{.6, 1, 1, 1.6}
	f := newSpeedFleet(speeds...)
	full := func(i int) {
		l := speedLoad(speeds[i], 0)
		l.Turnover = 100 * time.Millisecond
		f.report(i, l)
	}
	for _, i := range []int{1, 2, 3} {
		full(i)
	}
	long, _ := f.submit("long", 1, 1200*time.Millisecond)
	is.Equal(len(long.Orders), 0) // waits for a fast server
	is.True(f.s.HasWaitingTasks())
	short, _ := f.submit("short", 2, 60*time.Millisecond)
	is.Equal(len(short.Orders), 2)
	is.Equal(short.Orders[0].Node, "agent-0")

	// The short ones leave the fast server to the long one.
	f.report(0, speedLoad(.6, 16000))
	f.report(3, speedLoad(1.6, 16000))
	for n := range 10 {
		fx, _ := f.submit(fmt.Sprintf("s%d", n), 1, 60*time.Millisecond)
		for _, o := range fx.Orders {
			is.Equal(o.Node, "agent-0")
		}
	}
	fx := f.s.AgentsUpdated(f.now)
	is.Equal(len(fx.Orders), 1)
	is.Equal(fx.Orders[0].Node, "agent-3")
}

// TestShortTasksPassLongOnesThatWait guards against short tasks that wait behind a more urgent long
// one, both when they come and when a slow server becomes free.
func TestShortTasksPassLongOnesThatWait(t *testing.T) {
	is := is.New(t)
	speeds := []float64{.6, 1, 1, 1.6}
	f := newSpeedFleet(speeds...)
	report := func(i int, freeMillis int64) {
		l := speedLoad(speeds[i], freeMillis)
		l.Turnover = 100 * time.Millisecond
		f.report(i, l)
	}
	for i := range speeds {
		report(i, 0)
	}
	long, _ := f.submit("long", 1, 1200*time.Millisecond)
	is.Equal(len(long.Orders), 0)
	f.now += 750 * time.Millisecond
	for i := range speeds {
		report(i, 0)
	}
	spec := job.Spec{BestEffort: true, Steps: []job.Step{{Count: 1, Demand: job.Demand{CPUMillis: 1000, MemoryMB: 64}, Estimate: 60 * time.Millisecond}}}
	fx := f.s.Submit(f.now, "waits", spec, job.Policy{Queue: "s", Service: "desk", Slack: 10}, func(Response) {})
	is.Equal(len(fx.Orders), 0)

	report(0, 16000)
	fx = f.s.AgentsUpdated(f.now)
	is.Equal(len(fx.Orders), 1)
	is.Equal(fx.Orders[0].Value.Run.Task.Job, job.ID("waits"))
	short, _ := f.submit("short", 1, 60*time.Millisecond)
	is.Equal(len(short.Orders), 1)
	is.True(f.s.HasWaitingTasks())
}

// TestTasksWaitForServersOnWhichTheyAreInTime guards against tasks on a slow server where they are
// late, although a fast one may become free in time, and against tasks that wait in vain.
func TestTasksWaitForServersOnWhichTheyAreInTime(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(.6, 1, 1, 1.6)
	for _, i := range []int{1, 2, 3} {
		l := speedLoad([]float64{.6, 1, 1, 1.6}[i], 0)
		l.Turnover = 1300 * time.Millisecond
		f.report(i, l)
	}
	_, ok := f.Place(f.request(1200*time.Millisecond, 1980*time.Millisecond), anyAgent)
	is.Equal(ok, false)
	node, ok := f.Place(f.request(1200*time.Millisecond, 700*time.Millisecond), anyAgent)
	is.True(ok)
	is.Equal(node, "agent-0")
}

// TestWaitingTasksAreNotGivenUpThatAFastServerServes guards against jobs that are given up as late
// by the run time of a usual server, although a fast one still serves them in time.
func TestWaitingTasksAreNotGivenUpThatAFastServerServes(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(1, 1, 2)
	policy := &job.Policy{Queue: "q", Service: "desk"}
	spec := job.Spec{BestEffort: true, Steps: []job.Step{{Count: 1, Estimate: 100 * time.Millisecond}}}
	j := &jobState{rec: job.NewRecord("a", spec, *policy, 1), usefulUntil: f.now + 80*time.Millisecond}
	w := &waitingTask{id: job.TaskID{Job: "a"}}
	is.Equal(f.s.tooLateLocked(f.now, j, w), false)
	is.Equal(f.s.tooLateLocked(f.now+40*time.Millisecond, j, w), true)
}

// TestTasksDoNotWaitForServersThatTheyMayNotHave guards against tasks that wait for a fast server
// without their label, or because all loads are old.
func TestTasksDoNotWaitForServersThatTheyMayNotHave(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(.6, 1, 1, 1.6)
	l := speedLoad(.6, 16000)
	l.Labels = []string{"gpu"}
	f.report(0, l)
	n := f.request(1200*time.Millisecond, 1700*time.Millisecond)
	n.Label = "gpu"
	node, ok := f.Place(n, anyAgent)
	is.True(ok)
	is.Equal(node, "agent-0")

	n.Label = ""
	n.Now += time.Second
	_, ok = f.Place(n, anyAgent)
	is.True(ok)
}

// TestFrameCostIsBoundedWhileSpeedsDiffer guards against an entry that examines all agents for each
// waiting task with each frame.
func TestFrameCostIsBoundedWhileSpeedsDiffer(t *testing.T) {
	is := is.New(t)
	speeds := []float64{.6, 1, 1, 1.6}
	f := newSpeedFleet(speeds...)
	for i := range speeds {
		l := speedLoad(speeds[i], 0)
		l.Turnover, l.Backlog = 200*time.Millisecond, 10*time.Second
		f.report(i, l)
	}
	for n := range 100 {
		spec := job.Spec{BestEffort: true, Steps: []job.Step{{Count: 8, Demand: job.Demand{CPUMillis: 1200, MemoryMB: 64}, Estimate: time.Duration(20+10*n) * time.Millisecond}}}
		f.s.Submit(f.now, job.ID(fmt.Sprintf("%016x", n)), spec, job.Policy{Queue: "q", Service: "desk", Slack: 1000}, func(Response) {})
	}
	before := f.AgentsExamined()
	f.s.AgentsUpdated(f.now)
	is.True(f.AgentsExamined()-before <= int64(len(speeds)*(2*maxSpeedStep+1)))
}

// TestFirstKnownSpeedsAreNotTheUsual guards against usual servers that count as slow, because the
// first servers whose speeds are known are the fast ones, which end the most runs.
func TestFirstKnownSpeedsAreNotTheUsual(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(1.6, 0, 0, 0)
	is.Equal(f.unevenSpeeds(), false)
	is.Equal(f.speed(0), 1.0)
	f.settle([]float64{1.6, 1, 1, 0})
	is.Equal(f.speed(0), 1.6)
	is.Equal(f.speed(1), 1.0)
}
