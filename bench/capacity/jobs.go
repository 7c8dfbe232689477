package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	// small and large are the jobs whose difference gives the slope per task.
	small = 10
	large = 100

	deadline   = 30 * time.Second
	ranFor     = 240 * time.Millisecond
	entryID    = state.NodeID("entry-0001@dc86aohksdufec1987q0")
	oneService = 0
	// firstID has as many digits as numbers of 64 bits may have.
	firstID = 1e19
)

var serviceOfJobs = serviceName(oneService, 0)

// keysOf finds job ids whose share meets the condition. Ids are nearly as long
// as a ULID, and those of different prefixes differ.
func keysOf(n int, prefix string, keep func(share uint32) bool) []state.JobKey {
	var kept [roster.Shares]bool
	for share := range kept {
		kept[share] = keep(uint32(share))
	}
	out := make([]state.JobKey, 0, n)
	for i := uint64(firstID); len(out) < n; i++ {
		key := state.JobKey{Service: serviceOfJobs, ID: prefix + strconv.FormatUint(i, 10)}
		if kept[roster.ShareOf(key)] {
			out = append(out, key)
		}
	}
	return out
}

func (d *daemon) pair(share uint32) roster.Pair {
	return d.agent.Roster().Pair(d.self.Region, share)
}

func (d *daemon) isHome(share uint32) bool { return d.pair(share).Home == d.self.ID }

func (d *daemon) isWitness(share uint32) bool { return d.pair(share).Witness == d.self.ID }

// tasks are of the size that a workshop's day brings.
func tasks(n int) []state.Task {
	out := make([]state.Task, n)
	for i := range out {
		payload := fmt.Sprintf(`{"photo":"intake/2026/12/%08d.jpg","material":"porcelain","desk":4}`, i)
		out[i] = state.Task{Payload: []byte(payload), Cores: 0.5, MemoryMB: 512, Expected: 250 * time.Millisecond}
	}
	return out
}

func jobOf(key state.JobKey, n int) state.Job {
	return state.Job{Key: key, Operator: operatorName(oneService), Tasks: tasks(n)}
}

func resultOf(index int) state.TaskResult {
	return state.TaskResult{Index: index, Payload: []byte(`{"quote":184000,"currency":"KRW"}`), Ran: ranFor}
}

func attemptOf(i int) message.Attempt {
	return message.Attempt(fmt.Sprintf("%s/%06d", entryID, i))
}

// submit hands the agent a job of which it is the home.
func (d *daemon) submit(job state.Job, digest state.Digest, i int) []coordination.Action {
	return d.Handle(d.now, entryID, message.Submit{
		Job: job, Digest: digest, Attempt: attemptOf(i), Deadline: deadline,
		Epoch: d.pair(roster.ShareOf(job.Key)).Epoch,
	})
}
