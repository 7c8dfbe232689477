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

// millisPerCore is the number of CPU millis in a core, and maxAttempts is the maximum
// number of starts of a repeatable task before its failure fails the job.
const (
	millisPerCore = 1000
	maxAttempts   = 3
)

// maxJobIDLength bounds the length of a job ID in bytes. Keys in the store have at most
// 255 bytes; the rest is for the suffix that identifies a task at a backend server.
const maxJobIDLength = 200

// jobID returns the ID of a submission's job. Service names contain no slash, so two
// keys never have the same ID. A name that is too long is replaced by its hash.
func jobID(key state.JobKey) job.ID {
	name := key.Service + "/" + key.ID
	if len(name) > maxJobIDLength {
		sum := sha256.Sum256([]byte(name))
		name = "/" + hex.EncodeToString(sum[:])
	}
	return job.ID(name)
}

// specOf converts a submission to a job spec. Consecutive tasks with equal
// requirements form one step, so the tasks of all steps keep the submission's order.
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
	return job.Demand{CPUMillis: int64(math.Ceil(t.Cores * millisPerCore)), MemoryMB: t.MemoryMB, GPUs: t.Accelerators}
}

func cores(d job.Demand) float64 { return float64(d.CPUMillis) / millisPerCore }

// policyOf returns the scheduling policy of a job. Its latency target is the time that
// the caller waits, less the longest expected run time of its tasks.
func policyOf(j *state.Job, f *declaration.File, deadline time.Duration) job.Policy {
	longest := time.Duration(0)
	for i := range j.Tasks {
		longest = max(longest, j.Tasks[i].Expected)
	}
	p := job.Policy{
		Queue: j.Key.Service, Service: j.Key.Service,
		Priority: queuePriority(f.Priority),
		Slack:    1, Target: max(0, deadline-longest),
		MaxAttempts: 1, AtMostOnce: true,
	}
	if j.Repeatable {
		p.MaxAttempts, p.AtMostOnce = maxAttempts, false
	}
	return p
}

// priorityStep is the difference in operator priority that makes one step of queue
// priority. A declaration's priority goes from 1 to 100; a queue has a few steps.
const priorityStep = 25

// queuePriority converts an operator's priority to a queue priority, where 0 is
// served first. Every priority from the default up becomes 0, so that an operator who
// declares none isn't placed behind one who declares a high one.
func queuePriority(operator int) int {
	return max(0, declaration.DefaultPriority-operator+priorityStep-1) / priorityStep
}
