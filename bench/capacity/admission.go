package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

const (
	assigns = 20_000
	// assignEvery lets 1,000 Assigns in a minute pass: within an agent's share of
	// the target, and long enough for results to be given up.
	assignEvery = 25 * time.Millisecond
	// few tasks and many give the slopes per Assign and per task.
	fewTasks  = 1
	manyTasks = 8
)

// measureAdmission runs Assigns at the agent beside a backend server that ends
// each task at once.
func measureAdmission(t *table) {
	var costs [2]cost
	var heaps [2]float64
	for i, n := range []int{fewTasks, manyTasks} {
		a := &admissionBench{d: fullAgent()}
		homes := a.d.regionMembers()
		specs := tasks(n)
		before := heap()
		costs[i] = measure(assigns, func(j int) { a.run(homes[j%len(homes)].ID, j, specs) })
		// What is kept of results goes within a minute; the tasks stay known.
		for range 90 {
			a.d.now = a.d.now.Add(time.Second)
			a.d.renew()
			a.d.Tick(a.d.now)
		}
		heaps[i] = (heap() - before) / assigns
		if a.reported != assigns*n {
			panic(fmt.Sprint("results are missing: ", a.reported))
		}
		runtime.KeepAlive(a)
	}
	slope := costs[1].minus(costs[0]).over(manyTasks - fewTasks)
	t.addCost("slope per task", slope)
	t.addCost("slope per Assign, with two ticks", costs[0].minus(slope))
	kept := (heaps[1] - heaps[0]) / (manyTasks - fewTasks)
	t.add("kept, slope per task", kept, "B")
	t.add("kept, slope per job", heaps[0]-kept, "B")
}

type admissionBench struct {
	d        *daemon
	reported int
}

func (a *admissionBench) run(home state.NodeID, i int, specs []state.Task) {
	m := message.Assign{
		Key:      state.JobKey{Service: serviceOfJobs, ID: fmt.Sprintf("%026d", i)},
		Operator: operatorName(oneService), Deadline: deadline, Tasks: specs,
	}
	for j := range specs {
		m.Indexes = append(m.Indexes, j)
	}
	if i%int(announceEvery/assignEvery) == 0 {
		a.d.renew()
	}
	a.play(a.d.Handle(a.d.now, home, m))
	for range 2 {
		a.d.now = a.d.now.Add(assignEvery / 2)
		a.play(a.d.Tick(a.d.now))
	}
}

func (a *admissionBench) play(acts []coordination.Action) {
	for len(acts) > 0 {
		act := acts[0]
		acts = acts[1:]
		switch act := act.(type) {
		case coordination.StartTask:
			acts = append(acts, a.d.agent.Finished(a.d.now, act.Task, resultOf(act.Task.Index))...)
		case coordination.Send:
			if r, ok := act.Msg.(message.Report); ok {
				a.reported += len(r.Results)
			}
		}
	}
}
