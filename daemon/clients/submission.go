package clients

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/state/job"
)

// milli is the number of thousandths in one, and attempts how often a task that
// may be repeated is started before its failure is the job's.
const (
	milli    = 1000
	attempts = 3
)

// maxName bounds a job's name as the store takes it for a key: 255 bytes, less
// what names a task of it at a backend server.
const maxName = 200

// jobID names a submission's job. Services hold no slash, so no two keys share a
// name; one that is too long is named by its hash.
func jobID(key state.JobKey) job.ID {
	name := key.Service + "/" + key.ID
	if len(name) > maxName {
		sum := sha256.Sum256([]byte(name))
		name = "/" + hex.EncodeToString(sum[:])
	}
	return job.ID(name)
}

// specOf turns a submission into a job. Equal tasks that follow one another make
// a step, so that the tasks of all steps stand in the submission's order.
func specOf(j *state.Job, digest state.Digest, service declaration.ServiceSpec) job.Spec {
	out := job.Spec{Digest: string(digest[:])}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		step := job.Step{Demand: demandOf(t), Estimate: t.Expected, Domains: service.Placement.Domains}
		if last := len(out.Steps) - 1; last < 0 || !sameStep(&out.Steps[last], &step) {
			out.Steps = append(out.Steps, step)
		}
		last := &out.Steps[len(out.Steps)-1]
		last.Count++
		last.Payloads = append(last.Payloads, string(t.Payload))
	}
	return out
}

func sameStep(a, b *job.Step) bool {
	return a.Demand == b.Demand && a.Estimate == b.Estimate && slices.Equal(a.Domains, b.Domains)
}

func demandOf(t *state.Task) job.Demand {
	return job.Demand{CPUMillis: int64(math.Ceil(t.Cores * milli)), MemoryMB: t.MemoryMB, GPUs: t.Accelerators}
}

func cores(d job.Demand) float64 { return float64(d.CPUMillis) / milli }

// policyOf is how a job is treated. Its latency objective is the time that its
// caller waits.
func policyOf(j *state.Job, f *declaration.File, deadline time.Duration) job.Policy {
	longest := time.Duration(0)
	for i := range j.Tasks {
		longest = max(longest, j.Tasks[i].Expected)
	}
	p := job.Policy{
		Queue: j.Key.Service, Service: j.Key.Service,
		Priority: stepsBelowDefault(f.Priority),
		Slack:    1, Target: max(0, deadline-longest),
		MaxAttempts: 1, AtMostOnce: true,
	}
	if j.Repeatable {
		p.MaxAttempts, p.AtMostOnce = attempts, false
	}
	return p
}

// priorityStep is how far below the default an operator's priority is one step, of
// which a queue has a few: the declaration's scale goes from 1 to 100.
const priorityStep = 25

// stepsBelowDefault returns an operator's priority as a queue's, of which 0 comes
// first. Operators who declare nothing are not put behind those who do.
func stepsBelowDefault(operator int) int {
	return max(0, declaration.DefaultPriority-operator+priorityStep-1) / priorityStep
}
