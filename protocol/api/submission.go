package api

import (
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// Limits on what a submission may declare. They are far above the capacity of any
// worker, so a larger number is a mistake in the client.
const (
	// MaxDeadline bounds the deadline of a submission.
	MaxDeadline = time.Hour
	// MaxExpected bounds the declared run time of one task.
	MaxExpected     = time.Hour
	MaxCores        = 4096
	MaxMemoryMB     = 1 << 24
	MaxAccelerators = 1024
)

// Kind tells whether a submission is a job or a request.
type Kind string

// Kinds of submissions. A request has exactly one task.
const (
	KindJob     Kind = "job"
	KindRequest Kind = "request"
)

// Submission is a job or a request as the caller submitted it.
type Submission struct {
	Kind Kind
	Job  state.Job
	// Deadline is how long the caller waits. Zero means that none was given.
	Deadline time.Duration
	// RepeatableSet reports whether a request gives a value for "repeatable".
	RepeatableSet bool
}

// DecodeJob decodes the body of a POST to a service's jobs. headerKey is the value
// of the Idempotency-Key header; it is the id if the body has none. A non-nil
// problem means that the submission is not accepted.
func DecodeJob(service, headerKey string, body []byte) (state.Job, time.Duration, *Problem) {
	s, p := Decode(KindJob, service, headerKey, body)
	return s.Job, s.Deadline, p
}

// DecodeRequest decodes the body of a POST to a service's requests, which has one
// task. headerKey is as for DecodeJob.
func DecodeRequest(service, headerKey string, body []byte) (state.Job, time.Duration, *Problem) {
	s, p := Decode(KindRequest, service, headerKey, body)
	return s.Job, s.Deadline, p
}

// Decode decodes the body of a job or a request, as DecodeJob and DecodeRequest
// do.
func Decode(kind Kind, service, headerKey string, body []byte) (Submission, *Problem) {
	s := Submission{Kind: kind}
	p := s.decode(service, headerKey, body)
	return s, p
}

// DecodeFile decodes a job file: the body of a POST with the additional fields
// "service" and "kind". A non-empty service overrides the one in the file.
func DecodeFile(service string, body []byte) (Submission, *Problem) {
	kind, p := fileKind(body)
	if p != nil {
		return Submission{}, p
	}
	s := Submission{Kind: kind}
	d := decoder{sub: &s, file: true}
	p = d.run(body)
	if service != "" {
		s.Job.Key.Service = service
	}
	if p == nil {
		p = CheckService(s.Job.Key.Service)
	}
	if p == nil {
		p = s.check()
	}
	return s, p
}

func (s *Submission) decode(service, headerKey string, body []byte) *Problem {
	if p := CheckService(service); p != nil {
		return p
	}
	d := decoder{sub: s}
	if p := d.run(body); p != nil {
		return p
	}
	s.Job.Key.Service = service
	id := s.Job.Key.ID
	if headerKey != "" && d.hasID && id != headerKey {
		return malformed("the id and the Idempotency-Key header differ")
	}
	if !d.hasID {
		s.Job.Key.ID = headerKey
	}
	return s.check()
}

func (s *Submission) check() *Problem {
	if p := CheckID(s.Job.Key.ID); p != nil {
		return p
	}
	if len(s.Job.Tasks) > 0 {
		return nil
	}
	if s.Kind == KindRequest {
		return malformed("task is missing")
	}
	return malformed("tasks is missing or empty")
}

// decoder fills a submission from one body.
type decoder struct {
	*reader
	sub *Submission
	// file reports whether the body is a job file, which has a service and a kind.
	file bool
	// hasID reports whether the body has an id, which may be empty.
	hasID bool
}

func (d *decoder) run(body []byte) *Problem {
	var p *Problem
	if d.reader, p = newReader(body); p != nil {
		return p
	}
	if p := d.object("", d.field); p != nil {
		return p
	}
	return d.expectEnd()
}

func (d *decoder) field(name string) *Problem {
	switch name {
	case "id":
		d.hasID = true
		return d.text(name, &d.sub.Job.Key.ID)
	case "deadline_ms":
		return d.millis(name, MaxDeadline, &d.sub.Deadline)
	}
	if p, ok := d.fileField(name); ok {
		return p
	}
	if d.sub.Kind == KindRequest {
		return d.requestField(name)
	}
	return d.jobField(name)
}

func (d *decoder) fileField(name string) (*Problem, bool) {
	if !d.file {
		return nil, false
	}
	switch name {
	case "service":
		return d.text(name, &d.sub.Job.Key.Service), true
	case "kind":
		// fileKind has already read the value.
		return d.scalar(), true
	}
	return nil, false
}

func (d *decoder) jobField(name string) *Problem {
	if name != "tasks" {
		return d.unknownField(name)
	}
	return d.array(name, func(i int) *Problem {
		if i == state.MaxTasksPerJob {
			return NewProblem(state.ReasonTooManyTasks, state.NotRun, "a job has at most %d tasks", state.MaxTasksPerJob)
		}
		return d.task("tasks[" + strconv.Itoa(i) + "]")
	})
}

func (d *decoder) requestField(name string) *Problem {
	switch name {
	case "repeatable":
		d.sub.RepeatableSet = true
		return d.boolean(name, &d.sub.Job.Repeatable)
	case "task":
		return d.task(name)
	}
	return d.unknownField(name)
}

// task reads one task and appends it to the job's tasks.
func (d *decoder) task(path string) *Problem {
	var t state.Task
	p := d.object(path, func(name string) *Problem { return d.taskField(name, &t) })
	if p != nil {
		return p
	}
	if t.Payload == nil {
		return malformed("%s.payload is missing", path)
	}
	d.sub.Job.Tasks = append(d.sub.Job.Tasks, t)
	return nil
}

func (d *decoder) taskField(name string, t *state.Task) *Problem {
	switch name {
	case "payload":
		return d.rawValue(name, &t.Payload)
	case "cores":
		return d.number(name, MaxCores, &t.Cores)
	case "memory_mb":
		return d.integer(name, MaxMemoryMB, &t.MemoryMB)
	case "accelerators":
		return d.integer(name, MaxAccelerators, &t.Accelerators)
	case "expected_ms":
		return d.millis(name, MaxExpected, &t.Expected)
	}
	return d.unknownField(name)
}

func (d *decoder) unknownField(name string) *Problem {
	return malformed("unknown field %q", d.fieldPath(name))
}

func (d *decoder) millis(name string, limit time.Duration, out *time.Duration) *Problem {
	var ms int64
	if p := d.integer(name, limit.Milliseconds(), &ms); p != nil {
		return p
	}
	*out = time.Duration(ms) * time.Millisecond
	return nil
}

// fileKind returns the kind of a job file. It reads the file ahead of the decoder,
// because the kind decides which fields are allowed.
func fileKind(body []byte) (Kind, *Problem) {
	r, p := newReader(body)
	if p != nil {
		return "", p
	}
	var kind string
	p = r.object("", func(name string) *Problem {
		if name == "kind" {
			return r.text(name, &kind)
		}
		return r.scalar()
	})
	if p != nil {
		return "", p
	}
	switch k := Kind(kind); k {
	case KindJob, KindRequest:
		return k, nil
	}
	return "", malformed("kind must be %q or %q", KindJob, KindRequest)
}
