package loadgen

import (
	"bytes"
	"context"
	"image/png"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

func TestIdealAndPacked(t *testing.T) {
	is := is.New(t)
	job := func(at time.Duration, runs ...time.Duration) plannedJob {
		j := plannedJob{due: at}
		for _, run := range runs {
			j.tasks = append(j.tasks, plannedTask{runTime: run})
		}
		return j
	}
	long := job(0, 3, 1, 1, 1)
	is.Equal(long.idealResponse(systemSize{free: 2}), time.Duration(3)) // the longest task takes as long as the work divided by the slots
	wide := job(0, 2, 2, 2, 2)
	is.Equal(wide.idealResponse(systemSize{slots: 8, free: 2}), time.Duration(4))     // work divided by the free slots
	is.Equal(wide.idealResponse(systemSize{free: 8}), time.Duration(2))               // the longest task
	is.Equal(wide.idealResponse(systemSize{free: 8, roundTrip: 1}), time.Duration(7)) // plus five round trips
	// Two slots: the first job occupies them until 2 and 3, the second until 6
	// and 7, and both are free when the third arrives.
	jobs := []plannedJob{job(0, 2, 3), job(1, 4, 4), job(10, 5)}
	is.Equal(packedResponses(jobs, 2), []time.Duration{3, 6, 5})
}

func TestPlanKeepsRateMixAndSeed(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"haneul", "gridlog"} {
		c := testConfig(t)
		c.JobsPerSecond, c.TasksPerSecond = 0, 500
		c.Length = Duration(MaxLength)
		c.ResubmitShare, c.CancelShare = 0.2, 0.1
		var err error
		c.Mix, err = ParseMix(name, 0)
		is.NoErr(err)
		c.Sizes, err = ParseSizes(DefaultTasks)
		is.NoErr(err)
		is.NoErr(c.Validate())
		plan := drawJobs(&c, 88)
		var tasks, long, resubmitted, cancelled int
		var work time.Duration
		for i := range plan {
			j := &plan[i]
			tasks += len(j.tasks)
			work += j.work()
			for _, task := range j.tasks {
				is.True(task.runTime >= 50*time.Millisecond && task.runTime <= 8*time.Second)
				if task.runTime > time.Second {
					long++
				}
			}
			if j.resubmitAt > 0 {
				resubmitted++
			}
			if j.cancelAt > 0 {
				cancelled++
			}
		}
		approx := func(got, want float64) { is.True(math.Abs(got/want-1) < 0.1) }
		approx(float64(tasks)/MaxLength.Seconds(), 500)
		approx(work.Seconds()/float64(tasks), c.Mix.Mean().Seconds())
		approx(float64(resubmitted)/float64(len(plan)), 0.2)
		approx(float64(cancelled)/float64(len(plan)), 0.1)
		is.True(long > 0 && long < tasks/50) // a few
		is.Equal(len(drawJobs(&c, 88)), len(plan))
		c.Seed++
		is.True(len(drawJobs(&c, 88)) != len(plan))
	}
}

// The work that arrives must match the configured share of the slots for every
// seed. A run that is reported as 95 % and offers only 89 % makes the system look
// better than it is.
func TestLoadIsMet(t *testing.T) {
	is := is.New(t)
	const slots = 88
	for seed := range uint64(20) {
		c := testConfig(t)
		c.JobsPerSecond, c.LoadShare, c.Seed = 0, 0.95, seed
		is.NoErr(c.Validate())
		var work, last time.Duration
		ids := make(map[string]bool)
		for _, j := range drawJobs(&c, slots) {
			work += j.work()
			ids[j.id] = true
			is.True(j.due >= last && j.due < c.Length.D())
			last = j.due
			for i := range j.tasks {
				is.True(strings.HasPrefix(j.echo(i), j.id+"/"))
			}
		}
		is.True(math.Abs(work.Seconds()/(slots*c.Length.D().Seconds())-0.95) < 0.01)
		is.True(ids[jobID(c.Run, 0)] && ids[jobID(c.Run, len(ids)-1)])
	}
}

func TestBadConfigsAreRefused(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "0", "x", "3-2", "1001", "1=0", "1=x", "1=NaN", "1=-1", "1,"} {
		_, err := ParseSizes(text)
		is.True(err != nil) // refused
	}
	_, err := ParseMix("other", 0)
	is.True(err != nil)
	for _, invalidate := range []func(*Config){
		func(c *Config) { c.Service = "" },
		func(c *Config) { c.TasksPerSecond = 1 },
		func(c *Config) { c.JobsPerSecond = 0 },
		func(c *Config) { c.LoadShare = 0.5 },
		func(c *Config) { c.JobsPerSecond, c.LoadShare = 0, maxLoadShare+1 },
		func(c *Config) { c.JobsPerSecond = math.NaN() },
		func(c *Config) { c.Length = Duration(MaxLength + 1) },
		func(c *Config) { c.ResubmitShare, c.CancelShare = 0.6, 0.6 },
		func(c *Config) { c.JobsPerSecond = 1e9 },
		func(c *Config) { c.Run = strings.Repeat("x", state.MaxIDLength) },
	} {
		c := testConfig(t)
		invalidate(&c)
		is.True(c.Validate() != nil) // refused
	}
	empty := &fakeEntry{}
	c := testConfig(t)
	c.Service = "unknown"
	_, err = measureOne(context.Background(), c, empty)
	is.True(err != nil) // the service has no slots
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	body, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func TestReportRoundTripAndComparison(t *testing.T) {
	is := is.New(t)
	c := testConfig(t)
	a := run(t, c, &fakeEntry{})
	c.Seed = 2
	b := run(t, c, &fakeEntry{stalledUntil: time.Now().Add(time.Second)})
	dir := t.TempDir()
	path := filepath.Join(dir, "a.json")
	is.NoErr(singleLoadMeasurement(a).Write(path))
	back, err := Read(path)
	is.NoErr(err)
	again := filepath.Join(dir, "again.json")
	is.NoErr(back.Write(again))
	is.Equal(readFile(t, again), readFile(t, path)) // the file only rounds to microseconds
	is.Equal(back.Loads[0].Response, a.Response)
	is.Equal(back.Loads[0].Config.jobRate(), a.Config.jobRate())
	_, err = Read(filepath.Join(dir, "none"))
	is.True(err != nil)

	diff := Compare(singleLoadMeasurement(a), singleLoadMeasurement(b))
	is.True(diff.Passed)
	is.Equal(diff.Mismatches, []string{"seed: 1, 2"})
	last := diff.Differences[len(diff.Differences)-1]
	by, ok := last.Change()
	is.True(ok)
	is.True(by != 0)
	var out bytes.Buffer
	diff.Print(&out)
	is.True(strings.Contains(out.String(), last.Name))

	is.NoErr(singleLoadMeasurement(a).Plot(filepath.Join(dir, "a.png")))
	file, err := os.Open(filepath.Join(dir, "a.png"))
	is.NoErr(err)
	defer file.Close()
	_, err = png.DecodeConfig(file)
	is.NoErr(err)
	is.NoErr(singleLoadMeasurement(&Report{}).Plot(filepath.Join(dir, "empty.png")))
}
